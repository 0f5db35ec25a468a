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

func dialFrom(t *testing.T, source, address string) net.Conn {
	t.Helper()
	dialer := net.Dialer{Timeout: time.Second, LocalAddr: &net.TCPAddr{IP: net.ParseIP(source)}}
	c, err := dialer.Dial("tcp", address)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	return c
}

// echoes reports whether a line comes back.
func echoes(t *testing.T, c net.Conn) bool {
	t.Helper()
	_, _ = c.Write([]byte("x\n"))
	assert.NilError(t, c.SetReadDeadline(time.Now().Add(200*time.Millisecond)))
	_, err := c.Read(make([]byte, 2))
	return err == nil
}

// TestSharedLinkInterruptsOneCaller guards against plays in which the hosts that are not cut off lose their links too.
func TestSharedLinkInterruptsOneCaller(t *testing.T) {
	const cut, other = "127.0.1.1", "127.0.1.2"
	link := NewShared(t, echo(t))
	first, second := dialFrom(t, cut, link.Address()), dialFrom(t, other, link.Address())
	assert.Assert(t, echoes(t, first) && echoes(t, second))
	link.Freeze(cut)
	assert.Assert(t, !echoes(t, first) && echoes(t, second))
	assert.Assert(t, !echoes(t, dialFrom(t, cut, link.Address())))
	link.Heal(cut)
	assert.Assert(t, !echoes(t, first), "a connection outlived the cut, with what was sent meanwhile")
	third := dialFrom(t, cut, link.Address())
	assert.Assert(t, echoes(t, third))
	link.Reset(cut)
	assert.Assert(t, !echoes(t, third) && echoes(t, second))
}
