package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// The case "slow-reader": runners begin to answer streams before they have read long bodies, and read these slowly.

const (
	// slowBody is the size of a request's body in bytes, below max_body_bytes.
	slowBody = 384 << 10
	// slowPiece and slowPause make runners read 32 KB of a body in a second.
	slowPiece = 8 << 10
	slowPause = 250 * time.Millisecond
	// slowEvents is the number of events of a stream, and slowGap the pause between two, which is below gap_target_ms.
	slowEvents = 6
	slowGap    = 1400 * time.Millisecond
	// slowRequests is the number of requests.
	slowRequests = 6
	// goesOnAfter is for how long two runners may work on a request, as the rule TWICE says.
	goesOnAfter = 400 * time.Millisecond
)

// slowRun is the work of a runner on a request.
type slowRun struct {
	runner, id   string
	from         int
	begun, ended time.Time
	end          string
}

type slowRunners struct {
	w    *World
	mu   sync.Mutex
	runs []*slowRun
}

func slowReader(w *World) (broken []string) {
	runners := &slowRunners{w: w}
	for i := range 3 {
		l, err := net.Listen("tcp", "127.0.60.1:0")
		check(err)
		id := fmt.Sprintf("i-%d", i+1)
		go runners.accept(id, l)
		w.register(id, "pool", l.Addr().String(), 16, true)
	}
	w.configure(1, []string{"pool"}, route("draft", "streaming", "pool",
		`,"timeout_ms":15000,"target_latency_ms":1500,"gap_target_ms":2000,"max_attempts":2,"{resume}":true,"{sticky}":true`))
	w.startHosts(2)
	group := sync.WaitGroup{}
	for i := range slowRequests {
		group.Go(func() { w.sendSlow(fmt.Sprintf("q-%d", i+1), w.hosts[i%2]) })
		time.Sleep(300 * time.Millisecond)
	}
	group.Wait()
	time.Sleep(time.Second)
	return runners.judge()
}

// sendSlow sends a request with a long body and reads the answer as it comes.
func (w *World) sendSlow(id string, h *Host) {
	conn, err := net.DialTimeout("tcp", h.front, time.Second)
	check(err)
	defer conn.Close()
	check(conn.SetDeadline(time.Now().Add(16 * time.Second)))
	w.note("client sends %s to %s", id, h.name)
	go fmt.Fprintf(conn, page("POST /draft/x HTTP/1.1\r\nHost: a.example\r\n{id}: %s\r\nModel: m\r\n{tokens}: 9000,80\r\n{prefix}: 5c1e07a2:8000,%x:1000\r\n"+
		"{deadline}: 15000\r\nAuthorization: Bearer k1\r\nContent-Length: %d\r\n\r\n%s"), id, time.Now().UnixNano(), slowBody, bytes.Repeat([]byte("x"), slowBody))
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		w.note("client gets no answer to %s: %v", id, err)
		return
	}
	body, err := io.ReadAll(response.Body)
	w.note("client gets %d for %s, %d events, error %v", response.StatusCode, id, bytes.Count(body, []byte("\n\n")), err)
}

func (s *slowRunners) accept(id string, l net.Listener) {
	for {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		go s.serve(id, conn.(*net.TCPConn))
	}
}

// closed reports whether the connection has ended, as far as the kernel knows: it is looked at all the while, also while nothing is read.
func closed(conn *net.TCPConn) bool {
	raw, err := conn.SyscallConn()
	if err != nil {
		return true
	}
	ended := false
	if raw.Control(func(fd uintptr) {
		info, err := syscall.GetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_ERROR)
		ended = err != nil || info != 0
	}) != nil {
		return true
	}
	return ended
}

// serve serves the requests of a connection, one at a time. A run ends at once when its connection does.
func (s *slowRunners) serve(id string, conn *net.TCPConn) {
	defer conn.Close()
	reader := bufio.NewReaderSize(conn, 4096)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if request.Header.Get(page("{expect}")) != id {
			fmt.Fprintf(conn, page("HTTP/1.1 421 Misdirected Request\r\n{runner}: %s\r\nContent-Length: 0\r\n\r\n"), id)
			return
		}
		if !s.run(id, conn, request) {
			return
		}
	}
}

func (s *slowRunners) run(id string, conn *net.TCPConn, request *http.Request) bool {
	run := &slowRun{runner: id, id: request.Header.Get(page("{id}")), begun: time.Now()}
	run.from, _ = strconv.Atoi(request.Header.Get("Last-Event-Id"))
	s.mu.Lock()
	s.runs = append(s.runs, run)
	s.mu.Unlock()
	s.w.note("runner %s begins %s after event %d", id, run.id, run.from)
	read := make(chan error, 1)
	go func() {
		count, err := s.read(request.Body)
		s.w.note("runner %s has read %d bytes of %s, error %v", id, count, run.id, err)
		read <- err
	}()
	end := s.stream(conn, run)
	s.mu.Lock()
	run.ended, run.end = time.Now(), end
	s.mu.Unlock()
	s.w.note("runner %s ends %s: %s", id, run.id, end)
	return end == "whole" && <-read == nil
}

func (s *slowRunners) stream(conn *net.TCPConn, run *slowRun) string {
	_, err := fmt.Fprintf(conn, page("HTTP/1.1 200 OK\r\n{id}: %s\r\n{signature}: %s.%s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"),
		run.id, run.runner, run.id)
	for event := run.from + 1; err == nil && event <= slowEvents; event++ {
		for until := time.Now().Add(slowGap); event > run.from+1 && time.Now().Before(until); time.Sleep(10 * time.Millisecond) {
			if closed(conn) {
				return "its connection was closed"
			}
		}
		piece := fmt.Sprintf("id: %d\ndata: %s\n\n", event, strings.Repeat("y", 40))
		_, err = fmt.Fprintf(conn, "%x\r\n%s\r\n", len(piece), piece)
	}
	if err == nil {
		_, err = io.WriteString(conn, "0\r\n\r\n")
	}
	if err != nil {
		return "its connection was closed: " + err.Error()
	}
	return "whole"
}

// read reads a body, slowly or at once.
func (s *slowRunners) read(body io.Reader) (count int64, err error) {
	if !s.w.trouble {
		return io.Copy(io.Discard, body)
	}
	for err == nil {
		piece := int64(0)
		piece, err = io.CopyN(io.Discard, body, slowPiece)
		count += piece
		time.Sleep(slowPause)
	}
	if err == io.EOF {
		err = nil
	}
	return count, err
}

// judge checks the rule TWICE for streams.
func (s *slowRunners) judge() (broken []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, first := range s.runs {
		for _, second := range s.runs {
			if first.id != second.id || first == second || !second.begun.After(first.begun) {
				continue
			}
			if both := first.ended.Sub(second.begun); both > goesOnAfter {
				broken = append(broken, fmt.Sprintf("TWICE: %s went on at %s, and %s still worked on it %d ms later", first.id, second.runner, first.runner, both.Milliseconds()))
			}
		}
	}
	return broken
}
