// Package endlesstest provides stand-in servers that send without end, and tells how much memory the process that reads takes.
//
// # Usage
//
//	server := endlesstest.Listen(t, "HTTP/1.1 200 OK\r\n\r\n", endlesstest.Letters())
//	peak := endlesstest.PeakMemory(t, 50, func() { call(server.Address) })
package endlesstest

import (
	"fmt"
	"net"
	"runtime"
	"runtime/debug"
	"runtime/metrics"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const (
	// HostMemory is the memory of a small host in bytes.
	HostMemory = 112 << 20
	// runtimeLimit is the limit of the Go runtime that processes set on such a host, in bytes.
	runtimeLimit = HostMemory * 7 / 10
	// pieceSize is the size of a piece in bytes.
	pieceSize = 64 << 10
	// maxSent ends the sending on a connection that is not closed, in bytes.
	maxSent = 64 << 20
	// sampleInterval is the time between two readings of the memory.
	sampleInterval = 500 * time.Microsecond
)

// Server answers each connection without end.
type Server struct {
	// Address is the IP address and port that callers connect to.
	Address string
	// Uncut is the number of connections that were not closed by the caller after maxSent.
	Uncut atomic.Int64
	// Received is the number of connections on which a request, or its beginning, was read.
	Received atomic.Int64
	head     []byte
	body     []byte
	// silentAfter is the number of bytes after which a connection falls silent and stays open.
	silentAfter int

	mu       sync.Mutex
	requests []string
}

// HasReceived reports whether a request was read whose beginning contains the text.
func (s *Server) HasReceived(text string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.ContainsFunc(s.requests, func(request string) bool { return strings.Contains(request, text) })
}

// Listen starts a server that reads the beginning of a request and then sends the head once, and the body over and over.
func Listen(t *testing.T, head, body string) *Server {
	t.Helper()
	return ListenUntil(t, head, body, maxSent)
}

// ListenUntil is like Listen, but each connection falls silent after some bytes, and stays open until the caller closes it.
func ListenUntil(t *testing.T, head, body string, silentAfter int) *Server {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	s := &Server{Address: listener.Addr().String(), head: []byte(head), body: []byte(body), silentAfter: silentAfter}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go s.serve(conn)
		}
	}()
	return s
}

func (s *Server) serve(conn net.Conn) {
	defer conn.Close()
	request := make([]byte, pieceSize)
	count, err := conn.Read(request)
	if err != nil {
		return
	}
	s.record(string(request[:count]))
	sent, err := conn.Write(s.head)
	for err == nil && sent < min(s.silentAfter, maxSent) {
		count, err = conn.Write(s.body[:min(len(s.body), s.silentAfter-sent)])
		sent += count
	}
	if err == nil && s.silentAfter >= maxSent {
		s.Uncut.Add(1)
		return
	}
	// It returns when the caller closes the connection.
	_, _ = conn.Read(make([]byte, 1))
}

func (s *Server) record(request string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.requests = append(s.requests, request)
	s.Received.Add(1)
}

// Letters returns bytes without a line end.
func Letters() string { return strings.Repeat("x", pieceSize) }

// HeaderLines returns short header lines with different names, with the size of the default limit of net/http.
func HeaderLines() string {
	text := strings.Builder{}
	for number := 0; text.Len() < 10<<20; number++ {
		fmt.Fprintf(&text, "a%x:\n", number)
	}
	return text.String()
}

// PeakMemory runs so many calls at once, with the memory limit of a process on a small host, and returns the most memory in bytes that
// the process held meanwhile.
func PeakMemory(t *testing.T, calls int, call func()) int64 {
	t.Helper()
	previous := debug.SetMemoryLimit(runtimeLimit)
	defer debug.SetMemoryLimit(previous)
	debug.FreeOSMemory()
	before, done, peak := heldMemory(), make(chan struct{}), make(chan int64, 1)
	go func() { peak <- samplePeak(done) }()
	callers := sync.WaitGroup{}
	for range calls {
		callers.Go(call)
	}
	callers.Wait()
	close(done)
	most := <-peak
	runtime.GC()
	t.Logf("memory held before %d kB, at most %d kB", before>>10, most>>10)
	return most
}

func samplePeak(done <-chan struct{}) int64 {
	ticker, most := time.NewTicker(sampleInterval), int64(0)
	defer ticker.Stop()
	for {
		most = max(most, heldMemory())
		select {
		case <-done:
			return most
		case <-ticker.C:
		}
	}
}

// heldMemory returns the memory in bytes that the Go runtime has from the operating system and has not given back.
func heldMemory() int64 {
	samples := []metrics.Sample{{Name: "/memory/classes/total:bytes"}, {Name: "/memory/classes/heap/released:bytes"}}
	metrics.Read(samples)
	return int64(samples[0].Value.Uint64() - samples[1].Value.Uint64())
}
