// Package fleet holds the endpoints that the platform runs, their states, and the time for
// which each has been billed.
//
// # Usage
//
//	endpoints := fleet.New()
//	endpoints.Add(now, fleet.Endpoint{ID: "a1", DataCentre: "a", Supply: fleet.Steady, State: fleet.Ready}, runner)
//	endpoints.Leave(now, "a1", 5*time.Second, 0)
//
// Leave gives an endpoint notice; when the notice ends, the endpoint is gone.
package fleet

import (
	"sort"
	"sync"
	"time"
)

// State is the state of an endpoint.
type State string

// States of an endpoint.
const (
	Starting State = "starting"
	Ready    State = "ready"
	Leaving  State = "leaving"
	Gone     State = "gone"
)

// Supply is whether the platform may take an endpoint away (Cheap) or not (Steady).
type Supply string

// Supplies of an endpoint.
const (
	Steady Supply = "Steady"
	Cheap  Supply = "Cheap"
)

// Endpoint is a model engine or a plain service.
type Endpoint struct {
	ID         string
	DataCentre string
	Address    string
	Pool       string
	Model      string
	Supply     Supply
	State      State
	// LeavesAt is set while the endpoint is leaving.
	LeavesAt time.Time
	// Kind is "engine" or "service".
	Kind string
}

// Runner controls the server of an endpoint.
type Runner interface {
	// SetState changes the state that the endpoint reports.
	SetState(now time.Time, state State)
	// Crash closes all connections and refuses new ones. An engine also loses its streams and its cache.
	Crash()
	// Refuse closes all connections and refuses new ones; the state is kept.
	Refuse()
	// Restore accepts connections again.
	Restore() error
}

type member struct {
	endpoint    Endpoint
	runner      Runner
	billedSince time.Time
	billed      time.Duration
	goneAt      time.Time
}

// Fleet holds the endpoints by id. It is safe for concurrent use.
type Fleet struct {
	mu      sync.Mutex
	members map[string]*member
}

// New returns a fleet without endpoints.
func New() *Fleet { return &Fleet{members: map[string]*member{}} }

// Add adds an endpoint, which is billed from now on.
func (f *Fleet) Add(now time.Time, endpoint Endpoint, runner Runner) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.members[endpoint.ID] = &member{endpoint: endpoint, runner: runner, billedSince: now}
}

// Ready sets an endpoint in the state Starting to Ready.
func (f *Fleet) Ready(now time.Time, id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if m := f.members[id]; m != nil && m.endpoint.State == Starting {
		m.endpoint.State = Ready
		m.runner.SetState(now, Ready)
	}
}

// Leave gives an endpoint notice, after which it is gone. When returnAfter is not zero, the
// endpoint returns that long after it has gone.
func (f *Fleet) Leave(now time.Time, id string, notice, returnAfter time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	m := f.members[id]
	if m == nil || m.endpoint.State == Leaving || m.endpoint.State == Gone {
		return
	}
	m.endpoint.State = Leaving
	m.endpoint.LeavesAt = now.Add(notice)
	m.runner.SetState(now, Leaving)
	time.AfterFunc(notice, func() { f.terminate(time.Now(), id, returnAfter) })
}

func (f *Fleet) terminate(now time.Time, id string, returnAfter time.Duration) {
	f.mu.Lock()
	m := f.members[id]
	m.endpoint.State = Gone
	m.billed += now.Sub(m.billedSince)
	m.goneAt = now
	f.mu.Unlock()
	m.runner.Crash()
	if returnAfter > 0 {
		time.AfterFunc(returnAfter, func() { f.returnGone(time.Now(), id) })
	}
}

// returnGone makes an endpoint that is gone ready again. The endpoint stays gone if its address is taken.
func (f *Fleet) returnGone(now time.Time, id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	m := f.members[id]
	if m.runner.Restore() != nil {
		return
	}
	m.endpoint.State = Ready
	m.endpoint.LeavesAt = time.Time{}
	m.billedSince = now
	m.runner.SetState(now, Ready)
}

// Crash stops an endpoint without notice. It stays in the list and is still billed. When
// returnAfter is not zero, the endpoint accepts connections again after that time.
func (f *Fleet) Crash(id string, returnAfter time.Duration) {
	f.interrupt(id, returnAfter, Runner.Crash)
}

// Outage makes an endpoint refuse connections and keep its state. When returnAfter is not zero,
// the endpoint accepts connections again after that time.
func (f *Fleet) Outage(id string, returnAfter time.Duration) {
	f.interrupt(id, returnAfter, Runner.Refuse)
}

func (f *Fleet) interrupt(id string, returnAfter time.Duration, stop func(Runner)) {
	f.mu.Lock()
	m := f.members[id]
	f.mu.Unlock()
	if m == nil {
		return
	}
	stop(m.runner)
	if returnAfter > 0 {
		time.AfterFunc(returnAfter, func() { f.acceptAgain(id) })
	}
}

// acceptAgain ends a crash or an outage of an endpoint, unless the endpoint is gone.
func (f *Fleet) acceptAgain(id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if m := f.members[id]; m.endpoint.State != Gone {
		_ = m.runner.Restore()
	}
}

// List returns the endpoints for which matches returns true, sorted by id.
func (f *Fleet) List(matches func(Endpoint) bool) []Endpoint {
	f.mu.Lock()
	defer f.mu.Unlock()
	listed := []Endpoint{}
	for _, m := range f.members {
		if matches(m.endpoint) {
			listed = append(listed, m.endpoint)
		}
	}
	sort.Slice(listed, func(i, j int) bool { return listed[i].ID < listed[j].ID })
	return listed
}

// InDataCentre returns the endpoints of a data centre, without those that have been gone
// for longer than retention.
func (f *Fleet) InDataCentre(now time.Time, centre string, retention time.Duration) []Endpoint {
	return f.List(func(e Endpoint) bool { // List calls it with f.mu locked.
		return e.DataCentre == centre && (e.State != Gone || now.Sub(f.members[e.ID].goneAt) <= retention)
	})
}

// Seconds returns the billed seconds of all endpoints, by supply.
func (f *Fleet) Seconds(now time.Time) map[Supply]float64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	seconds := map[Supply]float64{}
	for _, m := range f.members {
		billed := m.billed
		if m.endpoint.State != Gone {
			billed += now.Sub(m.billedSince)
		}
		seconds[m.endpoint.Supply] += billed.Seconds()
	}
	return seconds
}
