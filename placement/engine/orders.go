// Package engine orders model engines to load models or to change their role, as
// the host in charge of the data centre's orders.
//
// The orders go through the same fenced sender as those for endpoints, since some
// engines ignore fencing numbers. The weight store limits the rate of loads: when an
// engine is refused for it, all orders wait until the store allows more.
//
// # Usage
//
//	orders, err := engine.New(engine.Options{
//		DataCentre: "yard-1", Charge: holder, Sender: sender, Store: store, Planner: planner, Clock: clock,
//	})
//	if err != nil {
//		return err
//	}
//	go orders.Run(ctx)
package engine

import (
	"context"
	"errors"
	"fmt"
	"strconv"
	"time"

	"github.com/google/uuid"
	"github.com/hashicorp/go-hclog"

	"github.com/arbutuswinch/winch"
	"github.com/arbutuswinch/winch/httpjson"
)

const (
	defaultInterval = time.Second
	orderPath       = "/v1/orders"
	// weightsWait is how long orders wait when the weight store names no time.
	weightsWait     = 2 * time.Second
	defaultInFlight = 2 * time.Second
)

// Options are the settings of Orders.
type Options struct {
	DataCentre  winch.DataCentreID
	Incarnation winch.Incarnation
	Charge      winch.TermGuard
	Sender      winch.FencedSender
	Store       winch.KeyValue
	Planner     winch.EnginePlanner
	// Interval is the time between two plans. The default is 1 s.
	Interval time.Duration
	// InFlight is the longest time that an order may be on its way. The default is 2 s.
	InFlight time.Duration
	Clock    winch.Clock
	Logger   hclog.Logger
}

// Orders sends the orders to the engines of one data centre while this host is in charge of them.
type Orders struct {
	options Options
	key     string
	count   int
	// waitUntil is when the weight store may be asked again.
	waitUntil time.Time
	// fenced is the term that an engine has refused.
	fenced winch.FencingNumber
	// unknown is when an order of unknown outcome can no longer be on its way to the engine.
	unknown map[winch.EndpointID]time.Time
}

// New returns Orders, which do nothing until Run.
func New(options Options) (*Orders, error) {
	if options.Charge == nil || options.Sender == nil || options.Store == nil || options.Planner == nil ||
		options.Clock == nil || options.DataCentre == "" {
		return nil, fmt.Errorf("engine order options DataCentre, Charge, Sender, Store, Planner and Clock are needed: %w", winch.ErrInvalid)
	}
	if options.Interval == 0 {
		options.Interval = defaultInterval
	}
	if options.InFlight == 0 {
		options.InFlight = defaultInFlight
	}
	if options.Incarnation == "" {
		options.Incarnation = winch.Incarnation(uuid.NewString())
	}
	if options.Logger == nil {
		options.Logger = hclog.NewNullLogger()
	}
	return &Orders{
		options: options,
		key:     "placement/" + string(options.DataCentre) + "/engine",
		unknown: map[winch.EndpointID]time.Time{},
	}, nil
}

// Run plans and orders until ctx ends. It returns nil.
func (o *Orders) Run(ctx context.Context) error {
	ticker := time.NewTicker(o.options.Interval)
	defer ticker.Stop()
	for {
		o.step(ctx)
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

// step sends the orders that are planned now, the most urgent first.
func (o *Orders) step(ctx context.Context) {
	now := o.options.Clock.Now()
	term, held := o.options.Charge.Term(now)
	if !held || term.Number == o.fenced || now.Before(o.waitUntil) {
		return
	}
	for _, order := range o.options.Planner.PlanEngines(now, o.options.DataCentre) {
		// An order of unknown outcome could overtake the next one.
		if now.Before(o.unknown[order.Endpoint]) {
			continue
		}
		delete(o.unknown, order.Endpoint)
		if !o.order(ctx, term.Number, order) {
			return
		}
	}
}

// order keeps the intent and sends the order. It reports whether others may follow.
func (o *Orders) order(ctx context.Context, number winch.FencingNumber, order winch.EngineOrder) bool {
	o.count++
	id := winch.OrderID(fmt.Sprintf("%s-%d-%d", o.options.Incarnation, number, o.count))
	logger := o.options.Logger.With("Order", id, "FencingNumber", number, "Endpoint", order.Endpoint)
	if err := o.intend(ctx, id, number, order); err != nil {
		logger.Warn("intent not kept", "Event", EventEngineIntentFailed, "Error", err)
		return false
	}
	body, err := encodeOrder(id, number, order)
	if err == nil {
		_, err = o.options.Sender.Send(ctx, o.options.Charge, winch.FencedCall{
			Address: order.Address, Path: orderPath, Body: body, Number: number,
		})
	}
	switch {
	case err == nil:
		logger.Info("engine ordered", "Event", EventEngineOrdered, "Load", order.Load, "Role", order.Role)
		return true
	case errors.Is(err, winch.ErrOutcomeUnknown):
		o.unknown[order.Endpoint] = o.options.Clock.Now().Add(o.options.InFlight)
	case errors.Is(err, winch.ErrFenced):
		o.fenced = number
		logger.Error("engine order fenced", "Event", EventEngineOrderFenced, "Error", err)
		return false
	case errors.Is(err, winch.ErrRateLimited):
		o.waitUntil = o.options.Clock.Now().Add(retryAfter(err))
		logger.Info("weights limited", "Event", EventWeightsLimited, "Until", o.waitUntil)
		return false
	}
	logger.Warn("engine order failed", "Event", EventEngineOrderFailed, "Error", err)
	return !errors.Is(err, winch.ErrNotInCharge)
}

func retryAfter(err error) time.Duration {
	answer, found := httpjson.StatusOf(err)
	if !found || answer.RetryAfter == 0 {
		return weightsWait
	}
	return answer.RetryAfter
}

// intend keeps the intent by compare-and-swap. An intent of a later term means that
// this holder was replaced.
func (o *Orders) intend(ctx context.Context, id winch.OrderID, number winch.FencingNumber, order winch.EngineOrder) error {
	entry, err := o.options.Store.Get(ctx, o.key)
	if err != nil && !errors.Is(err, winch.ErrNotFound) {
		return fmt.Errorf("read intent: %w", err)
	}
	if err == nil {
		kept, _, err := decodeIntent(entry.Value)
		if err != nil {
			return err
		}
		if kept > number {
			return fmt.Errorf("intent of term %d found: %w", kept, winch.ErrNotInCharge)
		}
	}
	write := winch.WriteID(string(o.options.Incarnation) + "/" + strconv.Itoa(o.count))
	value, err := encodeIntent(id, number, write, order)
	if err != nil {
		return err
	}
	_, err = o.options.Store.Put(ctx, o.key, value, entry.Version)
	if errors.Is(err, winch.ErrOutcomeUnknown) {
		return o.readBack(ctx, write, err)
	}
	return err
}

// readBack returns nil when the write whose answer was lost took effect.
func (o *Orders) readBack(ctx context.Context, write winch.WriteID, lost error) error {
	entry, err := o.options.Store.Get(ctx, o.key)
	if err != nil {
		return fmt.Errorf("read intent back: %w: %w", winch.ErrOutcomeUnknown, err)
	}
	_, kept, err := decodeIntent(entry.Value)
	if err != nil {
		return err
	}
	if kept != write {
		return lost
	}
	return nil
}
