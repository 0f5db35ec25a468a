package engine

import (
	"context"
	"encoding/json"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/arbutuswinch/winch"
	"github.com/arbutuswinch/winch/keyvalue/memory"
)

// fake is everything around Orders.
type fake struct {
	now    time.Time
	number winch.FencingNumber
	plan   []winch.EngineOrder
	errors []error
	sent   []string
}

func (f *fake) Now() time.Time { return f.now }

func (f *fake) Term(now time.Time) (winch.Term, bool) {
	return winch.Term{Number: f.number, ValidUntil: now.Add(time.Second)}, f.number > 0
}

func (f *fake) Begin(now time.Time) (winch.Term, func(), error) {
	term, _ := f.Term(now)
	return term, func() {}, nil
}

func (f *fake) PlanEngines(time.Time, winch.DataCentreID) []winch.EngineOrder { return f.plan }

func (f *fake) Send(_ context.Context, _ winch.TermGuard, call winch.FencedCall) ([]byte, error) {
	order := orderCall{}
	if err := json.Unmarshal(call.Body, &order); err != nil {
		return nil, err
	}
	f.sent = append(f.sent, order.OrderID)
	if len(f.errors) == 0 {
		return nil, nil
	}
	err := f.errors[0]
	f.errors = f.errors[1:]
	return nil, err
}

// assertSteps runs steps a second apart and checks which orders were sent.
func assertSteps(t *testing.T, f *fake, store *memory.Store, steps int, want ...string) {
	t.Helper()
	orders, err := New(Options{
		DataCentre: "yard-1", Incarnation: "i", Charge: f, Sender: f, Store: store, Planner: f, Clock: f,
	})
	assert.NilError(t, err)
	for range steps {
		orders.step(t.Context())
		f.now = f.now.Add(time.Second)
	}
	assert.DeepEqual(t, f.sent, want)
}

func TestOrders(t *testing.T) {
	plan := []winch.EngineOrder{{Endpoint: "e-1", Load: []winch.EngineLoad{{Model: "m"}}}, {Endpoint: "e-2", Role: "decode"}}
	t.Run("sends what is planned", func(t *testing.T) {
		assertSteps(t, &fake{number: 3, plan: plan}, memory.New(), 1, "i-3-1", "i-3-2")
	})
	t.Run("waits for the weight store", func(t *testing.T) {
		f := &fake{number: 3, plan: plan, errors: []error{winch.ErrRateLimited}}
		assertSteps(t, f, memory.New(), 3, "i-3-1", "i-3-2", "i-3-3")
	})
	t.Run("lets an order of unknown outcome arrive before the next", func(t *testing.T) {
		f := &fake{number: 3, plan: plan[:1], errors: []error{winch.ErrOutcomeUnknown}}
		assertSteps(t, f, memory.New(), 3, "i-3-1", "i-3-2")
	})
	t.Run("stops when fenced", func(t *testing.T) {
		f := &fake{number: 3, plan: plan, errors: []error{winch.ErrFenced}}
		assertSteps(t, f, memory.New(), 3, "i-3-1")
	})
	t.Run("sends nothing without a term", func(t *testing.T) {
		f := &fake{plan: plan}
		assertSteps(t, f, memory.New(), 2)
	})
	t.Run("sends nothing without a kept intent", func(t *testing.T) {
		store := memory.New()
		store.SetOutage(true)
		assertSteps(t, &fake{number: 3, plan: plan}, store, 2)
	})
	t.Run("recognises its own intent", func(t *testing.T) {
		store := memory.New()
		store.LoseAnswers(1)
		assertSteps(t, &fake{number: 3, plan: plan}, store, 1, "i-3-1", "i-3-2")
	})
	t.Run("stops at the intent of a later term", func(t *testing.T) {
		store := memory.New()
		assertSteps(t, &fake{number: 9, plan: plan}, store, 1, "i-9-1", "i-9-2")
		assertSteps(t, &fake{number: 3, plan: plan}, store, 2)
	})
}
