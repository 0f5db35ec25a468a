package forwarder

import origins "github.com/arbutuswinch/winch/origin/peer"

func (f *Forwarder) buildOrigins() error {
	built, err := origins.New(origins.Options{
		Membership: f.table, Endpoints: f.endpoints, Configurations: f.configuration, Clock: f.clock, Logger: f.logger, Meter: f.metrics.Meter(),
	})
	f.origins = built
	return err
}
