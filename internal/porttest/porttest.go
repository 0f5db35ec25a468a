// Package porttest gives ports to servers of tests that know their address before they listen, or that are restarted at it.
//
// # Usage
//
//	addresses := porttest.Free(t, 2)
//	start(t, "--address", addresses[0], "--peer", addresses[1])
package porttest

import (
	"fmt"
	"net"
	"os"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"
)

// firstPort and lastPort bound the ports of Free. They are below those that the kernel gives to outgoing connections.
const (
	firstPort = 10_000
	lastPort  = 15_999
)

// sequence yields the ports from firstPort to lastPort over and over.
type sequence struct{ next atomic.Int64 }

// ports begins at another port than in most other processes.
var ports = newSequence(100 * int64(os.Getpid()))

func newSequence(start int64) *sequence {
	s := &sequence{}
	s.next.Store(start)
	return s
}

// Free returns loopback addresses whose ports stay free for servers of the test until it ends.
func Free(t *testing.T, count int) []string {
	t.Helper()
	return ports.take(t, count)
}

func (s *sequence) take(t *testing.T, count int) []string {
	t.Helper()
	addresses := make([]string, 0, count)
	for range lastPort - firstPort + 1 {
		if len(addresses) == count {
			return addresses
		}
		port := firstPort + s.next.Add(1)%(lastPort-firstPort+1)
		if !reserve(t, port) {
			continue
		}
		listener, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port))
		if err != nil {
			continue
		}
		assert.NilError(t, listener.Close())
		addresses = append(addresses, listener.Addr().String())
	}
	t.Fatal("no free port")
	return nil
}

// reserve keeps the port from other tests until the test ends, and reports whether none had it. All processes agree by
// listening at the port of another address, since a server may not listen yet, or be between two starts.
func reserve(t *testing.T, port int64) bool {
	t.Helper()
	listener, err := net.Listen("tcp", fmt.Sprintf("127.0.0.2:%d", port))
	if err != nil {
		return false
	}
	t.Cleanup(func() { _ = listener.Close() })
	return true
}
