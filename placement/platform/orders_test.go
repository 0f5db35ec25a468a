package platform

import (
	"context"
	"encoding/json"
	"errors"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/arbutuswinch/winch"
	"github.com/arbutuswinch/winch/keyvalue/memory"
)

type fakeClock struct{ now time.Time }

func (c *fakeClock) Now() time.Time { return c.now }

type fakeLease struct{ number winch.FencingNumber }

func (c *fakeLease) Term(now time.Time) (winch.Term, bool) {
	return winch.Term{Number: c.number, ValidUntil: now.Add(time.Second)}, c.number > 0
}

func (c *fakeLease) Begin(now time.Time) (winch.Term, func(), error) {
	term, _ := c.Term(now)
	return term, func() {}, nil
}

// fakeSender records the calls. It returns one of the errors for each call until none is
// left, and no error afterwards.
type fakeSender struct {
	errors []error
	sent   []orderCall
}

func (s *fakeSender) Send(_ context.Context, _ winch.LeaseGuard, call winch.FencedCall) ([]byte, error) {
	order := orderCall{}
	if err := json.Unmarshal(call.Body, &order); err != nil {
		return nil, err
	}
	s.sent = append(s.sent, order)
	if len(s.errors) == 0 {
		return nil, nil
	}
	err := s.errors[0]
	s.errors = s.errors[1:]
	return nil, err
}

type fakePlanner struct{ count int }

func (p *fakePlanner) Plan(time.Time, winch.DataCentreID, []winch.OrderedEndpoint) []winch.PoolOrder {
	return []winch.PoolOrder{{Pool: "p", Model: "m", Supply: winch.SupplySteady, Count: p.count}}
}

type fakeEndpoints struct{ list []winch.OrderedEndpoint }

func (e *fakeEndpoints) Current() []winch.OrderedEndpoint { return e.list }
func (e *fakeEndpoints) Changed() <-chan struct{}         { return nil }

type fixture struct {
	*Orders
	store   *memory.Store
	clock   *fakeClock
	lease   *fakeLease
	sender  *fakeSender
	planner *fakePlanner
}

func newFixture(t *testing.T, failures ...error) *fixture {
	t.Helper()
	store := memory.New()
	f := newFixtureOn(t, store, failures...)
	f.store = store
	return f
}

// newFixtureOn returns a fixture with another store than that of fixture.store.
func newFixtureOn(t *testing.T, store winch.KeyValue, failures ...error) *fixture {
	t.Helper()
	f := &fixture{
		clock: &fakeClock{now: time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)},
		lease: &fakeLease{number: 3}, sender: &fakeSender{errors: failures}, planner: &fakePlanner{count: 1},
	}
	orders, err := New(Options{
		Protocol: NativeProtocol{Address: "127.0.0.1:1"}, DataCentre: "yard-1", Holder: "host-1", Incarnation: "i", Lease: f.lease, Sender: f.sender,
		Store: store, Planner: f.planner, Clock: f.clock,
		Endpoints: &fakeEndpoints{list: []winch.OrderedEndpoint{{ID: "p-1", Pool: "p", State: winch.EndpointReady}}},
	})
	assert.NilError(t, err)
	f.Orders = orders
	return f
}

// steps calls step the given number of times, 1 s apart.
func (f *fixture) steps(t *testing.T, count int) {
	t.Helper()
	for range count {
		f.step(t.Context())
		f.clock.now = f.clock.now.Add(time.Second)
	}
}

// assertSent compares the ids of the sent orders. An id consists of the incarnation, the
// term and a count.
func (f *fixture) assertSent(t *testing.T, ids ...string) {
	t.Helper()
	sent := []string{}
	for _, order := range f.sender.sent {
		sent = append(sent, order.OrderID)
	}
	assert.DeepEqual(t, sent, ids)
}

func (f *fixture) assertOutcome(t *testing.T, want outcome) {
	t.Helper()
	entry, err := f.store.Get(t.Context(), "placement/yard-1/order")
	assert.NilError(t, err)
	intent := wireIntent{}
	assert.NilError(t, json.Unmarshal(entry.Value, &intent))
	assert.Equal(t, intent.Outcome, string(want))
}

func TestOrders(t *testing.T) {
	t.Run("sends one order while the endpoints match the plan", func(t *testing.T) {
		f := newFixture(t)
		f.steps(t, 20)
		f.assertSent(t, "i-3-1")
		f.assertOutcome(t, outcomeDone)
		assert.Equal(t, f.sender.sent[0].FencingNumber, int64(3))
	})
	t.Run("sends a new order while endpoints are missing", func(t *testing.T) {
		f := newFixture(t)
		f.planner.count = 2
		// The default of RepeatEvery is 10 s.
		f.steps(t, 11)
		f.assertSent(t, "i-3-1", "i-3-2")
	})
	t.Run("repeats an order of unknown outcome before it sends another", func(t *testing.T) {
		f := newFixture(t, winch.ErrOutcomeUnknown)
		f.steps(t, 1)
		f.planner.count = 2
		f.steps(t, 2)
		f.assertSent(t, "i-3-1", "i-3-1", "i-3-2")
	})
	t.Run("stops repeating when the order can no longer be in flight", func(t *testing.T) {
		// The repetition fails, so the first order remains unknown for InFlight, which is 2 s.
		f := newFixture(t, winch.ErrOutcomeUnknown, winch.ErrUnavailable)
		f.steps(t, 1)
		f.planner.count = 2
		f.steps(t, 2)
		f.assertSent(t, "i-3-1", "i-3-1", "i-3-2")
	})
	t.Run("stops when fenced", func(t *testing.T) {
		f := newFixture(t, winch.ErrFenced)
		f.planner.count = 2
		f.steps(t, 20)
		f.assertSent(t, "i-3-1")
	})
	t.Run("sends nothing without a term", func(t *testing.T) {
		f := newFixture(t)
		f.lease.number = 0
		f.steps(t, 3)
		assert.Equal(t, len(f.sender.sent), 0)
	})
	t.Run("sends nothing when the intent cannot be stored", func(t *testing.T) {
		f := newFixture(t)
		f.store.SetOutage(true)
		f.steps(t, 3)
		assert.Equal(t, len(f.sender.sent), 0)
	})
	t.Run("recognises its own intent when the response was lost", func(t *testing.T) {
		f := newFixture(t)
		f.store.LoseResponses(1)
		f.steps(t, 1)
		f.assertSent(t, "i-3-1")
	})
	t.Run("stops at the intent of a later term", func(t *testing.T) {
		f := newFixture(t)
		value, err := json.Marshal(wireIntent{FencingNumber: 9})
		assert.NilError(t, err)
		_, err = f.store.Put(t.Context(), "placement/yard-1/order", value, winch.VersionAny)
		assert.NilError(t, err)
		f.steps(t, 3)
		assert.Equal(t, len(f.sender.sent), 0)
	})
}

func TestOptionsAreChecked(t *testing.T) {
	_, err := New(Options{})
	assert.Assert(t, errors.Is(err, winch.ErrInvalid))
}
