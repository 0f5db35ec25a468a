package winch

import (
	"context"
	"net"
)

// EndpointConnection is a connection to an endpoint.
type EndpointConnection struct {
	*net.TCPConn
	// Relayed is set if the connection leads through another host. It then carries one exchange only.
	Relayed bool
}

// EndpointDialer opens connections to endpoints. It is safe for concurrent use.
type EndpointDialer interface {
	// DialEndpoint connects to the endpoint at the IP address and port. An error means that no byte can have reached the endpoint.
	DialEndpoint(ctx context.Context, endpoint EndpointID, address string) (EndpointConnection, error)
	// ObserveSilence is told that the endpoint acknowledged nothing of what was sent on a connection that was not relayed.
	ObserveSilence(endpoint EndpointID)
}
