package winch

import (
	"context"
	"errors"
	"io"
	"net"
)

// ErrEndUnproven says that a connection through another host has ended and that nothing shows whether the endpoint has closed it. What has
// come before may be incomplete.
var ErrEndUnproven = errors.New("connection through another host ended, and the end of the response is not confirmed")

// EndpointConnection is a connection to an endpoint.
type EndpointConnection struct {
	*net.TCPConn
	// Relayed is set if the connection leads through another host. It then carries one exchange only.
	Relayed bool
	// Incoming returns what the endpoint sends on a connection that leads through another host, and is nil otherwise. It returns io.EOF only if
	// the endpoint has closed its connection in order, whatever has happened to TCPConn, and ErrEndUnproven if that is not known.
	Incoming io.Reader
}

// Read reads what the endpoint sends.
func (c EndpointConnection) Read(p []byte) (int, error) {
	if c.Incoming != nil {
		return c.Incoming.Read(p)
	}
	return c.TCPConn.Read(p)
}

// WriteTo implements io.WriterTo in place of TCPConn, which would not read from Incoming.
func (c EndpointConnection) WriteTo(w io.Writer) (int64, error) {
	return io.Copy(w, struct{ io.Reader }{c})
}

// ProvesEnd reports whether io.EOF says by itself that the endpoint has closed its connection in order; see http1.EndProver.
func (c EndpointConnection) ProvesEnd() bool { return c.Incoming != nil }

// EndpointDialer opens connections to endpoints. It is safe for concurrent use.
type EndpointDialer interface {
	// DialEndpoint connects to the endpoint at the IP address and port. An error means that no byte can have reached the endpoint.
	DialEndpoint(ctx context.Context, endpoint EndpointID, address string) (EndpointConnection, error)
	// ObserveSilence is told that the endpoint acknowledged nothing of what was sent on a connection that was not relayed.
	ObserveSilence(endpoint EndpointID)
}
