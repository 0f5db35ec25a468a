// Package crowdtest connects large numbers of misbehaving clients to a process, and checks that it stays alive and within its limits
// and continues to serve ordinary requests.
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
	// attempts is how often a client connects at most if the process ends its connections.
	attempts = 3
	// blockedAfter is the time without progress after which a client counts as blocked and sends no more.
	blockedAfter = 2 * time.Second
	// pieceSize is the size in bytes of one write.
	pieceSize = 64 << 10
)

// Place is where a crowd sends its requests.
type Place struct {
	// Address is the IP address and port that it connects to.
	Address string
	Path    string
	// Fields returns the header fields of a request besides Host, each with its line break. Nil means none.
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
	// members is the number of clients.
	members int
	// send sends what one client sends on a connection. After it has returned nil, the connection stays open without being read. done
	// is closed when the clients have to disconnect.
	send func(conn net.Conn, place Place, done <-chan struct{}) error
}

// crowd is a number of clients of one kind.
type crowd struct {
	// settled waits until all clients have sent what they can or have no attempts left.
	settled sync.WaitGroup
	ended   sync.WaitGroup
	// left is closed when the clients have to disconnect.
	left chan struct{}
	// refused is the number of connections that the process has ended or not accepted.
	refused atomic.Int64
}

// startCrowd starts all clients of a kind.
func startCrowd(place Place, kind Kind) *crowd {
	c := &crowd{left: make(chan struct{})}
	for range kind.members {
		c.settled.Add(1)
		c.ended.Go(func() { c.runClient(place, kind) })
	}
	return c
}

// runClient runs one client, which holds its connection until leave is called.
func (c *crowd) runClient(place Place, kind Kind) {
	settle := sync.OnceFunc(c.settled.Done)
	defer settle()
	for range attempts {
		conn, err := net.DialTimeout("tcp", place.Address, blockedAfter)
		if err != nil {
			c.refused.Add(1)
			continue
		}
		err = kind.send(conn, place, c.left)
		if err == nil || errors.Is(err, os.ErrDeadlineExceeded) {
			settle()
			<-c.left
			_ = conn.Close()
			return
		}
		c.refused.Add(1)
		_ = conn.Close()
	}
}

// leave disconnects all clients and waits for their end.
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
