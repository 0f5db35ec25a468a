package forwarder

import (
	history "github.com/arbutuswinch/winch/origin/keyvalue"
	origins "github.com/arbutuswinch/winch/origin/peer"
)

func (f *Forwarder) buildOrigins() error {
	versions, err := history.New(history.Options{Store: f.store, Clock: f.synced})
	if err != nil {
		return err
	}
	built, err := origins.New(origins.Options{
		Membership: f.table, Endpoints: f.endpoints, Configurations: f.configuration, Clock: f.clock, Logger: f.logger, Meter: f.metrics.Meter(),
		History: versions, Eras: f.store.Eras(),
	})
	f.origins = built
	return err
}
