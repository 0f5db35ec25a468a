// Package peer tracks which hosts are alive and which of them is the hub of its data centre.
// Each host periodically sends a report to the hub of its data centre and gets a summary
// back. Hubs of different data centres exchange digests. Components of the system add their
// data to these messages as sections.
//
// # Usage
//
//	table := peer.NewTable(self, centres, 2*time.Second, 10*time.Minute)
//	exchange, err := peer.New(peer.Options{Table: table, Sections: sections, Clock: clock, Logger: logger, Secret: secret})
//	if err != nil {
//		return err
//	}
//	mux.Handle("/peer/", exchange.Handler())
//	err = exchange.Run(ctx)
package peer

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"go.opentelemetry.io/otel/metric"
	"go.opentelemetry.io/otel/metric/noop"
	"golang.org/x/sync/errgroup"

	"github.com/arbutuswinch/winch"
	"github.com/arbutuswinch/winch/httpjson"
	"github.com/arbutuswinch/winch/internal/periodic"
)

const (
	defaultExchangeEvery = 500 * time.Millisecond
	defaultDigestEvery   = time.Second
	defaultListEvery     = 5 * time.Second
	defaultTimeout       = time.Second
	noPeerListEvery      = time.Second
)

// HostLister reads the list of hosts, for example from the platform or the key-value service.
type HostLister interface {
	List(ctx context.Context) ([]winch.Host, error)
}

// Options are the settings of an Exchange. Durations that are zero get their defaults.
type Options struct {
	Table *Table
	// Hosts may be nil; other hosts are then known only from the calls that they make.
	Hosts HostLister
	// Sections may be empty.
	Sections []winch.Section
	Clock    winch.Clock
	Logger   hclog.Logger
	// Meter may be nil.
	Meter metric.Meter
	// Secret is the bearer token with which hosts authenticate to each other.
	Secret string
	// Transport is used for calls to other hosts. If it is nil, the client creates its own.
	Transport http.RoundTripper
	// ExchangeEvery is the period of the exchanges with the hub. In a data centre with more
	// than 20 hosts, it grows in proportion to their number, up to twice this value.
	ExchangeEvery time.Duration
	// DigestEvery is the period of the digests to another data centre. With more than four
	// data centres, it grows in proportion to their number, up to 1.5 times this value.
	DigestEvery time.Duration
	// ListEvery is the period with which a hub reads the host list.
	ListEvery time.Duration
	// Timeout is the timeout of a call to another host.
	Timeout time.Duration
}

// Exchange periodically calls the hub of this host's data centre. If this host is that hub, it
// calls the hubs of the other data centres instead.
type Exchange struct {
	options   Options
	table     *Table
	compactor *httpjson.Compactor

	clients *httpjson.Clients

	mu sync.Mutex
	// parent is the host to which this host reported at the latest exchange, and relays whether other hosts then reported to it.
	parent winch.HostID
	relays bool
	// members holds what the hosts that report to this one have told of those that report to them, and acknowledgedMembers
	// the version of this host's own members that its parent has.
	members             map[winch.HostID]hostSet
	acknowledgedMembers uint64
	// relayed is the set of all live hosts as of relayedAt.
	relayed   hostSet
	relayedAt time.Time
	// receivedHosts is the host set of the latest response to an exchange.
	receivedHosts hostSet
	// remoteHosts holds the host set of each other data centre.
	remoteHosts map[winch.DataCentreID]hostSet
	// acknowledged holds, for each other data centre, the version of this data centre's host
	// set that it has confirmed.
	acknowledged map[winch.DataCentreID]uint64
}

// New returns an exchange, which does nothing until Run is called.
func New(options Options) (*Exchange, error) {
	if options.Table == nil || options.Clock == nil || options.Logger == nil {
		return nil, fmt.Errorf("create exchange: Table, Clock and Logger are required: %w", winch.ErrInvalid)
	}
	options.ExchangeEvery = cmp.Or(options.ExchangeEvery, defaultExchangeEvery)
	options.DigestEvery = cmp.Or(options.DigestEvery, defaultDigestEvery)
	options.ListEvery = cmp.Or(options.ListEvery, defaultListEvery)
	options.Timeout = cmp.Or(options.Timeout, defaultTimeout)
	compactor := newCompactor()
	if err := observeCallers(options); err != nil {
		return nil, err
	}
	return &Exchange{
		options: options, table: options.Table, compactor: compactor,
		clients: httpjson.NewClients(httpjson.Options{
			Secret: options.Secret, Timeout: options.Timeout, Transport: options.Transport, Compactor: compactor,
		}),
		members:      map[winch.HostID]hostSet{},
		remoteHosts:  map[winch.DataCentreID]hostSet{},
		acknowledged: map[winch.DataCentreID]uint64{},
	}, nil
}

// observeCallers adds the gauge of the hosts that report to this one.
func observeCallers(options Options) error {
	meter := cmp.Or[metric.Meter](options.Meter, noop.Meter{})
	_, err := meter.Int64ObservableGauge("winch_peer_callers", metric.WithDescription("Hosts that report to this one, as the hub or the head of a group."),
		metric.WithInt64Callback(func(_ context.Context, observer metric.Int64Observer) error {
			observer.Observe(int64(len(options.Table.Callers(options.Clock.Now()))))
			return nil
		}))
	if err != nil {
		return fmt.Errorf("create gauge of callers: %w", err)
	}
	return nil
}

// Run exchanges reports and digests until ctx is done.
func (e *Exchange) Run(ctx context.Context) error {
	e.readHosts(ctx)
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return periodic.RunPaced(ctx, e.exchangePeriod, e.exchange) })
	group.Go(func() error { return periodic.RunPaced(ctx, e.digestPeriod, e.sendDigests) })
	group.Go(func() error { return periodic.RunPaced(ctx, e.listPeriod, e.refreshHosts) })
	return group.Wait()
}

func (e *Exchange) exchangePeriod() time.Duration {
	if e.table.RelaysReports(e.options.Clock.Now()) {
		// The messages between the hub and the heads are few.
		return e.options.ExchangeEvery
	}
	return scalePeriod(e.options.ExchangeEvery, e.table.ExchangeFactor())
}

func (e *Exchange) digestPeriod() time.Duration {
	return scalePeriod(e.options.DigestEvery, e.table.DigestFactor())
}

const (
	// minParentTries is the number of hosts that are tried for one report, also if each of them costs a timeout.
	minParentTries = 2
	// maxParentTries bounds the tries of hosts that refuse the connection, as after many were killed at once.
	maxParentTries = 20
)

// exchange sends a report to the parent, which is the hub or the head of this host's group. If the parent does not respond, it is
// marked as failed and the report goes to the host that takes its place.
func (e *Exchange) exchange(ctx context.Context) {
	started := e.options.Clock.Now()
	for try := range maxParentTries {
		now := e.options.Clock.Now()
		if try >= minParentTries && now.Sub(started) >= e.options.Timeout {
			return
		}
		parent := e.table.Parent(now)
		e.setParent(parent)
		e.setRelays(now)
		if parent.ID == e.table.Self().ID {
			e.exchangeLocally(now)
			e.introduce(ctx, now)
			return
		}
		err := e.exchangeWith(ctx, parent, e.options.Sections)
		if err == nil || ctx.Err() != nil {
			return
		}
		e.recordAndLogFailure(parent, err)
	}
}

// introduce calls another host if this one ranks as the hub and has heard none yet. The others then learn of it at once
// instead of from the host list.
func (e *Exchange) introduce(ctx context.Context, now time.Time) {
	host, found := e.table.Introduction(now)
	if !found {
		return
	}
	if err := e.exchangeWith(ctx, host, e.probeSections()); err != nil && ctx.Err() == nil {
		e.recordAndLogFailure(host, err)
	}
}

// probeSections returns the sections for a call to a host that may not be this host's parent. While the hosts are divided into
// groups there are none, because the host would count the report in addition to the parent.
func (e *Exchange) probeSections() []winch.Section {
	if e.table.Grouped() {
		return nil
	}
	return e.options.Sections
}

// recordAndLogFailure records in the table that the call to the host failed, and logs it.
func (e *Exchange) recordAndLogFailure(host winch.Host, err error) {
	e.table.RecordFailure(e.options.Clock.Now(), host.ID)
	e.options.Logger.Warn("call to peer failed", "Event", EventPeerFailed, "Host", host.ID, "Address", host.PeerAddress, "Error", err)
}

func (e *Exchange) setParent(parent winch.Host) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.parent == parent.ID {
		return
	}
	e.parent = parent.ID
	// Version zero makes the new parent send its complete list.
	e.receivedHosts = hostSet{}
	e.acknowledgedMembers = 0
	e.options.Logger.Info("hub or head of the group changed", "Event", EventHubChanged, "Hub", parent.ID)
}

func (e *Exchange) setRelays(now time.Time) {
	relays := e.table.RelaysReports(now)
	e.mu.Lock()
	changed := e.relays != relays
	e.relays = relays
	e.mu.Unlock()
	if changed {
		e.options.Logger.Info("hub or head of a group", "Event", EventRelaysReports, "Relays", relays, "Callers", len(e.table.Callers(now)))
	}
}

func (e *Exchange) exchangeLocally(now time.Time) {
	self := e.table.Self().ID
	for _, section := range e.options.Sections {
		e.logSectionError(section, section.Collect(now, self, section.Report(now)))
	}
	for _, section := range e.options.Sections {
		e.logSectionError(section, section.Apply(now, now, self, section.Summary(now, self)))
	}
}

func (e *Exchange) exchangeWith(ctx context.Context, hub winch.Host, exchanged []winch.Section) error {
	client, err := e.clients.To(hub.PeerAddress)
	if err != nil {
		return err
	}
	sent := e.options.Clock.Now()
	call := exchangeCall{From: encodeHost(e.table.Self()), Sections: reports(sent, exchanged), Version: e.receivedVersion()}
	e.addMembers(sent, &call)
	response := exchangeResponse{}
	if err := client.Call(ctx, "/peer/exchange", call, &response); err != nil {
		return fmt.Errorf("exchange with %s: %w", hub.ID, err)
	}
	if err := response.validate(); err != nil {
		return fmt.Errorf("exchange with %s: %w", hub.ID, err)
	}
	now := e.options.Clock.Now()
	e.table.RecordAlive(now, hub, now.Sub(sent))
	e.noteMembersAcknowledged(hub.ID, response.MembersVersion)
	e.applyHosts(now, response)
	for _, section := range exchanged {
		if summary, found := response.Sections[string(section.Name())]; found {
			e.logSectionError(section, section.Apply(now, sent, hub.ID, summary))
		}
	}
	return nil
}

// reports returns the reports of the sections, nil if there are no sections.
func reports(now time.Time, exchanged []winch.Section) sections {
	if len(exchanged) == 0 {
		return nil
	}
	reports := sections{}
	for _, section := range exchanged {
		if report := section.Report(now); report != nil {
			reports[string(section.Name())] = json.RawMessage(report)
		}
	}
	return reports
}

func (e *Exchange) receivedVersion() uint64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.receivedHosts.version
}

func (e *Exchange) applyHosts(now time.Time, response exchangeResponse) {
	e.mu.Lock()
	// The response contains no hosts if the call named their current version. The stored version
	// can differ from it by now if a concurrent call has replaced it.
	if response.Hosts != nil || response.Version != e.receivedHosts.version {
		e.receivedHosts = decodeHosts(response.Version, response.Hosts)
	}
	hosts := e.receivedHosts.hosts
	e.mu.Unlock()
	age := e.table.RelayedAge()
	for _, host := range hosts {
		e.table.RecordAlive(now, host, age)
	}
}

// listPeriod returns the period for reading the host list. It is shorter while this host knows
// no other host of its data centre, because the list may lag when all hosts start together.
func (e *Exchange) listPeriod() time.Duration {
	if e.table.knowsNoPeer() {
		return min(noPeerListEvery, e.options.ListEvery)
	}
	return e.options.ListEvery
}

// refreshHosts reads the host list if this host is the hub; a host that knows no other is its
// own hub. It then probes one host of the data centre that is not considered alive.
func (e *Exchange) refreshHosts(ctx context.Context) {
	now := e.options.Clock.Now()
	centre := e.table.Self().DataCentre
	if hub, _ := e.table.Hub(now, centre); hub.ID == e.table.Self().ID {
		e.readHosts(ctx)
	}
	e.pruneMembers(now)
	host, found := e.table.Probe(now, centre)
	if !found {
		return
	}
	if err := e.exchangeWith(ctx, host, e.probeSections()); err != nil {
		// Not logged, because a host that is down would be logged with each probe.
		e.table.RecordFailure(e.options.Clock.Now(), host.ID)
	}
}

func (e *Exchange) readHosts(ctx context.Context) {
	if e.options.Hosts == nil {
		return
	}
	hosts, err := e.options.Hosts.List(ctx)
	if err != nil {
		e.options.Logger.Warn("could not read host list", "Event", EventHostListFailed, "Error", err)
		return
	}
	e.table.ApplyHostList(e.options.Clock.Now(), hosts)
}

func (e *Exchange) logSectionError(section winch.Section, err error) {
	if err != nil {
		e.options.Logger.Warn("could not process section", "Event", EventSectionFailed, "Section", section.Name(), "Error", err)
	}
}
