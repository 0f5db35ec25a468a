package endpoint

import (
	"bytes"
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"

	"github.com/arbutuswinch/winch"
)

const (
	modelStep    = 20 * time.Millisecond
	exchangeStep = 500 * time.Millisecond
	exchangeLag  = 100 * time.Millisecond
	reportStep   = time.Second
)

// modelClass is a class of traffic with its rate in requests per second and its mean output length.
type modelClass struct {
	class        winch.Class
	rate         func(at time.Duration) float64
	input        winch.Tokens
	output       float64
	organisation func(random *rand.Rand) winch.OrganisationID
}

// modelRequest is a caller's request with the state of all its attempts.
type modelRequest struct {
	class    *modelClass
	host     int
	work     winch.Work
	output   winch.Tokens
	done     winch.Tokens
	firstAt  time.Time
	endedAt  time.Time
	refused  winch.RefusalReason
	finished bool
	moves    int
	attempt  *request
	progress *progress
	prefill  float64
	produced float64
	engine   *modelEngine
	leaveAt  time.Time
}

// modelEngine models a batching engine: each stream slows down with the number of streams, and
// prompts share the prefill rate.
type modelEngine struct {
	id      winch.EndpointID
	slow    float64
	dead    bool
	slots   int
	streams []*modelRequest
	// squaredLoad is the sum, over all steps, of the squared number of streams. Squaring
	// makes short peaks count more.
	squaredLoad winch.Tokens
}

// model simulates several hosts and engines in virtual time.
type model struct {
	t           *testing.T
	now         time.Time
	start       time.Time
	random      *rand.Rand
	classes     []*modelClass
	hosts       []*Dispatcher
	logs        []*bytes.Buffer
	engines     map[winch.EndpointID]*modelEngine
	order       []*modelEngine
	all         []*modelRequest
	lag         time.Duration
	scheduled   []func()
	scheduledAt []time.Time
	served      map[winch.OrganisationID]winch.Tokens
	wasted      winch.Tokens
	// overSteps counts the steps at which an engine had over a quarter more streams than slots.
	steps, overSteps int
}

type modelOptions struct {
	hosts, engines, slots int
	lag                   time.Duration
	policy                Policy
	seed                  uint64
	classes               []*modelClass
	disable               func(*features) // switches off a feature; may be nil
	supply                func(i int) winch.Supply
	settings              Settings
}

type modelClock struct{ m *model }

func (c modelClock) Now() time.Time { return c.m.now }

type modelMembership struct {
	winch.Membership
	self  winch.Host
	hosts []winch.Host
}

func (m modelMembership) Self() winch.Host                  { return m.self }
func (m modelMembership) RelaysReports(time.Time) bool      { return false }
func (m modelMembership) DataCentres() []winch.DataCentreID { return []winch.DataCentreID{"a"} }
func (m modelMembership) Hosts(time.Time, winch.DataCentreID) []winch.Host {
	return m.hosts
}

func newModel(t *testing.T, o modelOptions) *model {
	t.Helper()
	start := time.Unix(1_000_000, 0)
	m := &model{
		t: t, now: start, start: start, random: rand.New(rand.NewPCG(o.seed, 7)), classes: o.classes, lag: o.lag,
		engines: map[winch.EndpointID]*modelEngine{}, served: map[winch.OrganisationID]winch.Tokens{},
	}
	configuration := &winch.Configuration{Classes: map[winch.ClassID]winch.Class{}, Endpoints: map[winch.EndpointID]winch.Endpoint{}}
	for _, class := range o.classes {
		configuration.Classes[class.class.ID] = class.class
	}
	for i := range o.engines {
		id := winch.EndpointID(fmt.Sprintf("e%d", i))
		spec := winch.Endpoint{ID: id, DataCentre: "a", Kind: winch.EndpointEngine, Models: []winch.ModelID{chat}, SlotLimit: o.slots}
		if o.supply != nil {
			spec.Supply = o.supply(i)
		}
		configuration.Endpoints[id] = spec
		e := &modelEngine{id: id, slow: 1, slots: o.slots}
		m.engines[id] = e
		m.order = append(m.order, e)
	}
	var members []winch.Host
	for i := range o.hosts {
		members = append(members, winch.Host{ID: winch.HostID(fmt.Sprintf("h%d", i)), DataCentre: "a"})
	}
	for i := range o.hosts {
		buffer := &bytes.Buffer{}
		d, err := New(Options{
			Configurations: fixedConfigurations{configuration}, Membership: modelMembership{self: members[i], hosts: members},
			Clock: modelClock{m}, Logger: hclog.New(&hclog.LoggerOptions{Output: buffer, JSONFormat: true}),
			Policy: o.policy, Seed: o.seed + uint64(i), Settings: o.settings,
		})
		assert.NilError(t, err)
		if o.disable != nil {
			o.disable(&d.core.features)
		}
		m.hosts = append(m.hosts, d)
		m.logs = append(m.logs, buffer)
	}
	return m
}

// do runs a step of a host's core and applies its effects to the model.
func (m *model) do(host int, step func(c *core)) {
	d := m.hosts[host]
	effects := []effect{}
	d.runStep(func() {
		step(d.core)
		effects = append(effects, d.core.effects...)
	})
	for _, e := range effects {
		m.apply(&e)
	}
}

func (m *model) apply(e *effect) {
	if e.request == nil {
		return
	}
	r := e.request.waiter.(*modelRequest)
	switch e.kind {
	case effectGranted:
		r.attempt, r.engine = e.request, m.engines[e.endpoint.spec.ID]
		r.prefill, r.produced = float64(r.work.InputTokens+r.done), 0
		r.engine.streams = append(r.engine.streams, r)
	case effectRefused:
		r.refused, r.endedAt = e.refusal.Reason, m.now
	case effectPreempted, effectMoved:
		r.leaveAt = m.now.Add(modelStep)
	}
}

func (m *model) arrive(r *modelRequest) {
	r.progress = &progress{}
	r.work.OutputDone = r.done
	m.do(r.host, func(c *core) { c.arrive(m.now, r.work, r, r.progress) })
}

// leave ends an attempt and releases its slot.
func (m *model) leave(r *modelRequest, outcome winch.Outcome) {
	e := r.engine
	for i, other := range e.streams {
		if other == r {
			e.streams = append(e.streams[:i], e.streams[i+1:]...)
			break
		}
	}
	r.engine, r.leaveAt = nil, time.Time{}
	attempt := r.attempt
	m.do(r.host, func(c *core) { c.release(m.now, attempt, outcome) })
}

func (m *model) spawn() {
	for _, class := range m.classes {
		expected := class.rate(m.now.Sub(m.start)) * modelStep.Seconds()
		for count := poisson(m.random, expected); count > 0; count-- {
			r := &modelRequest{class: class, host: m.random.IntN(len(m.hosts))}
			r.output = winch.Tokens(1 + m.random.ExpFloat64()*class.output)
			r.work = winch.Work{
				Request: winch.RequestID(fmt.Sprintf("r%d", len(m.all))), Organisation: class.organisation(m.random),
				Class: class.class.ID, Model: chat, InputTokens: class.input, Arrived: m.now,
			}
			m.all = append(m.all, r)
			m.arrive(r)
		}
	}
}

func poisson(random *rand.Rand, mean float64) int {
	count, product, limit := 0, random.Float64(), math.Exp(-mean)
	for product > limit {
		count++
		product *= random.Float64()
	}
	return count
}

const (
	modelPrefill = 12000.0 // tokens per second
	modelInter   = 0.020   // seconds between the tokens of a single stream
	modelBatch   = 8.0     // additional streams that double that time
)

func (m *model) advance(e *modelEngine) {
	if e.dead {
		return
	}
	inter := modelInter * (1 + float64(len(e.streams))/modelBatch) * e.slow
	budget := modelPrefill * modelStep.Seconds() / e.slow
	for _, r := range append([]*modelRequest(nil), e.streams...) {
		if r.prefill > 0 {
			used := math.Min(budget, r.prefill)
			budget -= used
			r.prefill -= used
			continue
		}
		before := winch.Tokens(r.produced)
		r.produced += modelStep.Seconds() / inter
		if added := winch.Tokens(r.produced) - before; added > 0 {
			m.tokens(r, added)
		}
	}
}

func (m *model) tokens(r *modelRequest, count winch.Tokens) {
	at := m.now.UnixNano()
	if r.progress.first.CompareAndSwap(0, at) && r.firstAt.IsZero() {
		r.firstAt = m.now
	}
	r.progress.last.Store(at)
	r.progress.tokens.Add(int64(count))
	m.hosts[r.host].core.endpoints[r.engine.id].lastHeard.Store(at)
	r.done += count
	m.served[r.work.Organisation] += count
	if r.done >= r.output {
		r.finished, r.endedAt = true, m.now
		m.leave(r, winch.OutcomeDone)
	}
}

// schedule calls step after the delay.
func (m *model) schedule(delay time.Duration, step func()) {
	m.scheduled = append(m.scheduled, step)
	m.scheduledAt = append(m.scheduledAt, m.now.Add(delay))
}

func (m *model) exchange() {
	hub := m.hosts[0].Section()
	for i, d := range m.hosts {
		id := d.core.self.ID
		assert.NilError(m.t, hub.Collect(m.now, id, d.Section().Report(m.now)))
		summary, sent := hub.Summary(m.now, id), m.now
		m.schedule(exchangeLag, func() {
			received, err := decodeStats(summary)
			assert.NilError(m.t, err)
			m.do(i, func(c *core) { c.applySummary(m.now, sent, "h0", received) })
		})
	}
}

func (m *model) report() {
	for _, e := range m.order {
		report := winch.LoadReport{Endpoint: e.id, AsOf: m.now, Running: len(e.streams), State: winch.EndpointReady}
		m.schedule(m.lag, func() {
			for i := range m.hosts {
				m.do(i, func(c *core) { c.observeLoad(m.now, report) })
			}
		})
	}
}

func (m *model) runScheduled() {
	scheduled, scheduledAt := m.scheduled, m.scheduledAt
	m.scheduled, m.scheduledAt = nil, nil
	for i, step := range scheduled {
		if scheduledAt[i].After(m.now) {
			m.scheduled, m.scheduledAt = append(m.scheduled, step), append(m.scheduledAt, scheduledAt[i])
			continue
		}
		step()
	}
}

// run advances the model for the given time. It calls each, if not nil, at every step.
func (m *model) run(length time.Duration, each func(at time.Duration)) {
	for end := m.now.Add(length); m.now.Before(end); m.now = m.now.Add(modelStep) {
		at := m.now.Sub(m.start)
		if each != nil {
			each(at)
		}
		m.runScheduled()
		if at%exchangeStep == 0 && len(m.hosts) > 1 {
			m.exchange()
		}
		if at%reportStep == 0 {
			m.report()
		}
		m.spawn()
		m.observe()
		for _, e := range m.order {
			m.advance(e)
			m.moveStreams(e)
		}
		if at%(100*time.Millisecond) == 0 {
			for i := range m.hosts {
				m.do(i, func(c *core) { c.tick(m.now) })
			}
		}
	}
}

func (m *model) observe() {
	m.steps++
	over := 0
	for _, e := range m.order {
		e.squaredLoad += winch.Tokens(len(e.streams) * len(e.streams))
		if len(e.streams) > e.slots+e.slots/4 {
			over = 1
		}
	}
	m.overSteps += over
}

// moveStreams removes preempted streams from the engine and submits them again.
func (m *model) moveStreams(e *modelEngine) {
	for _, r := range append([]*modelRequest(nil), e.streams...) {
		if r.leaveAt.IsZero() || r.leaveAt.After(m.now) {
			continue
		}
		m.wasted += r.work.InputTokens + r.done
		r.moves++
		m.leave(r, winch.OutcomeCancelled)
		m.arrive(r)
	}
}
