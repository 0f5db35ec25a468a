// Package engine reads the load reports and cache events that endpoints publish.
//
// Each endpoint of the data centre is read by one live host of that data centre, chosen by
// rendezvous hashing. When that host fails, another one takes over without any
// coordination. While hosts have different member lists, two of them may read the same
// endpoint, which is harmless.
//
// # Usage
//
//	reader, err := engine.New(engine.Options{
//		Configurations: configurations, Source: ordered, Membership: members,
//		Clock: clock, Logger: logger, Observer: observer,
//	})
//	if err != nil {
//		return err
//	}
//	go reader.Run(ctx)
//
// A failed read is logged only if it is the first, or if the previous read of that endpoint
// succeeded. An endpoint for which no client can be created is logged in each round.
// Run returns only the context's error.
package engine

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"hash/fnv"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/arbutuswinch/winch"
	"github.com/arbutuswinch/winch/httpjson"
	"github.com/arbutuswinch/winch/internal/memory"
)

const (
	defaultPeriod  = time.Second
	defaultTimeout = 800 * time.Millisecond
)

// Options are the dependencies and settings of a reader. Source may be nil.
type Options struct {
	Configurations winch.Configurations
	Source         winch.EndpointSource
	Membership     winch.Membership
	Clock          winch.Clock
	Logger         hclog.Logger
	// Observer receives the load reports and cache events.
	Observer winch.LoadObserver
	// Period is the time between rounds. The load of an endpoint is read at most once in each
	// round, and less often if the host reads many endpoints. Cache events are read less
	// often than the load. The default is 1 s.
	Period time.Duration
	// Timeout limits the duration of a read. The default is 800 ms.
	Timeout time.Duration
	// Transport is used for the reads. When it is nil, each endpoint has a transport of its own.
	Transport http.RoundTripper
}

// Reader reads the endpoints that are assigned to this host.
type Reader struct {
	options Options
	logger  hclog.Logger
	// memory is what the responses of all endpoints take while they are read.
	memory *memory.Shared

	lock    sync.Mutex
	targets map[winch.EndpointID]*target
}

// target is an endpoint that this host reads.
type target struct {
	endpoint winch.Endpoint
	client   *httpjson.Client
	busy     bool
	failed   bool
	// loadDue and cacheDue are when the next reads are due.
	loadDue  time.Time
	cacheDue time.Time
	// lastCacheEvent is the sequence number after which the endpoint is asked for cache events.
	// Only the read in progress uses it; busy allows one at a time.
	lastCacheEvent int64
}

// New returns a reader.
func New(options Options) (*Reader, error) {
	switch {
	case options.Configurations == nil:
		return nil, errors.New("create load reader: Configurations is missing")
	case options.Membership == nil:
		return nil, errors.New("create load reader: Membership is missing")
	case options.Clock == nil:
		return nil, errors.New("create load reader: Clock is missing")
	case options.Observer == nil:
		return nil, errors.New("create load reader: Observer is missing")
	}
	options.Logger = cmp.Or[hclog.Logger](options.Logger, hclog.NewNullLogger())
	options.Period = cmp.Or(options.Period, defaultPeriod)
	options.Timeout = cmp.Or(options.Timeout, defaultTimeout)
	return &Reader{options: options, logger: options.Logger.Named("load"), memory: memory.NewShared(responsesSize), targets: map[winch.EndpointID]*target{}}, nil
}

// Run reads the endpoints until the context is done, and returns the context's error. In each
// round, once per Period, it starts the reads that are due.
func (r *Reader) Run(ctx context.Context) error {
	ticker := time.NewTicker(r.options.Period)
	defer ticker.Stop()
	reads := sync.WaitGroup{}
	defer reads.Wait()
	for {
		for _, next := range r.due(r.options.Clock.Now()) {
			reads.Go(func() { r.read(ctx, next) })
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
}

// dueRead is an endpoint whose load is to be read.
type dueRead struct {
	*target
	// cache means that its cache events are to be read as well.
	cache bool
}

// due returns the endpoints to read now, and marks them as busy.
func (r *Reader) due(now time.Time) []dueRead {
	assigned := Assigned(r.options.Membership.Self(), r.hosts(now), r.endpoints())
	intervals := intervalsFor(r.options.Period, len(assigned))
	r.lock.Lock()
	defer r.lock.Unlock()
	kept := map[winch.EndpointID]*target{}
	due := make([]dueRead, 0, len(assigned))
	for i, endpoint := range assigned {
		t, err := r.target(endpoint)
		if err != nil {
			r.logger.Warn("client for endpoint could not be created", "Event", EventReadFailed, "Endpoint", string(endpoint.ID), "Error", err)
			continue
		}
		kept[endpoint.ID] = t
		if next, isDue := t.startRead(now, intervals, i, len(assigned)); isDue {
			due = append(due, next)
		}
	}
	r.targets = kept
	return due
}

func (r *Reader) target(endpoint winch.Endpoint) (*target, error) {
	if t, found := r.targets[endpoint.ID]; found && t.endpoint.Address == endpoint.Address {
		return t, nil
	}
	client, err := httpjson.NewClient(httpjson.Options{Address: endpoint.Address, Timeout: r.options.Timeout, AnswerLimit: responseLimit, Transport: r.options.Transport, Memory: r.memory})
	if err != nil {
		return nil, err
	}
	return &target{endpoint: endpoint, client: client}, nil
}

func (r *Reader) hosts(now time.Time) []winch.Host {
	return r.options.Membership.Hosts(now, r.options.Membership.Self().DataCentre)
}

// endpoints returns the endpoints of this data centre, without ordered ones that are still starting.
func (r *Reader) endpoints() []winch.Endpoint {
	centre := r.options.Membership.Self().DataCentre
	var endpoints []winch.Endpoint
	for _, endpoint := range r.options.Configurations.Current().Endpoints {
		if endpoint.DataCentre == centre {
			endpoints = append(endpoints, endpoint)
		}
	}
	if r.options.Source == nil {
		return endpoints
	}
	for _, status := range r.options.Source.Endpoints() {
		if status.Endpoint.DataCentre == centre && status.State != winch.EndpointStarting {
			endpoints = append(endpoints, status.Endpoint)
		}
	}
	return endpoints
}

// Assigned returns the endpoints that rendezvous hashing over the hosts assigns to self.
func Assigned(self winch.Host, hosts []winch.Host, endpoints []winch.Endpoint) []winch.Endpoint {
	var assigned []winch.Endpoint
	for _, endpoint := range endpoints {
		// This host counts even if it is not in its member list.
		best, bestScore := self.ID, rendezvousScore(self.ID, endpoint.ID)
		for _, host := range hosts {
			if score := rendezvousScore(host.ID, endpoint.ID); score > bestScore || score == bestScore && host.ID < best {
				best, bestScore = host.ID, score
			}
		}
		if best == self.ID {
			assigned = append(assigned, endpoint)
		}
	}
	return assigned
}

// rendezvousScore returns the score of the host for the endpoint. The host with the highest score reads it.
func rendezvousScore(host winch.HostID, endpoint winch.EndpointID) uint64 {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(endpoint))
	_, _ = hash.Write([]byte{0})
	_, _ = hash.Write([]byte(host))
	// The high bits of FNV are similar for similar names, so the hash is mixed once more.
	x := hash.Sum64()
	x = (x ^ x>>33) * 0xff51afd7ed558ccd
	return x ^ x>>33
}

// read reads the endpoint once, and logs when reads start to fail or succeed again.
func (r *Reader) read(ctx context.Context, t dueRead) {
	err := r.readLoad(ctx, t.target)
	if err == nil && t.cache {
		err = r.readCache(ctx, t.target)
	}
	r.lock.Lock()
	changed := t.failed != (err != nil)
	t.failed, t.busy = err != nil, false
	if t.cache && err != nil {
		// The cache events were not read, so they are due with the next read of the load.
		t.cacheDue = time.Time{}
	}
	r.lock.Unlock()
	if !changed || ctx.Err() != nil {
		return
	}
	if err != nil {
		r.logger.Warn("endpoint could not be read", "Event", EventReadFailed, "Endpoint", string(t.endpoint.ID), "Error", err)
		return
	}
	r.logger.Info("endpoint can be read again", "Event", EventReadRecovered, "Endpoint", string(t.endpoint.ID))
}

func (r *Reader) readLoad(ctx context.Context, t *target) error {
	response := loadResponse{}
	if err := t.client.Fetch(ctx, "/v1/load", &response); err != nil {
		return fmt.Errorf("read load report: %w", err)
	}
	now := r.options.Clock.Now()
	report, err := response.report(now, t.endpoint.ID)
	if err != nil {
		return fmt.Errorf("read load report: %w", err)
	}
	r.options.Observer.ObserveLoad(now, report)
	return nil
}

func (r *Reader) readCache(ctx context.Context, t *target) error {
	response := cacheResponse{}
	if err := t.client.Fetch(ctx, "/v1/cache/events?after="+strconv.FormatInt(t.lastCacheEvent, 10), &response); err != nil {
		// An endpoint need not publish cache events.
		if errors.Is(err, winch.ErrNotFound) {
			return nil
		}
		return fmt.Errorf("read cache events: %w", err)
	}
	now := r.options.Clock.Now()
	for _, event := range response.Events {
		r.options.Observer.ObserveCache(now, winch.CacheEvent{
			Endpoint: t.endpoint.ID, Prefix: winch.PrefixHash(event.Prefix), Evicted: event.Evicted,
		})
	}
	// Next may be lower than before, since an engine numbers its events from the beginning
	// after a restart.
	t.lastCacheEvent = response.Next
	return nil
}
