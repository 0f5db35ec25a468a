package httpexchange

import (
	"context"
	"io"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/arbutuswinch/winch"
	"github.com/arbutuswinch/winch/serving/internal/slowtest"
)

func TestCancelledCallsDoNotArrive(t *testing.T) {
	client := New(Options{AckTimeout: time.Minute})
	slowtest.AssertCancelledCallsDoNotArrive(t, func(ctx context.Context, address string, body []byte) error {
		_, err := client.Exchange(ctx, winch.ExchangeCall{
			Address: address, Peer: "p", Method: "POST", Host: "h", Target: "/", ID: "1", IDHeader: "X-Id", Body: body,
		})
		return err
	})
}

// TestUnacknowledgedCall sends more than the server's TCP stack accepts without a read. The
// client must reset the connection before the kernel's timeout, after which it would be
// closed without a reset. The target is long and not the body, since calls with a long body
// are not watched.
func TestUnacknowledgedCall(t *testing.T) {
	listener := slowtest.Listen(t)
	client := New(Options{AckTimeout: time.Second})
	ended := make(chan error, 1)
	started := time.Now()
	go func() {
		_, err := client.Exchange(t.Context(), winch.ExchangeCall{
			Address: listener.Addr().String(), Peer: "p", Method: "GET", Host: "h", Target: "/" + strings.Repeat("x", 200<<10), ID: "1", IDHeader: "X-Id",
		})
		ended <- err
	}()
	conn, err := listener.Accept()
	assert.NilError(t, err)
	slowtest.WaitForBytes(t, conn)
	err = <-ended
	assert.ErrorIs(t, err, winch.ErrOutcomeUnknown)
	assert.ErrorIs(t, err, errNotAcknowledged)
	assert.Assert(t, time.Since(started) < time.Second, "the client waited for the kernel's timeout")
	_, err = io.ReadAll(conn)
	assert.Assert(t, err != nil, "the connection was closed without a reset")
}
