// Package engine orders engines to load models, adapters and versions, as the
// process in charge of a data centre's orders.
//
// An order states the wanted end and may be repeated. It goes through the fenced
// sender, so that a process that was paused completes none after its term, also at
// engines that ignore fencing numbers. The weight store is shared: after an engine
// said that the store limits its rate, no engine is ordered until the time that it
// named is over.
//
// # Usage
//
//	orders, err := engine.New(engine.Options{
//		DataCentre: "centre-a", Charge: holder, Sender: sender, Planner: planner, Clock: clock, Logger: logger,
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

// Options are the settings of Orders. The zero value of a duration stands for its default.
type Options struct {
	DataCentre winch.DataCentreID
	Charge     winch.TermGuard
	Sender     winch.FencedSender
	Planner    winch.EnginePlanner
	Clock      winch.Clock
	Logger     hclog.Logger
	// Interval is the time between two plans.
	Interval time.Duration
	// RepeatEvery is the time after which an engine is given the same order again.
	RepeatEvery time.Duration
	// InFlight is the longest time that an order of unknown outcome may be on its way.
	InFlight time.Duration
}

// Orders sends the orders to the engines of one data centre.
type Orders struct {
	options   Options
	scheduler scheduler
}

// New returns Orders; Run starts it.
func New(options Options) (*Orders, error) {
	if options.Charge == nil || options.Sender == nil || options.Planner == nil || options.Clock == nil {
		return nil, fmt.Errorf("engine orders: Charge, Sender, Planner and Clock are needed: %w", winch.ErrInvalid)
	}
	options.Interval = cmp.Or(options.Interval, defaultInterval)
	options.RepeatEvery = cmp.Or(options.RepeatEvery, defaultRepeatEvery)
	options.InFlight = cmp.Or(options.InFlight, defaultInFlight)
	options.Logger = cmp.Or[hclog.Logger](options.Logger, hclog.NewNullLogger())
	return &Orders{options: options, scheduler: newScheduler(options.RepeatEvery, options.InFlight)}, nil
}

// Run plans and orders until ctx ends. It returns nil.
func (o *Orders) Run(ctx context.Context) error {
	return periodic.Run(ctx, o.options.Interval, o.step)
}

// step plans once and sends the first order that is due.
func (o *Orders) step(ctx context.Context) {
	now := o.options.Clock.Now()
	term, held := o.options.Charge.Term(now)
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
	_, err = o.options.Sender.Send(ctx, o.options.Charge, winch.FencedCall{
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
		logger.Info("engine ordered", "Event", EventEngineOrdered)
	case errors.Is(err, winch.ErrRateLimited):
		logger.Info("weight store limits the rate", "Event", EventWeightsLimited, "Error", err)
	default:
		logger.Warn("engine order failed", "Event", EventEngineOrderFailed, "Error", err)
	}
}

// retryAfter returns the time to wait that an answer names.
func retryAfter(err error) time.Duration {
	answer, found := httpjson.StatusOf(err)
	if !found || answer.RetryAfter <= 0 {
		return defaultPause
	}
	return answer.RetryAfter
}
