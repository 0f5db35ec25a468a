package once

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/arbutuswinch/winch"
	"github.com/arbutuswinch/winch/serving/internal/slowtest"
)

// TestCallsThatAreGivenUpDoNotArrive gives a call up whose bytes wait in this machine, as
// behind a link that lets nothing through: they must not arrive when it does again.
func TestCallsThatAreGivenUpDoNotArrive(t *testing.T) {
	listener := slowtest.Listen(t)
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
	slowtest.WaitForBytes(t, conn)
	giveUp()
	assert.ErrorIs(t, <-ended, winch.ErrOutcomeUnknown)
	got, err := io.ReadAll(conn)
	assert.Assert(t, err != nil, "the connection ended as after a whole call")
	assert.Assert(t, len(got) < len(body), "the whole call of %d bytes arrived", len(got))
}
