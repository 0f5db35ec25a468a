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
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"go.opentelemetry.io/otel/metric"
	"go.opentelemetry.io/otel/metric/noop"
	"golang.org/x/sync/errgroup"

	"github.com/arbutuswinch/winch"
	"github.com/arbutuswinch/winch/httpjson"
	"github.com/arbutuswinch/winch/internal/memory"
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
	// Rejected, if not nil, is called when another host has not accepted the secret.
	Rejected func()
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
	// Memory is the budget of all requests of the process. Nil means no limit.
	Memory *memory.Budget
}

// Exchange periodically calls the hub of this host's data centre. If this host is that hub, it
// calls the hubs of the other data centres instead.
type Exchange struct {
	options   Options
	table     *Table
	compactor *httpjson.Compactor

	clients atomic.Pointer[httpjson.Clients]

	mu sync.Mutex
	// parent is the host to which this host reported at the latest exchange, and relays whether other hosts then reported to it.
	parent winch.HostID
	relays bool
	// members holds, for each host that reports to this one, the hosts of its group as it has last reported them.
	// acknowledgedMembers is the version of this host's own group that its parent has.
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
	exchange := &Exchange{
		options: options, table: options.Table, compactor: compactor,
		members:      map[winch.HostID]hostSet{},
		remoteHosts:  map[winch.DataCentreID]hostSet{},
		acknowledged: map[winch.DataCentreID]uint64{},
	}
	exchange.Connect(options.Secret)
	return exchange, nil
}

// Connect replaces Options.Secret for the calls that begin from now on.
func (e *Exchange) Connect(secret string) {
	e.clients.Store(httpjson.NewClients(httpjson.Options{
		Secret: secret, Timeout: e.options.Timeout, Transport: e.options.Transport, Compactor: e.compactor,
	}))
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

func (e *Exchange) logSectionError(section winch.Section, err error) {
	if err != nil {
		e.options.Logger.Warn("could not process section", "Event", EventSectionFailed, "Section", section.Name(), "Error", err)
	}
}
