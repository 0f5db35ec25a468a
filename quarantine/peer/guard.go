// Package peer shares the evidence of package quarantine with the other hosts, through the periodic exchange (see winch.Section).
//
// No host alone sees enough: requests with the same part come at any host. Each host reports the crashes that it has seen, the
// hub merges them, and each host decides by itself from what it has received, so that a host which is cut off from the
// others still stops what it can see. Merging is idempotent, and messages may be repeated or come in any order.
//
// An attempt that broke counts as a crash only if its endpoint refuses connections afterwards: a cut link and an answer that was
// broken off make no part suspect, and neither does an endpoint that said that it leaves, or that is no longer listed.
//
// # Usage
//
//	guard, err := peer.New(peer.Options{Membership: table, Endpoints: source, Prober: client, Clock: clock, Logger: logger})
//	if err != nil {
//		return err
//	}
//	if !guard.Admit(clock.Now(), request) {
//		// Refuse the request as not run.
//	}
//
// Guard is a winch.Section and must be registered with the exchange.
package peer

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"go.opentelemetry.io/otel/metric"
	"go.opentelemetry.io/otel/metric/noop"

	"github.com/arbutuswinch/winch"
	"github.com/arbutuswinch/winch/internal/periodic"
	"github.com/arbutuswinch/winch/quarantine"
)

const (
	sectionName winch.SectionName = "Quarantine"
	// probeTimeout limits one connection attempt. probePause is the pause before the second one: the
	// connections of a process that ends may be closed before its port is.
	probeTimeout = 300 * time.Millisecond
	probePause   = 100 * time.Millisecond
	probeCount   = 2
	// maxWaitingPerEndpoint bounds the requests that wait for the probe of one endpoint.
	maxWaitingPerEndpoint = 64
	// summaryReuse is how long the hub sends the same message to its hosts. The ages in it are wrong by as much.
	summaryReuse = 50 * time.Millisecond
	// decideEvery is the interval at which old evidence is forgotten, and at which parts are held whose crashes had to settle.
	decideEvery = 200 * time.Millisecond
)

// Options are the dependencies and settings of a Guard. Only Meter and Starts may be nil.
type Options struct {
	Membership winch.Membership
	Endpoints  winch.EndpointSource
	Prober     winch.ConnectionProber
	// Starts tells that an endpoint which refused connections has not ended. Without it, each of them counts as crashed.
	Starts   winch.EndpointStarts
	Clock    winch.Clock
	Logger   hclog.Logger
	Meter    metric.Meter
	Settings quarantine.Settings
}

// Policy holds what operators set. The zero value holds back each part that is found.
type Policy struct {
	// Disabled admits all requests. Evidence is still collected.
	Disabled bool
	// Exempt are parts that are never held back.
	Exempt []winch.PrefixHash
}

// Guard implements winch.Quarantine and winch.Section. It is safe for concurrent use.
type Guard struct {
	options Options

	mu       sync.Mutex
	evidence *quarantine.Evidence
	policy   Policy
	// summary is the message of the hub that was encoded at summaryAt.
	summary   []byte
	summaryAt time.Time
	// waiting holds, by endpoint, the attempts that broke while the endpoint is probed.
	waiting map[winch.EndpointID][]winch.EndpointCrash
	// watched holds, by endpoint, the requests whose crashes are refuted if the endpoint turns out to run on.
	watched map[winch.EndpointID][]winch.EndpointCrash
}

var (
	_ winch.Quarantine = (*Guard)(nil)
	_ winch.Section    = (*Guard)(nil)
)

// New checks the options and returns a guard.
func New(options Options) (*Guard, error) {
	if options.Membership == nil || options.Endpoints == nil || options.Prober == nil || options.Clock == nil || options.Logger == nil {
		return nil, fmt.Errorf("create quarantine: only Meter and Starts may be nil: %w", winch.ErrInvalid)
	}
	options.Meter = cmp.Or[metric.Meter](options.Meter, noop.Meter{})
	g := &Guard{
		options: options, evidence: quarantine.New(options.Settings), waiting: map[winch.EndpointID][]winch.EndpointCrash{},
		watched: map[winch.EndpointID][]winch.EndpointCrash{},
	}
	_, err := options.Meter.Int64ObservableGauge("winch_quarantine_parts", metric.WithDescription("Parts of prompts in quarantine."),
		metric.WithInt64Callback(func(_ context.Context, observer metric.Int64Observer) error {
			observer.Observe(int64(len(g.Holds())))
			return nil
		}))
	if err != nil {
		return nil, fmt.Errorf("create gauge of parts in quarantine: %w", err)
	}
	return g, nil
}

// SetPolicy replaces the policy while the guard is in use.
func (g *Guard) SetPolicy(policy Policy) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.policy = policy
}

// Holds returns the parts in quarantine.
func (g *Guard) Holds() []quarantine.Hold {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.evidence.Holds()
}

// Run decides on evidence that has settled, and forgets old evidence, until ctx ends. It returns nil.
func (g *Guard) Run(ctx context.Context) error {
	return periodic.Run(ctx, decideEvery, func(context.Context) {
		now := g.options.Clock.Now()
		g.update(func() []quarantine.Change {
			if g.evidence.Empty() {
				return nil
			}
			return append(g.evidence.Prune(now), g.evidence.Decide(now)...)
		})
	})
}

// Admit implements winch.Quarantine.
func (g *Guard) Admit(now time.Time, request *winch.ForwardRequest) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.policy.Disabled || g.evidence.Empty() {
		return true
	}
	parts := slices.DeleteFunc(request.SharedParts(), func(part winch.PrefixHash) bool { return slices.Contains(g.policy.Exempt, part) })
	if g.evidence.Admit(now, request.ID, parts, func(part winch.PrefixHash) bool { return g.triesPart(now, part) }) {
		return true
	}
	g.logHeldBack(now, request.ID, parts)
	return false
}

// logHeldBack tells for which part a request is refused. The caller holds the lock.
func (g *Guard) logHeldBack(now time.Time, request winch.RequestID, parts []winch.PrefixHash) {
	hold, _ := g.evidence.HeldPart(parts)
	g.options.Logger.Info("request held back", "Event", EventRequestHeldBack, "Request", string(request), "Part", encodePart(hold.Part),
		"FirstCrashAge", now.Sub(hold.FirstCrash).String(), "TrialIn", hold.Until.Sub(now).String(), "Term", hold.Term.String())
}

// triesPart reports whether this host is the one of the live hosts that makes the trials of the part.
func (g *Guard) triesPart(now time.Time, part winch.PrefixHash) bool {
	membership := g.options.Membership
	return membership.Candidate(now, winch.Duty("quarantine/"+encodePart(part)), membership.Self().DataCentre)
}

// MayRetry implements winch.Quarantine.
func (g *Guard) MayRetry(request *winch.ForwardRequest) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.policy.Disabled || g.evidence.Empty() || g.evidence.MayRetry(request.SharedParts())
}

// ObserveOutput implements winch.Quarantine.
func (g *Guard) ObserveOutput(now time.Time, request *winch.ForwardRequest) {
	if len(request.Parts) < 2 {
		return
	}
	g.update(func() []quarantine.Change {
		return g.evidence.AddOutput(now, request.SharedParts())
	})
}

// ObserveBreak implements winch.Quarantine.
func (g *Guard) ObserveBreak(now, sentAt time.Time, endpoint winch.Endpoint, request *winch.ForwardRequest) {
	parts := request.SharedParts()
	status, serving := g.serving(endpoint.ID)
	if len(parts) == 0 || !serving {
		return
	}
	crash := winch.EndpointCrash{
		Request: request.ID, Endpoint: endpoint.ID, Parts: parts, SentAt: sentAt, At: now, StartedAt: status.StartedAt,
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	waiting, probed := g.waiting[endpoint.ID]
	if len(waiting) < maxWaitingPerEndpoint {
		g.waiting[endpoint.ID] = append(waiting, crash)
	}
	if !probed {
		go g.probe(endpoint)
	}
}

// serving returns the entry of the endpoint, and false if it is not listed or has said that it leaves.
func (g *Guard) serving(id winch.EndpointID) (winch.EndpointStatus, bool) {
	for _, status := range g.options.Endpoints.Endpoints() {
		if status.Endpoint.ID == id {
			return status, status.State == winch.EndpointReady
		}
	}
	return winch.EndpointStatus{}, false
}

// probe adds the waiting attempts to the evidence if the endpoint refuses connections.
func (g *Guard) probe(endpoint winch.Endpoint) {
	crashed := g.refusesConnections(endpoint.Address)
	now := g.options.Clock.Now()
	g.mu.Lock()
	waiting := g.waiting[endpoint.ID]
	delete(g.waiting, endpoint.ID)
	g.mu.Unlock()
	for _, crash := range waiting {
		if !crashed {
			g.options.Logger.Debug("attempt broke, endpoint is up", "Event", EventBreakNoCrash, "Request", string(crash.Request), "Endpoint", string(endpoint.ID))
			continue
		}
		g.options.Logger.Info("endpoint crashed under a request", "Event", EventCrashSeen, "Request", string(crash.Request),
			"Endpoint", string(endpoint.ID), "Parts", encodeParts(crash.Parts), "After", crash.At.Sub(crash.SentAt).String())
		g.update(func() []quarantine.Change { return g.evidence.AddCrash(now, crash) })
	}
	if crashed {
		g.watch(endpoint, waiting)
	}
}

func (g *Guard) refusesConnections(address string) bool {
	for i := range probeCount {
		if i > 0 {
			<-time.After(probePause)
		}
		ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
		refused := g.options.Prober.Refuses(ctx, address)
		cancel()
		if refused {
			return true
		}
	}
	return false
}

// update changes the evidence and logs what changes.
func (g *Guard) update(change func() []quarantine.Change) {
	g.mu.Lock()
	changes := change()
	g.mu.Unlock()
	for _, changed := range changes {
		g.log(changed)
	}
}

func (g *Guard) log(change quarantine.Change) {
	fields := []any{"Part", encodePart(change.Hold.Part), "Term", change.Hold.Term.String(), "Crashes", len(change.Crashes)}
	switch change.Kind {
	case quarantine.Held:
		requests := make([]string, 0, len(change.Crashes))
		for _, crash := range change.Crashes {
			requests = append(requests, string(crash.Request)+"/"+string(crash.Endpoint))
		}
		g.options.Logger.Warn("part of prompts crashes endpoints and is held back", append(fields, "Event", EventPartHeld, "Evidence", requests)...)
	case quarantine.Released:
		g.options.Logger.Info("part of prompts is sent again", append(fields, "Event", EventPartReleased)...)
	case quarantine.Extended:
		g.options.Logger.Warn("trial of a part crashed its endpoint", append(fields, "Event", EventTrialFailed)...)
	}
}

func encodeParts(parts []winch.PrefixHash) []string {
	encoded := make([]string, 0, len(parts))
	for _, part := range parts {
		encoded = append(encoded, encodePart(part))
	}
	return encoded
}
