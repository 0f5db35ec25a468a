// Package platform orders endpoints from the platform for one data centre, and
// distributes the list of ordered endpoints to all hosts of the data centre.
//
// Only the lease holder of the data centre's orders sends orders. For each order
// it stores the intent in the key-value service, sends the order through the fenced
// sender, which checks the term immediately before the call is completed, and stores
// the outcome. An order states the desired number of endpoints and has an id, so that
// it can be repeated safely. An order whose outcome is unknown is repeated until its
// outcome is known or it can no longer be in flight; only then is another order sent.
//
// # Usage
//
//	endpoints, err := platform.NewEndpoints(platform.EndpointsOptions{Address: address, DataCentre: "yard-1", Membership: membership, Clock: clock})
//	if err != nil {
//		return err
//	}
//	go endpoints.Run(ctx)
//	orders, err := platform.New(platform.Options{
//		Protocol: platform.NativeProtocol{Address: address}, DataCentre: "yard-1", Lease: holder, Sender: sender, Store: store,
//		Planner: planner, Endpoints: endpoints, Clock: clock, Holder: "host-1",
//	})
//	if err != nil {
//		return err
//	}
//	go orders.Run(ctx)
//
// While the key-value service is unavailable, no host holds the lease and no orders are
// sent. Running endpoints are kept.
package platform

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/google/uuid"
	"github.com/hashicorp/go-hclog"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"
	"go.opentelemetry.io/otel/metric/noop"

	"github.com/arbutuswinch/winch"
	"github.com/arbutuswinch/winch/internal/periodic"
)

const (
	defaultInterval    = time.Second
	defaultRepeatEvery = 10 * time.Second
	defaultInFlight    = 2 * time.Second
)

// Options are the dependencies and settings of Orders. A duration that is zero has its default value.
type Options struct {
	// Protocol encodes the orders. NativeProtocol is the protocol of this project.
	Protocol    winch.OrderProtocol
	DataCentre  winch.DataCentreID
	Holder      winch.HostID
	Incarnation winch.Incarnation
	Lease       winch.LeaseGuard
	Sender      winch.FencedSender
	Store       winch.KeyValue
	Planner     winch.PlacementPlanner
	Endpoints   winch.OrderedEndpoints
	// Interval is the time between plans. The default is 1 s.
	Interval time.Duration
	// RepeatEvery is the time after which a new order is sent while the endpoints do not
	// match the plan. The default is 10 s.
	RepeatEvery time.Duration
	// InFlight is the longest time that an order may take to arrive. The default is 2 s.
	InFlight time.Duration
	Clock    winch.Clock
	Logger   hclog.Logger
	Meter    metric.Meter
}

// Orders sends the orders of one data centre while this host holds their lease.
type Orders struct {
	options   Options
	scheduler scheduler
	intents   intentStore
	counter   metric.Int64Counter
}

// New returns Orders. Run must be called for them to be sent.
func New(options Options) (*Orders, error) {
	if err := check(options); err != nil {
		return nil, err
	}
	options = withDefaults(options)
	counter, err := options.Meter.Int64Counter("winch_placement_orders", metric.WithDescription("Orders for endpoints by outcome."))
	if err != nil {
		return nil, fmt.Errorf("create order counter: %w", err)
	}
	return &Orders{
		options:   options,
		counter:   counter,
		scheduler: scheduler{incarnation: options.Incarnation, renewAfter: options.RepeatEvery, inFlight: options.InFlight},
		intents: intentStore{
			store: options.Store, key: "placement/" + string(options.DataCentre) + "/order",
			holder: options.Holder, incarnation: options.Incarnation,
		},
	}, nil
}

// check returns an error if a required option is missing. Holder may be empty, since it is
// only stored and sent along.
func check(options Options) error {
	missing := map[string]bool{
		"Lease": options.Lease == nil, "Sender": options.Sender == nil, "Store": options.Store == nil,
		"Planner": options.Planner == nil, "Endpoints": options.Endpoints == nil, "Clock": options.Clock == nil,
		"DataCentre": options.DataCentre == "", "Protocol": options.Protocol == nil,
	}
	for field, isMissing := range missing {
		if isMissing {
			return fmt.Errorf("placement option %s is missing: %w", field, winch.ErrInvalid)
		}
	}
	return nil
}

func withDefaults(options Options) Options {
	options.Interval = cmp.Or(options.Interval, defaultInterval)
	options.RepeatEvery = cmp.Or(options.RepeatEvery, defaultRepeatEvery)
	options.InFlight = cmp.Or(options.InFlight, defaultInFlight)
	options.Incarnation = cmp.Or(options.Incarnation, winch.Incarnation(uuid.NewString()))
	options.Logger = cmp.Or[hclog.Logger](options.Logger, hclog.NewNullLogger())
	options.Meter = cmp.Or[metric.Meter](options.Meter, noop.Meter{})
	return options
}

// Run plans and sends orders until ctx is done. It returns nil.
func (o *Orders) Run(ctx context.Context) error {
	return periodic.Run(ctx, o.options.Interval, o.step)
}

// step plans once, and sends an order if one is due.
func (o *Orders) step(ctx context.Context) {
	now := o.options.Clock.Now()
	term, held := o.options.Lease.Term(now)
	if !held {
		return
	}
	running := o.options.Endpoints.Current()
	// Without a list of the running endpoints, which is nil before the first read, the plan
	// would order too few or too many.
	if running == nil {
		return
	}
	plan := o.options.Planner.Plan(now, o.options.DataCentre, running)
	order, isNew, due := o.scheduler.next(now, term, plan, running)
	if !due {
		return
	}
	if isNew && !o.storeIntent(ctx, order) {
		return
	}
	sent := o.options.Clock.Now()
	outcome := o.send(ctx, order)
	o.scheduler.recordOutcome(sent, order, outcome)
	if err := o.intents.write(ctx, order, outcome); err != nil {
		o.options.Logger.Warn("order outcome not stored", "Event", EventIntentFailed, "Order", order.id, "Error", err)
	}
}

// storeIntent stores the intent and reports whether the order may be sent.
func (o *Orders) storeIntent(ctx context.Context, order order) bool {
	if err := o.intents.write(ctx, order, ""); err != nil {
		o.options.Logger.Warn("order intent not stored", "Event", EventIntentFailed, "Order", order.id, "Error", err)
		return false
	}
	for _, pool := range order.pools {
		o.options.Logger.Info("order intent stored", "Event", EventOrderIntentStored, "Order", order.id, "FencingNumber", order.number,
			"DataCentre", o.options.DataCentre, "Pool", pool.Pool, "Supply", pool.Supply, "Count", pool.Count)
	}
	return true
}

func (o *Orders) send(ctx context.Context, order order) outcome {
	calls, err := o.options.Protocol.Encode(winch.PlacementOrder{
		ID: order.id, Number: order.number, Holder: o.options.Holder, DataCentre: o.options.DataCentre, Pools: order.pools,
	})
	outcome := outcomeOf(err)
	for _, call := range calls {
		_, sendErr := o.options.Sender.Send(ctx, o.options.Lease, call)
		if sent := outcomeOf(sendErr); sent.worse(outcome) {
			outcome, err = sent, sendErr
		}
	}
	o.counter.Add(context.WithoutCancel(ctx), 1, metric.WithAttributes(attribute.String("outcome", string(outcome))))
	o.logOutcome(order, outcome, err)
	return outcome
}

func (o *Orders) logOutcome(order order, outcome outcome, err error) {
	logger := o.options.Logger.With("Order", order.id, "FencingNumber", order.number, "DataCentre", o.options.DataCentre)
	switch outcome {
	case outcomeDone:
		logger.Info("order accepted", "Event", EventOrderAccepted)
	case outcomeShort:
		logger.Warn("order accepted but not enough endpoints available", "Event", EventOrderShort, "Error", err)
	case outcomeFenced:
		logger.Error("order rejected: platform has seen a higher fencing number", "Event", EventOrderFenced, "Error", err)
	default:
		logger.Warn("order not accepted, or its outcome is unknown", "Event", EventOrderFailed, "Outcome", outcome, "Error", err)
	}
}

func outcomeOf(err error) outcome {
	switch {
	case err == nil:
		return outcomeDone
	case errors.Is(err, winch.ErrConflict):
		// The platform answers so when it accepts the order but lacks endpoints.
		return outcomeShort
	case errors.Is(err, winch.ErrFenced):
		return outcomeFenced
	case errors.Is(err, winch.ErrOutcomeUnknown):
		return outcomeUnknown
	}
	return outcomeFailed
}
