package forwarder

import (
	"context"
	"syscall"

	"github.com/arbutuswinch/winch/serving/httpexchange"
	"github.com/arbutuswinch/winch/serving/tunnel"
)

// dialControl is called before each connection to an endpoint is opened; see net.Dialer.ControlContext. Tests set it to lose links.
var dialControl func(ctx context.Context, network, address string, raw syscall.RawConn) error

// buildTunnels builds the client of the endpoints, whose connections lead through other hosts while this one does not reach the endpoints.
func (f *Forwarder) buildTunnels() error {
	built, err := tunnel.New(tunnel.Options{
		Membership: f.table, Endpoints: f.endpoints, Clock: f.clock, Logger: f.logger, Meter: f.metrics.Meter(), DialTimeout: dialTimeout,
		Control: dialControl,
	})
	if err != nil {
		return err
	}
	f.tunnels = built
	f.exchanger = httpexchange.New(httpexchange.Options{DialTimeout: dialTimeout, Dialer: built, Control: dialControl})
	return nil
}
