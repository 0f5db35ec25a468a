// Package peer finds the software version that began a stream, on any host.
//
// The host that began a stream may be the one that died, and its callers come back to the others within milliseconds.
// Each host therefore gives the origins of its streams to two others, chosen by the hash of the stream, in small
// batches, and a host that does not know a stream asks the first three in that order. This is done only while a model has several
// versions; before that, a host only remembers its own streams, and tells them once a second version appears.
//
// A host that cannot learn the origin of a stream does not guess: unless only one version has served for as long as a stream
// can last, the origin is unknown.
//
// # Usage
//
//	keeper, err := peer.New(peer.Options{Membership: table, Endpoints: source, Configurations: follower, Clock: clock, Logger: logger})
//	if err != nil {
//		return err
//	}
//	keeper.Connect(secret)
//	mux.Handle(peer.Prefix, keeper.Handler())
//	go keeper.Run(ctx)
//	found, err := keeper.Find(ctx, clock.Now(), stream, model)
//	if errors.Is(err, winch.ErrOriginUnknown) {
//		// Refuse the request as not run.
//	}
package peer

import (
	"cmp"
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"go.opentelemetry.io/otel/metric"
	"go.opentelemetry.io/otel/metric/noop"

	"github.com/arbutuswinch/winch"
	"github.com/arbutuswinch/winch/httpjson"
	"github.com/arbutuswinch/winch/origin"
)

const (
	// observeEvery is the interval at which the list of endpoints is observed without a change, and old records are forgotten.
	observeEvery = 250 * time.Millisecond
	// minMemory and memoryFactor give the time that a stream is remembered: a multiple of the longest timeout of a route with
	// resumable streams, since a caller may take a stream up again more than once.
	minMemory    = 10 * time.Second
	memoryFactor = 2
	// defaultTimeout stands for the timeout of a route without one.
	defaultTimeout = time.Minute
)

// Options are the dependencies of a Keeper. Only Meter, History and Eras may be nil.
type Options struct {
	Membership     winch.Membership
	Endpoints      winch.EndpointSource
	Configurations winch.Configurations
	Clock          winch.Clock
	Logger         hclog.Logger
	Meter          metric.Meter
	// History may be nil. The versions that this host has seen itself are then taken for all that have served.
	History winch.SoftwareHistory
	// Eras tells that the store of History came back from an older copy. If it is nil, it never does.
	Eras winch.EraSource
}

// Keeper implements winch.StreamOrigins. It is safe for concurrent use.
type Keeper struct {
	options Options
	metrics *metrics
	clients atomic.Pointer[httpjson.Clients]
	// lookups limits the number of streams for which other hosts are asked at the same time.
	lookups chan struct{}
	// wake is signalled when there are records to tell.
	wake chan struct{}
	// started is when this host started, and historyLoaded set once it knows which versions served before.
	started       time.Time
	historyLoaded atomic.Bool
	// savedVersions are the listed ones when this host has last saved the history; used by runHistory only.
	savedVersions []version
	// historyEra is the era of the store when the history was last loaded or saved; used by runHistory only.
	historyEra winch.Era

	mu   sync.Mutex
	book *origin.Book
	// sending counts the messages under way to each host.
	sending map[winch.HostID]int
}

var _ winch.StreamOrigins = (*Keeper)(nil)

// New checks the options and returns a keeper. Until Connect is called, it knows the streams of this host only.
func New(options Options) (*Keeper, error) {
	if options.Membership == nil || options.Endpoints == nil || options.Configurations == nil || options.Clock == nil || options.Logger == nil {
		return nil, fmt.Errorf("create keeper of stream origins: only Meter, History and Eras may be nil: %w", winch.ErrInvalid)
	}
	options.Meter = cmp.Or[metric.Meter](options.Meter, noop.Meter{})
	k := &Keeper{
		options: options, book: origin.New(), sending: map[winch.HostID]int{},
		lookups: make(chan struct{}, maxLookups), wake: make(chan struct{}, 1), started: options.Clock.Now(),
	}
	measures, err := newMetrics(options.Meter, k.records)
	if err != nil {
		return nil, err
	}
	k.metrics = measures
	return k, nil
}

// Connect sets the secret that the hosts share. Other hosts can be told and asked from then on.
func (k *Keeper) Connect(secret string) {
	k.clients.Store(httpjson.NewClients(httpjson.Options{Secret: secret, Timeout: tellTimeout}))
	k.signal()
}

// Run observes the list of endpoints and tells other hosts, until ctx ends. It returns nil.
func (k *Keeper) Run(ctx context.Context) error {
	background := sync.WaitGroup{}
	background.Go(func() { k.runTeller(ctx) })
	background.Go(func() { k.runHistory(ctx) })
	ticker := time.NewTicker(observeEvery)
	defer ticker.Stop()
	for ctx.Err() == nil {
		changed := k.options.Endpoints.Changed()
		k.observe()
		select {
		case <-ctx.Done():
		case <-changed:
		case <-ticker.C:
		}
	}
	background.Wait()
	return nil
}

// observe updates the book from the list of endpoints, and forgets what is old.
func (k *Keeper) observe() {
	statuses, readAt := k.options.Endpoints.Endpoints(), k.options.Endpoints.ReadAt()
	now, memory := k.options.Clock.Now(), k.memory()
	k.mu.Lock()
	k.book.ObserveList(now, readAt, statuses, memory)
	k.book.Prune(now, memory)
	k.mu.Unlock()
	k.signal()
}

// signal wakes the teller.
func (k *Keeper) signal() {
	select {
	case k.wake <- struct{}{}:
	default:
	}
}

// memory returns how long a stream is remembered: as long as callers may take it up.
func (k *Keeper) memory() time.Duration {
	longest := time.Duration(0)
	if configuration := k.options.Configurations.Current(); configuration != nil {
		for i := range configuration.Forwards {
			if route := &configuration.Forwards[i]; route.Resumable {
				longest = max(longest, cmp.Or(route.Timeout, defaultTimeout))
			}
		}
	}
	return max(minMemory, memoryFactor*longest)
}

func (k *Keeper) records() int64 {
	k.mu.Lock()
	defer k.mu.Unlock()
	return int64(k.book.Len())
}

// Record implements winch.StreamOrigins.
func (k *Keeper) Record(stream winch.RequestID, known winch.StreamOrigin) bool {
	memory := k.memory()
	k.mu.Lock()
	mayHaveRestarted := k.book.Record(stream, known, memory)
	k.mu.Unlock()
	k.signal()
	return mayHaveRestarted
}
