package forwarder

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

const (
	// crowdTries is how often a member of a crowd connects again after its connection was ended.
	crowdTries = 3
	// crowdBlocked is the time without progress after which a member has sent what it can.
	crowdBlocked = 2 * time.Second
	// crowdHang ends the test of a host that hangs, and of a crowd that does.
	crowdHang = 30 * time.Second
)

// crowdPlace is where a crowd sends its requests.
type crowdPlace struct {
	// ready is set for the ready address; otherwise it is that for callers.
	ready bool
	path  string
}

func (p crowdPlace) address(h *hostProcess) string {
	if p.ready {
		return h.ready
	}
	return h.caller
}

// head returns the beginning of a request, up to the fields of its kind.
func (p crowdPlace) head(method string) string {
	return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: a.example\r\n%s: c%d\r\n", method, p.path, requestIDField, crowdRequests.Add(1))
}

// crowdRequests numbers the requests of all crowds.
var crowdRequests atomic.Int64

// crowdPlaces are the places at which crowds are tried.
var crowdPlaces = map[string]crowdPlace{
	"route":         {path: "/open/x"},
	"no route":      {path: "/nowhere/x"},
	"ready address": {ready: true, path: "/"},
}

// crowdKind is a kind of misbehaviour.
type crowdKind struct {
	members int
	// send sends what a member sends on one connection. After it has returned nil, the connection stays open without being read. Done
	// ends when the crowd leaves.
	send func(conn net.Conn, place crowdPlace, done <-chan struct{}) error
}

// crowd is a number of connections of one kind.
type crowd struct {
	settled sync.WaitGroup
	ended   sync.WaitGroup
	left    chan struct{}
	// cut is the number of connections that were ended by the host.
	cut atomic.Int64
}

// joinCrowd lets all members connect to the host.
func joinCrowd(h *hostProcess, place crowdPlace, kind crowdKind) *crowd {
	c := &crowd{left: make(chan struct{})}
	for range kind.members {
		c.settled.Add(1)
		c.ended.Go(func() { c.join(place.address(h), place, kind) })
	}
	return c
}

// join is what one member does. It holds its connection until the crowd leaves.
func (c *crowd) join(address string, place crowdPlace, kind crowdKind) {
	settle := sync.OnceFunc(c.settled.Done)
	defer settle()
	for range crowdTries {
		conn, err := net.DialTimeout("tcp", address, crowdBlocked)
		if err != nil {
			c.cut.Add(1)
			continue
		}
		err = kind.send(conn, place, c.left)
		if err == nil || errors.Is(err, os.ErrDeadlineExceeded) {
			settle()
			<-c.left
			_ = conn.Close()
			return
		}
		c.cut.Add(1)
		_ = conn.Close()
	}
}

// leave closes all connections.
func (c *crowd) leave() {
	close(c.left)
	c.ended.Wait()
}

// write writes all bytes. It fails with os.ErrDeadlineExceeded once the host has not read for some time.
func write(conn net.Conn, bytes []byte) error {
	for len(bytes) > 0 {
		if err := conn.SetWriteDeadline(time.Now().Add(crowdBlocked)); err != nil {
			return err
		}
		count, err := conn.Write(bytes[:min(len(bytes), crowdPiece)])
		bytes = bytes[count:]
		if err != nil {
			return err
		}
	}
	return nil
}

// crowdPiece is the size in bytes of one write.
const crowdPiece = 64 << 10

// testCrowds runs each test on a host of its own: the crowds come, all their members send what they send, an ordinary request is
// answered beside them, they leave, and another is answered.
func testCrowds(t *testing.T, places map[string]crowdPlace, kinds ...crowdKind) {
	t.Helper()
	if testing.Short() {
		t.Skip("starts large crowds, and the race detector takes several times the memory")
	}
	for name, place := range places {
		t.Run(name, func(t *testing.T) {
			h := newCrowdHost(t)
			crowds, end := []*crowd{}, sync.OnceValue(h.observe().end)
			t.Cleanup(func() { end() })
			for _, kind := range kinds {
				crowds = append(crowds, joinCrowd(h, place, kind))
			}
			leave := sync.OnceFunc(func() {
				for _, c := range crowds {
					c.leave()
				}
			})
			t.Cleanup(leave)
			for _, c := range crowds {
				c.settled.Wait()
				t.Logf("the host ended %d connections", c.cut.Load())
			}
			h.waitUntilServes(t, "beside the crowd")
			leave()
			h.waitUntilServes(t, "after the crowd")
			h.assertSound(t, end())
		})
	}
}

// waitUntilServes waits until an ordinary request is answered, and the host is ready.
func (h *hostProcess) waitUntilServes(t *testing.T, when string) {
	t.Helper()
	waitFor(t, crowdHang, "an ordinary request to be answered "+when, func() bool { return h.request("/open/x", "") == http.StatusOK })
	waitFor(t, crowdHang, "the host to be ready "+when, h.isReady)
}
