package daemon

import (
	"cmp"
	"time"

	dispatch "github.com/arbutuswinch/winch/dispatch/endpoint"
	loadengine "github.com/arbutuswinch/winch/load/engine"
	loadpeer "github.com/arbutuswinch/winch/load/peer"
	memberpeer "github.com/arbutuswinch/winch/membership/peer"
	memberplatform "github.com/arbutuswinch/winch/membership/platform"
	releasestore "github.com/arbutuswinch/winch/release/keyvalue"
	releaseoperator "github.com/arbutuswinch/winch/release/operator"
	releasepeer "github.com/arbutuswinch/winch/release/peer"
	"github.com/arbutuswinch/winch/serving/caller"
	servingengine "github.com/arbutuswinch/winch/serving/engine"
	servingstore "github.com/arbutuswinch/winch/serving/keyvalue"
	servingpeer "github.com/arbutuswinch/winch/serving/peer"
	servingservice "github.com/arbutuswinch/winch/serving/service"

	"github.com/arbutuswinch/winch"
)

const (
	idleConnections = 256
	// watchesPerLimit divides the freshness limit: a watch call takes at most that part of it, so
	// that the limit is kept even if a call is lost.
	watchesPerLimit = 4
	maxWatchWait    = time.Second
	// unverifiedKeyGrace is how long open requests continue after their key can no longer be confirmed.
	unverifiedKeyGrace = time.Second
	// clockMargin is added to the time after which an older revision counts as no longer served.
	// It covers the difference that the clocks of two hosts can accumulate in that time.
	clockMargin = 500 * time.Millisecond
)

// membershipComponents tracks which hosts are alive.
type membershipComponents struct {
	table    *memberpeer.Table
	exchange *memberpeer.Exchange
}

func (d *Daemon) buildMembership() error {
	self := winch.Host{ID: d.settings.Host, DataCentre: d.settings.DataCentre, PeerAddress: cmp.Or(d.settings.Peer.Advertise, d.settings.Peer.Address)}
	d.membership = &membershipComponents{
		table: memberpeer.NewTable(self, d.settings.DataCentres, d.settings.Membership.SuspectAfter, d.settings.Membership.ForgetAfter),
	}
	return nil
}

func (d *Daemon) buildExchange() error {
	options := memberpeer.Options{
		Table: d.membership.table, Clock: d.clock, Logger: d.logger, Secret: d.settings.Peer.Secret,
		Transport:     d.traffic.Transport(d.settings.Peer.Source),
		ExchangeEvery: d.settings.Membership.ExchangeEvery, DigestEvery: d.settings.Membership.DigestEvery,
		Sections: d.sections(), Memory: d.guard.Budget(),
	}
	if d.settings.Platform.Hosts != "" {
		hosts, err := memberplatform.New(memberplatform.Options{Address: d.settings.Platform.Hosts, Timeout: d.settings.Platform.Timeout})
		if err != nil {
			return err
		}
		options.Hosts = hosts
	}
	exchange, err := memberpeer.New(options)
	d.membership.exchange = exchange
	return err
}

func (d *Daemon) sections() []winch.Section {
	sections := []winch.Section{d.release.distributor.Section(), d.dispatch.dispatcher.Section(), d.dispatch.load}
	sections = append(sections, d.usage.sections()...)
	return append(sections, d.placement.sections()...)
}

// releaseComponents stores and distributes the configuration.
type releaseComponents struct {
	store       *releasestore.Store
	distributor *releasepeer.Distributor
	operator    *releaseoperator.Handler
}

func (d *Daemon) buildRelease() error {
	store, err := releasestore.New(releasestore.Options{KeyValue: d.store, Incarnation: d.incarnation, Logger: d.logger})
	if err != nil {
		return err
	}
	distributor, err := releasepeer.New(releasepeer.Options{
		Membership: d.membership.table, Log: store, Clock: d.clock, Incarnation: d.incarnation, Logger: d.logger, Meter: d.metrics.Meter(),
		FreshnessLimit: d.settings.Release.FreshnessLimit, IsolationGrace: d.settings.Release.IsolationGrace,
		Margin:    clockMargin + unverifiedKeyGrace,
		WatchWait: min(maxWatchWait, d.settings.Release.FreshnessLimit/watchesPerLimit),
	})
	if err != nil {
		return err
	}
	operator, err := releaseoperator.New(releaseoperator.Options{Log: store, Tracker: distributor, Clock: d.clock, Logger: d.logger, Memory: d.guard.Budget()})
	if err != nil {
		return err
	}
	d.release = &releaseComponents{store: store, distributor: distributor, operator: operator}
	return nil
}

// dispatchComponents queues requests and chooses endpoints.
type dispatchComponents struct {
	dispatcher *dispatch.Dispatcher
	reader     *loadengine.Reader
	load       *loadpeer.Exchange
}

func (d *Daemon) buildDispatch() error {
	dispatcher, err := dispatch.New(dispatch.Options{
		Configurations: d.release.distributor, Source: d.placement.source, Membership: d.membership.table, Clock: d.clock,
		Logger: d.logger, Meter: d.metrics.Meter(), Policy: dispatch.Policy(d.settings.Dispatch.Policy), Seed: d.settings.Dispatch.Seed,
	})
	if err != nil {
		return err
	}
	load, err := loadpeer.New(loadpeer.Options{Observer: winch.LoadObservers{dispatcher, d.placement}})
	if err != nil {
		return err
	}
	reader, err := loadengine.New(loadengine.Options{
		Configurations: d.release.distributor, Source: d.placement.source, Membership: d.membership.table, Clock: d.clock,
		Logger: d.logger, Observer: load, Period: d.settings.Dispatch.ReportEvery, Transport: d.traffic.Transport(""),
	})
	d.dispatch = &dispatchComponents{dispatcher: dispatcher, reader: reader, load: load}
	return err
}

// servingComponents serves callers.
type servingComponents struct {
	server *caller.Server
}

func (d *Daemon) buildServing() error {
	claims, err := servingstore.New(servingstore.Options{
		Store: d.store, Owner: d.incarnation, Logger: d.logger, Retention: d.settings.Claims.Retention,
	})
	if err != nil {
		return err
	}
	server, err := caller.New(caller.Options{
		Configurations: d.release.distributor, Dispatcher: d.dispatch.dispatcher, Usage: d.usage.counters, Claims: claims,
		Engines:  servingengine.New(servingengine.Options{Secret: d.settings.Endpoints.Credential, IdleConnections: idleConnections, DialTimeout: d.settings.Endpoints.DialTimeout}),
		Services: servingservice.New(servingservice.Options{Secret: d.settings.Endpoints.Credential, IdleConnections: idleConnections, DialTimeout: d.settings.Endpoints.DialTimeout}),
		Peers:    servingpeer.New(servingpeer.Options{Secret: d.settings.Peer.Secret, IdleConnections: idleConnections, DialTimeout: d.settings.Endpoints.DialTimeout}),
		Clock:    d.clock, Logger: d.logger, Meter: d.metrics.Meter(),
		Limits:     d.callerLimits(),
		Memory:     d.guard.Budget(),
		PeerSecret: d.settings.Peer.Secret,
	})
	d.serving = &servingComponents{server: server}
	return err
}

func (d *Daemon) callerLimits() caller.Limits {
	return caller.Limits{
		RequestBody: d.settings.Caller.BodyLimit, Timeout: d.settings.Caller.RequestTimeout,
		UnverifiedKeyGrace: unverifiedKeyGrace, ReadTimeout: d.settings.Caller.ReadTimeout, ReadinessDelay: max(d.settings.Shutdown.ReadinessDelay, time.Millisecond),
	}
}
