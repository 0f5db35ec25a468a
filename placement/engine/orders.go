// Package engine sends engines the orders to load models, adapters and versions. Only
// the lease holder of a data centre's orders sends them.
//
// An order states what the engine must have loaded, and can be repeated safely. It is
// sent through the fenced sender, so that a process that was stopped completes no order
// after its term, even at engines that ignore fencing numbers. All engines share the
// weight store: when an engine reports that the store limits its rate, no engine is sent
// an order until the retry time of that response has passed.
//
// # Usage
//
//	orders, err := engine.New(engine.Options{
//		DataCentre: "centre-a", Lease: holder, Sender: sender, Planner: planner, Clock: clock, Logger: logger,
//	})
//	if err != nil {
//		return err
//	}
//	err = orders.Run(ctx)
package engine

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/google/uuid"
	"github.com/hashicorp/go-hclog"

	"github.com/arbutuswinch/winch"
	"github.com/arbutuswinch/winch/httpjson"
	"github.com/arbutuswinch/winch/internal/periodic"
)

const (
	defaultInterval    = time.Second
	defaultRepeatEvery = 15 * time.Second
	defaultInFlight    = 2 * time.Second
	defaultPause       = time.Second
	ordersPath         = "/v1/orders"
)

// Options are the dependencies and settings of Orders. A duration that is zero has its default value.
type Options struct {
	DataCentre winch.DataCentreID
	Lease      winch.LeaseGuard
	Sender     winch.FencedSender
	Planner    winch.EnginePlanner
	Clock      winch.Clock
	Logger     hclog.Logger
	// Interval is the time between plans.
	Interval time.Duration
	// RepeatEvery is the time after which an engine is sent the same order again.
	RepeatEvery time.Duration
	// InFlight is the longest time that an order of unknown outcome may take to arrive.
	InFlight time.Duration
}

// Orders sends the orders to the engines of one data centre.
type Orders struct {
	options   Options
	scheduler scheduler
}

// New returns Orders. Run must be called for them to be sent.
func New(options Options) (*Orders, error) {
	if options.Lease == nil || options.Sender == nil || options.Planner == nil || options.Clock == nil {
		return nil, fmt.Errorf("engine orders: Lease, Sender, Planner and Clock are required: %w", winch.ErrInvalid)
	}
	options.Interval = cmp.Or(options.Interval, defaultInterval)
	options.RepeatEvery = cmp.Or(options.RepeatEvery, defaultRepeatEvery)
	options.InFlight = cmp.Or(options.InFlight, defaultInFlight)
	options.Logger = cmp.Or[hclog.Logger](options.Logger, hclog.NewNullLogger())
	return &Orders{options: options, scheduler: newScheduler(options.RepeatEvery, options.InFlight)}, nil
}

// Run plans and sends orders until ctx is done. It returns nil.
func (o *Orders) Run(ctx context.Context) error {
	return periodic.Run(ctx, o.options.Interval, o.step)
}

// step plans once, and sends the first order that is due.
func (o *Orders) step(ctx context.Context) {
	now := o.options.Clock.Now()
	term, held := o.options.Lease.Term(now)
	if !held {
		return
	}
	order, due := o.scheduler.next(now, term, o.options.Planner.PlanEngines(now, o.options.DataCentre))
	if !due {
		return
	}
	id := winch.OrderID(uuid.NewString())
	err := o.send(ctx, term, id, order)
	o.scheduler.recordOutcome(o.options.Clock.Now(), term, order, err)
	o.log(id, term, order, err)
}

func (o *Orders) send(ctx context.Context, term winch.Term, id winch.OrderID, order winch.EngineOrder) error {
	body, err := encodeOrder(id, term.Number, order)
	if err != nil {
		return err
	}
	_, err = o.options.Sender.Send(ctx, o.options.Lease, winch.FencedCall{
		Address: order.Address, Path: ordersPath, Body: body, Number: term.Number,
	})
	return err
}

func (o *Orders) log(id winch.OrderID, term winch.Term, order winch.EngineOrder, err error) {
	logger := o.options.Logger.With("Order", id, "FencingNumber", term.Number, "Endpoint", order.Endpoint)
	for _, load := range order.Load {
		logger = logger.With("Model", load.Model, "Adapter", load.Adapter, "Version", load.Version)
	}
	switch {
	case err == nil:
		logger.Info("engine order accepted", "Event", EventEngineOrderAccepted)
	case errors.Is(err, winch.ErrRateLimited):
		logger.Info("engine order rejected: rate limit of the weight store reached", "Event", EventWeightsLimited, "Error", err)
	default:
		logger.Warn("engine order failed", "Event", EventEngineOrderFailed, "Error", err)
	}
}

// retryAfter returns the time that the response asks to wait, or defaultPause if it names none.
func retryAfter(err error) time.Duration {
	response, found := httpjson.StatusOf(err)
	if !found || response.RetryAfter <= 0 {
		return defaultPause
	}
	return response.RetryAfter
}
