package httpexchange

import (
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/arbutuswinch/winch/internal/linktest"
)

func TestRefuses(t *testing.T) {
	client := New(Options{DialTimeout: 200 * time.Millisecond})
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	address := listener.Addr().String()
	link := linktest.New(t, address)
	link.Cut(t)
	assert.Assert(t, !client.Refuses(t.Context(), address), "a server that listens")
	assert.Assert(t, !client.Refuses(t.Context(), link.Address()), "a link that is cut")
	assert.NilError(t, listener.Close())
	assert.Assert(t, client.Refuses(t.Context(), address), "a server that has ended")
}
