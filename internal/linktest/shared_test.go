package linktest

import (
	"bufio"
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// echo returns the address of a server that sends back each line.
func echo(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				for lines := bufio.NewScanner(c); lines.Scan(); {
					_, _ = c.Write(append(lines.Bytes(), '\n'))
				}
			}()
		}
	}()
	return listener.Addr().String()
}

func dialFrom(source, address string) (net.Conn, error) {
	dialer := net.Dialer{Timeout: time.Second, LocalAddr: &net.TCPAddr{IP: net.ParseIP(source)}}
	return dialer.Dial("tcp", address)
}

func openFrom(t *testing.T, source, address string) net.Conn {
	t.Helper()
	c, err := dialFrom(source, address)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	return c
}

// echoes reports whether a line comes back within the time.
func echoes(t *testing.T, c net.Conn, within time.Duration) bool {
	t.Helper()
	_, _ = c.Write([]byte("x\n"))
	assert.NilError(t, c.SetReadDeadline(time.Now().Add(within)))
	_, err := c.Read(make([]byte, 2))
	return err == nil
}

func assertCarries(t *testing.T, c net.Conn) {
	t.Helper()
	assert.Assert(t, echoes(t, c, 5*time.Second), "nothing came back")
}

func assertInterrupted(t *testing.T, c net.Conn) {
	t.Helper()
	assert.Assert(t, !echoes(t, c, 200*time.Millisecond), "a line came back")
}

// TestSharedLinkInterruptsOneCaller guards against plays in which the hosts that are not cut off lose their links too.
func TestSharedLinkInterruptsOneCaller(t *testing.T) {
	const cut, other = "127.0.1.1", "127.0.1.2"
	link := NewShared(t, echo(t))
	first, second := openFrom(t, cut, link.Address()), openFrom(t, other, link.Address())
	assertCarries(t, first)
	assertCarries(t, second)
	link.Freeze(cut)
	assertInterrupted(t, first)
	assertCarries(t, second)
	// The link may reset a new connection before the dial returns.
	if fresh, err := dialFrom(cut, link.Address()); err == nil {
		assertInterrupted(t, fresh)
		_ = fresh.Close()
	}
	link.Heal(cut)
	assertInterrupted(t, first)
	third := openFrom(t, cut, link.Address())
	assertCarries(t, third)
	link.Reset(cut)
	assertInterrupted(t, third)
	assertCarries(t, second)
}
