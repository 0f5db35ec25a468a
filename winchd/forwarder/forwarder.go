// Package forwarder wires the process of an entry host that forwards requests on the
// users' platform (see package platform), and runs it as a kratos application.
//
// # Usage
//
//	built, err := forwarder.New(path, loaded, version, logger)
//	if err != nil {
//		return err
//	}
//	err = built.Run(process.ListenForStops()) // until SIGTERM or SIGINT, or until a task fails
package forwarder

import (
	"net/http"
	"time"

	"github.com/go-kratos/kratos/v2/transport"
	khttp "github.com/go-kratos/kratos/v2/transport/http"
	"github.com/google/uuid"
	"github.com/hashicorp/go-hclog"

	"github.com/arbutuswinch/winch"
	"github.com/arbutuswinch/winch/clock/boottime"
	"github.com/arbutuswinch/winch/clock/synced"
	dispatch "github.com/arbutuswinch/winch/dispatch/endpoint"
	"github.com/arbutuswinch/winch/internal/connlimit"
	storepeer "github.com/arbutuswinch/winch/keyvalue/peer"
	members "github.com/arbutuswinch/winch/membership/keyvalue"
	memberpeer "github.com/arbutuswinch/winch/membership/peer"
	origins "github.com/arbutuswinch/winch/origin/peer"
	endpoints "github.com/arbutuswinch/winch/placement/registry"
	"github.com/arbutuswinch/winch/platform/caller"
	"github.com/arbutuswinch/winch/platform/operator"
	"github.com/arbutuswinch/winch/platform/registry"
	"github.com/arbutuswinch/winch/platform/runner"
	"github.com/arbutuswinch/winch/platform/store"
	quarantine "github.com/arbutuswinch/winch/quarantine/peer"
	release "github.com/arbutuswinch/winch/release/source"
	"github.com/arbutuswinch/winch/serving/forward"
	"github.com/arbutuswinch/winch/serving/httpexchange"
	"github.com/arbutuswinch/winch/serving/tunnel"
	"github.com/arbutuswinch/winch/winchd/process"
	"github.com/arbutuswinch/winch/winchd/settings"
)

const (
	// keyMargin is subtracted from the time after which a withdrawn key must not admit requests.
	// It covers the time from the last check of the key until the endpoint starts the request.
	keyMargin = 900 * time.Millisecond
	// isolationLimit is how long keys stay valid after the configuration was last confirmed, if
	// the platform sets no limit.
	isolationLimit = 5 * time.Minute
	// pollShare is the poll interval as a share of the time within which a configuration must be
	// applied. With the interval of the exchange between hosts it is less than relayedLimit, so that usually only the hub polls.
	pollShare = 0.2
	// rejectMargin is subtracted from the time within which a configuration must be applied, to get
	// the result of rejectLimit.
	rejectMargin = 400 * time.Millisecond
	// dialTimeout limits the time to connect to an endpoint.
	dialTimeout = 400 * time.Millisecond
	// exchangeEvery is the interval between exchanges with the hub.
	exchangeEvery = 250 * time.Millisecond
	// suspectAfter is the time without a message after which a host is considered dead.
	suspectAfter = 1500 * time.Millisecond
	// forgetAfter is the time without a message after which a host that is not in the host list is
	// removed.
	forgetAfter = time.Minute
	// listEvery is the interval at which the hub reads the host list from the store.
	listEvery = 5 * time.Second
)

// exchangeGroup is the data centre ID under which all hosts exchange their state. Every host uses
// the endpoints of all data centres, so each needs to know the load that the others put on them.
// It is not the ID of a real data centre.
const exchangeGroup winch.DataCentreID = "all"

// Forwarder is the process of one entry host.
type Forwarder struct {
	path        string
	settings    settings.Forwarding
	logger      hclog.Logger
	version     string
	clock       winch.Clock
	incarnation winch.Incarnation
	metrics     *process.Metrics
	guard       *process.Guard
	store       *store.Client
	// eras is what the hosts tell each other of the store.
	eras *storepeer.Section
	// synced is the wall clock on which the hosts agree. It assigns usage to windows.
	synced *synced.Clock

	table         *memberpeer.Table
	hosts         *members.Registry
	peers         *peers
	configuration *release.Follower
	endpoints     *endpoints.Follower
	dispatcher    *dispatch.Dispatcher
	exchanger     *httpexchange.Client
	tunnels       *tunnel.Dialer
	quarantine    *quarantine.Guard
	origins       *origins.Keeper
	server        *forward.Server
	duties        *duties

	servers []transport.Server
}

// New builds the process and opens its ports, so that a port in use is reported at once. Run
// serves. path is the file from which the settings were loaded. They are reloaded when it changes.
func New(path string, loaded settings.Forwarding, version string, logger hclog.Logger) (*Forwarder, error) {
	clock, err := boottime.New()
	if err != nil {
		return nil, err
	}
	f := &Forwarder{
		path: path, settings: loaded, logger: logger, version: version, clock: clock, synced: synced.New(clock, time.Now), incarnation: winch.Incarnation(uuid.NewString()),
	}
	err = process.Build([]process.Step{
		{Name: "metrics", Build: f.buildMetrics},
		{Name: "memory", Build: f.buildGuard},
		{Name: "store", Build: f.buildStore},
		{Name: "membership", Build: f.buildMembership},
		{Name: "configuration", Build: f.buildConfiguration},
		{Name: "endpoints", Build: f.buildEndpoints},
		{Name: "dispatch", Build: f.buildDispatch},
		{Name: "duties", Build: f.buildDuties},
		{Name: "tunnels", Build: f.buildTunnels},
		{Name: "quarantine", Build: f.buildQuarantine},
		{Name: "stream origins", Build: f.buildOrigins},
		{Name: "serving", Build: f.buildServing},
		{Name: "exchange", Build: f.buildExchange},
		{Name: "servers", Build: f.buildServers},
	})
	if err != nil {
		return nil, err
	}
	return f, nil
}

func (f *Forwarder) buildMetrics() error {
	built, err := process.NewMetrics()
	f.metrics = built
	return err
}

func (f *Forwarder) buildGuard() error {
	limits := f.settings.Limits
	built, err := process.NewGuard(process.GuardLimits{Memory: limits.Memory, RequestMemory: limits.RequestMemory, Connections: limits.Connections}, f.logger, f.metrics.Meter())
	f.guard = built
	return err
}

func (f *Forwarder) buildStore() error {
	built, err := store.New(store.Options{Address: f.settings.Store.Address, Timeout: f.settings.Store.Timeout, Meter: f.metrics.Meter(), Logger: f.logger})
	if err != nil {
		return err
	}
	f.store = built
	f.eras = storepeer.New(storepeer.Options{Self: f.settings.Host, Tracker: built.Eras(), Settle: suspectAfter})
	return nil
}

func (f *Forwarder) buildMembership() error {
	self := winch.Host{ID: f.settings.Host, DataCentre: exchangeGroup, Home: f.settings.DataCentre, PeerAddress: f.settings.Peer.Address, Capacity: f.settings.Limits.Processors}
	f.table = memberpeer.NewTable(self, nil, suspectAfter, forgetAfter)
	f.table.EnableGroups()
	built, err := members.New(members.Options{Store: f.store, Eras: f.store.Eras(), Self: self, Logger: f.logger})
	f.hosts = built
	return err
}

func (f *Forwarder) buildConfiguration() error {
	built, err := release.New(release.Options{
		Source: operator.New(f.store), Clock: f.clock, Logger: f.logger, Membership: f.table, Self: f.settings.Host, FreshnessLimit: keyLimit(f.settings.Bounds),
		SupersededLimit: rejectLimit(f.settings.Bounds),
		PollEvery:       time.Duration(pollShare * float64(f.settings.Bounds.Apply)), MaxRelayedAge: relayedLimit(f.settings.Bounds),
	})
	f.configuration = built
	return err
}

// apply applies changed settings to the running process.
func (f *Forwarder) apply(changed settings.Forwarding) {
	f.logger.SetLevel(hclog.LevelFromString(changed.Log.Level))
	f.configuration.SetLimits(keyLimit(changed.Bounds), rejectLimit(changed.Bounds))
	f.server.SetFreshnessLimits(rejectLimit(changed.Bounds), keyLimit(changed.Bounds))
	f.endpoints.SetEvacuations(f.evacuations(changed.Bounds))
	if err := f.applyQuarantine(changed.Quarantine); err != nil {
		f.logger.Error("settings of the quarantine rejected", "Event", EventReloadFailed, "Cause", "policy", "Error", err)
	}
}

func (f *Forwarder) buildEndpoints() error {
	built, err := endpoints.New(endpoints.Options{
		Lister: registry.New(registry.Options{Store: f.store, Logger: f.logger}), Eras: f.store.Eras(), Clock: f.clock, Logger: f.logger, Self: f.settings.Host,
		MaxRelayedAge: relayedLimit(f.settings.Bounds), Evacuations: f.evacuations(f.settings.Bounds),
	})
	f.endpoints = built
	return err
}

// evacuations returns the lister of the evacuated data centres, or nil if bounds.Evacuate is zero.
func (f *Forwarder) evacuations(bounds settings.ForwardingBounds) winch.EvacuationLister {
	if bounds.Evacuate == 0 {
		return nil
	}
	return registry.NewEvacuations(registry.Options{Store: f.store, Logger: f.logger})
}

func (f *Forwarder) buildDispatch() error {
	built, err := dispatch.New(dispatch.Options{
		Configurations: f.configuration, Source: f.endpoints, Membership: f.table, Clock: f.clock, Logger: f.logger,
		Meter: f.metrics.Meter(), Policy: dispatch.PolicyPrefill, Home: f.settings.DataCentre, Seed: uint64(time.Now().UnixNano()),
		Settings: f.dispatchSettings(), Optional: dispatch.Optional(f.settings.Dispatch),
	})
	f.dispatcher = built
	return err
}

const (
	// minRetryHosts is the minimum number of hosts among which the guaranteed retries are divided,
	// since a host that knows of few others may be partitioned from the rest.
	minRetryHosts = 8
	// retryShareFraction is the fraction of the allowed retry share that the hosts themselves use.
	retryShareFraction = 0.4
	// retryFloorFraction is the same fraction for the guaranteed retries.
	retryFloorFraction = 0.4
)

func (f *Forwarder) dispatchSettings() dispatch.Settings {
	bounds := f.settings.Bounds
	// The last five fields replace defaults of the dispatcher. RetryAfterMin and RetryAfterMax bound
	// the retry time given in refusals. SilenceLimit is how long an endpoint with running streams may
	// send no output before it gets no requests. RampTime is the time over which a new endpoint's
	// limit is raised to its full value. KeepEvacuatedStreams is set because the server moves no streams.
	return dispatch.Settings{
		RetryShare:      bounds.RetryShare * retryShareFraction,
		RetryFloorTotal: float64(bounds.RetryMinimum) / bounds.RetryWindow.Seconds() * retryFloorFraction,
		RetryMinHosts:   minRetryHosts,
		RetryWindow:     bounds.RetryWindow,
		RetryAfterMin:   300 * time.Millisecond, RetryAfterMax: 5 * time.Second,
		SilenceLimit: time.Second, RampTime: time.Second, KeepEvacuatedStreams: true, AwaitList: bounds.Evacuate > 0,
	}
}

func (f *Forwarder) buildServing() error {
	built, err := forward.New(forward.Options{
		Configurations: f.configuration, Dispatcher: f.dispatcher, Protocol: caller.Protocol{}, Sender: runner.New(f.exchanger), Prober: f.tunnels,
		Usage: f, Loads: f.dispatcher, Listener: f.dispatcher, Quarantine: f.quarantine, Origins: f.origins, Clock: f.clock, Logger: f.logger, Meter: f.metrics.Meter(),
		Memory: f.guard.Budget(),
		Limits: forward.Limits{
			ReadinessDelay: readinessDelay, AcceptStreams: acceptStreamsFor,
			AcceptLong:     min(acceptStreamsFor, time.Duration(float64(f.settings.Bounds.Grace)*acceptLongShare)),
			LastWrite:      time.Duration(float64(f.settings.Bounds.Grace) * lastWriteShare),
			AcceptRequests: time.Duration(float64(f.settings.Bounds.Grace) * acceptShare), RejectMaxAge: rejectLimit(f.settings.Bounds), KeyMaxAge: keyLimit(f.settings.Bounds),
		},
	})
	f.server = built
	return err
}

func (f *Forwarder) buildExchange() error {
	f.peers = newPeers(f.hosts, f.origins, f.configuration, f.tunnels, f.logger, func(secret string) (*memberpeer.Exchange, error) {
		return memberpeer.New(memberpeer.Options{
			Table: f.table, Hosts: f.hosts, Clock: f.clock, Logger: f.logger, Meter: f.metrics.Meter(), Secret: secret, Rejected: f.peers.noteRejected,
			ExchangeEvery: exchangeEvery, ListEvery: listEvery, Sections: f.sections(),
		})
	})
	return nil
}

func (f *Forwarder) sections() []winch.Section {
	// The era comes first, since the others act on what the store holds in it.
	return []winch.Section{
		f.eras, f.configuration.Section(), f.endpoints.Section(), f.dispatcher.Section(), f.dispatcher.RateSection(), f.synced.Section(f.table),
		f.duties.counters, f.duties.sealed, f.quarantine,
	}
}

func (f *Forwarder) buildServers() error {
	callers, err := f.newServer(f.settings.Caller.Address, f.server.Handler(), callerLimits(), f.guard.Callers)
	if err != nil {
		return err
	}
	// NewServer puts the handler behind the router of kratos, which would change paths. They are
	// matched and forwarded byte for byte, so the router is replaced by the handler itself.
	callers.Handler = f.server.Handler()
	ready, err := f.newServer(f.settings.Caller.ReadyAddress, http.HandlerFunc(f.serveReady), process.InternalLimits(), f.guard.Ready)
	if err != nil {
		return err
	}
	peers, err := f.newServer(f.settings.Peer.Address, f.peers.handler(), process.InternalLimits(), f.internal("peer"))
	if err != nil {
		return err
	}
	f.servers = []transport.Server{callers, ready, peers, process.NewRunner(f.logger, f.tasks())}
	if f.settings.Caller.MetricsAddress == "" {
		return nil
	}
	mux := http.NewServeMux()
	mux.Handle("/metrics", f.metrics.Handler())
	mux.Handle("/metrics/runtime", f.metrics.RuntimeHandler())
	metrics, err := f.newServer(f.settings.Caller.MetricsAddress, mux, process.InternalLimits(), f.internal("metrics"))
	f.servers = append(f.servers, metrics)
	return err
}

// internal returns the constructor of the limiter of a port that is not exposed to callers.
func (f *Forwarder) internal(port string) func() (*connlimit.Limiter, error) {
	return func() (*connlimit.Limiter, error) { return f.guard.Internal(port, internalConnections) }
}

// newServer returns a server whose connections the limiter that newLimiter returns limits.
func (f *Forwarder) newServer(address string, handler http.Handler, limits process.ServerLimits, newLimiter func() (*connlimit.Limiter, error)) (*khttp.Server, error) {
	limiter, err := newLimiter()
	if err != nil {
		return nil, err
	}
	limits.Connections = limiter
	return process.NewServer(address, handler, limits, nil)
}

const (
	callerHeaderLimit   = 64 << 10
	callerHeaderTimeout = 5 * time.Second
	// internalConnections is the maximum number of connections of a port that is not exposed to callers.
	internalConnections = 512
	// callerIdleTimeout is longer than callers keep idle connections.
	callerIdleTimeout = 2 * time.Minute
)

func callerLimits() process.ServerLimits {
	return process.ServerLimits{HeaderLimit: callerHeaderLimit, ReadTimeout: callerHeaderTimeout, IdleTimeout: callerIdleTimeout}
}

func (f *Forwarder) tasks() []process.Task {
	return append([]process.Task{
		{Name: "memory", Run: f.guard.Run},
		{Name: "configuration", Run: f.configuration.Run},
		{Name: "endpoint list", Run: f.endpoints.Run},
		{Name: "host entry", Run: f.hosts.Run},
		{Name: "exchange", Run: f.peers.run},
		{Name: "dispatcher", Run: f.dispatcher.Run},
		{Name: "pruning of idle connections", Run: f.exchanger.Run},
		{Name: "tunnels", Run: f.tunnels.Run},
		{Name: "quarantine", Run: f.quarantine.Run},
		{Name: "stream origins", Run: f.origins.Run},
		{Name: "settings", Run: (&reloader{path: f.path, logger: f.logger, current: f.settings, apply: f.apply}).run},
	}, f.duties.tasks...)
}

// Run serves until a termination signal, or until a task or server fails. After a signal it finishes
// open requests before it returns.
func (f *Forwarder) Run(stops *process.Stops) error {
	return process.Application{
		Host: f.settings.Host, Version: f.version, Logger: f.logger, Servers: f.servers, Drain: f.drain, StopWithin: f.settings.Bounds.Grace,
		StartFields: []any{"DataCentre", f.settings.DataCentre, "Incarnation", f.incarnation, "Caller", f.settings.Caller.Address},
	}.Run(stops)
}
