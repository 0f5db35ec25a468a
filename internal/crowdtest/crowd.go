// Package crowdtest lets crowds of misbehaving clients meet a process, and checks that it lives, stays within its limits and serves.
//
// # Usage
//
//	process := crowdtest.Process{PID: command.Process.Pid, Addresses: []string{address}, Limits: limits, Serves: serves}
//	process.Meet(t, crowdtest.Place{Address: address, Path: "/"}, crowdtest.StalledHeads())
package crowdtest

import (
	"errors"
	"fmt"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// tries is how often a member of a crowd connects after its connection was ended.
	tries = 3
	// blockedAfter is the time without progress after which a member has sent what it can.
	blockedAfter = 2 * time.Second
	// pieceSize is the size in bytes of one write.
	pieceSize = 64 << 10
)

// Place is where a crowd sends its requests.
type Place struct {
	// Address is the IP address and port that it connects to.
	Address string
	Path    string
	// Fields returns the fields of the head of each request, each with the end of its line. Nil means that there are none but Host.
	Fields func() string
}

// head returns the beginning of a request, up to the fields of its kind.
func (p Place) head(method string) string {
	fields := ""
	if p.Fields != nil {
		fields = p.Fields()
	}
	return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: a.example\r\n%s", method, p.Path, fields)
}

// Kind is a kind of misbehaviour.
type Kind struct {
	members int
	// send sends what a member sends on one connection. After it has returned nil, the connection stays open without being read. Done
	// ends when the crowd leaves.
	send func(conn net.Conn, place Place, done <-chan struct{}) error
}

// crowd is a number of connections of one kind.
type crowd struct {
	settled sync.WaitGroup
	ended   sync.WaitGroup
	left    chan struct{}
	// cut is the number of connections that the process has ended or not accepted.
	cut atomic.Int64
}

// join lets all members connect.
func join(place Place, kind Kind) *crowd {
	c := &crowd{left: make(chan struct{})}
	for range kind.members {
		c.settled.Add(1)
		c.ended.Go(func() { c.takePart(place, kind) })
	}
	return c
}

// takePart is what one member does. It holds its connection until the crowd leaves.
func (c *crowd) takePart(place Place, kind Kind) {
	settle := sync.OnceFunc(c.settled.Done)
	defer settle()
	for range tries {
		conn, err := net.DialTimeout("tcp", place.Address, blockedAfter)
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

// write writes all bytes. It fails with os.ErrDeadlineExceeded once the process has not read for some time.
func write(conn net.Conn, bytes []byte) error {
	for len(bytes) > 0 {
		if err := conn.SetWriteDeadline(time.Now().Add(blockedAfter)); err != nil {
			return err
		}
		count, err := conn.Write(bytes[:min(len(bytes), pieceSize)])
		bytes = bytes[count:]
		if err != nil {
			return err
		}
	}
	return nil
}
