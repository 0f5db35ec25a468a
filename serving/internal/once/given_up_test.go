package once

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"

	"golang.org/x/sys/unix"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/arbutuswinch/winch"
)

// listenSlowly listens for connections that take few bytes before they are read.
func listenSlowly(t *testing.T) net.Listener {
	t.Helper()
	config := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		failure := error(nil)
		err := raw.Control(func(fd uintptr) { failure = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, 4<<10) })
		if err != nil {
			return err
		}
		return failure
	}}
	listener, err := config.Listen(t.Context(), "tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { assert.Check(t, listener.Close()) })
	return listener
}

// TestCallsThatAreGivenUpDoNotArrive gives a call up whose bytes wait in this machine, as
// behind a link that lets nothing through: they must not arrive when it does again.
func TestCallsThatAreGivenUpDoNotArrive(t *testing.T) {
	listener := listenSlowly(t)
	transport := New(Options{})
	ctx, giveUp := context.WithCancel(t.Context())
	body := []byte(strings.Repeat("x", 200<<10))
	ended := make(chan error, 1)
	go func() {
		response, err := transport.Send(ctx, "http://"+listener.Addr().String()+"/", winch.Call{Method: http.MethodPost, Body: body}, nil)
		if err == nil {
			err = response.Body.Close()
		}
		ended <- err
	}()
	conn, err := listener.Accept()
	assert.NilError(t, err)
	// What the server's buffer does not take waits in this machine.
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if waiting(t, conn) > 0 {
			return poll.Success()
		}
		return poll.Continue("nothing came")
	})
	giveUp()
	assert.ErrorIs(t, <-ended, winch.ErrOutcomeUnknown)
	got, err := io.ReadAll(conn)
	assert.Assert(t, err != nil, "the connection ended as after a whole call")
	assert.Assert(t, len(got) < len(body), "the whole call of %d bytes arrived", len(got))
}

// waiting returns the bytes that arrived and are not read.
func waiting(t *testing.T, conn net.Conn) int {
	t.Helper()
	count := 0
	raw, err := conn.(*net.TCPConn).SyscallConn()
	assert.NilError(t, err)
	failure := error(nil)
	assert.NilError(t, raw.Control(func(fd uintptr) { count, failure = unix.IoctlGetInt(int(fd), unix.SIOCINQ) }))
	assert.NilError(t, failure)
	return count
}
