package endpoint

import (
	"context"
	"fmt"
	"sync"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"
	"go.opentelemetry.io/otel/metric/noop"

	"github.com/arbutuswinch/winch"
)

// metrics counts decisions and exports gauges of the queues.
type metrics struct {
	decisions metric.Int64Counter
	waits     metric.Float64Histogram
	cached    sync.Map // maps labels to metric.MeasurementOption
}

func newMetrics(meter metric.Meter, d *Dispatcher) (*metrics, error) {
	if meter == nil {
		meter = noop.NewMeterProvider().Meter("dispatch")
	}
	decisions, err := meter.Int64Counter("winch_dispatch_decisions", metric.WithDescription("Decisions by kind, class, reason and cause."))
	if err != nil {
		return nil, fmt.Errorf("create decision counter: %w", err)
	}
	waits, err := meter.Float64Histogram("winch_dispatch_wait", metric.WithUnit("s"), metric.WithDescription("Time in the queue of requests that got a slot."))
	if err != nil {
		return nil, fmt.Errorf("create wait histogram: %w", err)
	}
	if err := observeQueues(meter, d); err != nil {
		return nil, err
	}
	if err := observeEvacuations(meter, d); err != nil {
		return nil, err
	}
	if err := observeCold(meter, d); err != nil {
		return nil, err
	}
	if err := observePaces(meter, d); err != nil {
		return nil, err
	}
	if err := observeTokens(meter, d); err != nil {
		return nil, err
	}
	if err := observeCompletion(meter, d); err != nil {
		return nil, err
	}
	if err := observePrefixes(meter, d); err != nil {
		return nil, err
	}
	if err := observeReach(meter, d); err != nil {
		return nil, err
	}
	return &metrics{decisions: decisions, waits: waits}, nil
}

func observeQueues(meter metric.Meter, d *Dispatcher) error {
	depth, err := meter.Int64ObservableGauge("winch_dispatch_queue_depth", metric.WithDescription("Queued requests of this host."))
	if err != nil {
		return fmt.Errorf("create queue depth gauge: %w", err)
	}
	oldest, err := meter.Float64ObservableGauge("winch_dispatch_queue_oldest", metric.WithUnit("s"), metric.WithDescription("Wait of the oldest queued request."))
	if err != nil {
		return fmt.Errorf("create oldest wait gauge: %w", err)
	}
	drain, err := meter.Float64ObservableGauge("winch_dispatch_queue_drain", metric.WithUnit("s"), metric.WithDescription("Predicted time until the queue is empty."))
	if err != nil {
		return fmt.Errorf("create queue drain gauge: %w", err)
	}
	_, err = meter.RegisterCallback(func(_ context.Context, observer metric.Observer) error {
		for _, status := range d.Queues(d.options.Clock.Now()) {
			if status.Host != d.core.self.ID {
				continue
			}
			attributes := metric.WithAttributes(attribute.String("class", string(status.Class)),
				attribute.String("model", string(status.Model)), attribute.String("route", string(status.Route)))
			observer.ObserveInt64(depth, int64(status.Queued), attributes)
			observer.ObserveFloat64(oldest, status.OldestWait.Seconds(), attributes)
			observer.ObserveFloat64(drain, status.PredictedDrain.Seconds(), attributes)
		}
		return nil
	}, depth, oldest, drain)
	if err != nil {
		return fmt.Errorf("register queue gauges: %w", err)
	}
	return nil
}

func observeEvacuations(meter metric.Meter, d *Dispatcher) error {
	endpoints, err := meter.Int64ObservableGauge("winch_dispatch_evacuated_endpoints", metric.WithDescription("Endpoints that get no requests, by evacuated data centre."))
	if err != nil {
		return fmt.Errorf("create gauge of evacuated endpoints: %w", err)
	}
	running, err := meter.Int64ObservableGauge("winch_dispatch_evacuated_running", metric.WithDescription("Requests of this host that still run at evacuated endpoints."))
	if err != nil {
		return fmt.Errorf("create gauge of requests at evacuated endpoints: %w", err)
	}
	_, err = meter.RegisterCallback(func(_ context.Context, observer metric.Observer) error {
		for centre, e := range d.evacuations() {
			attributes := metric.WithAttributes(attribute.String("data_centre", string(centre)))
			observer.ObserveInt64(endpoints, int64(e.endpoints), attributes)
			observer.ObserveInt64(running, int64(e.running), attributes)
		}
		return nil
	}, endpoints, running)
	if err != nil {
		return fmt.Errorf("register gauges of evacuations: %w", err)
	}
	return nil
}

// String returns the kind's name in metrics.
func (k effectKind) String() string {
	names := [...]string{
		effectGranted: "granted", effectQueued: "queued", effectRefused: "refused", effectPreempted: "preempted",
		effectMoved: "moved", effectReleased: "released", effectCancelled: "cancelled", effectEjected: "ejected",
		effectRestored: "restored", effectQueueLong: "queue_long", effectQueueShort: "queue_short", effectLeaving: "leaving", effectReturned: "returned",
		effectSaysLeaving: "says_leaving", effectRests: "rests", effectRested: "rested", effectRateNamed: "rate_named", effectRateEnded: "rate_ended",
		effectEvacuated: "evacuated", effectEvacuationEnded: "evacuation_ended", effectHeldBack: "held_back",
		effectCold: "cold", effectWarming: "warming", effectWarm: "warm",
		effectUnreachable: "unreachable", effectReachable: "reachable",
	}
	return names[k]
}

// count counts a decision and records the wait of granted requests.
func (m *metrics) count(l *logEntry) {
	key := labels{kind: l.kind, class: l.class, reason: l.refusal.Reason}
	if l.kind == effectQueued || l.kind == effectRefused {
		key.cause = l.cause
	}
	m.decisions.Add(context.Background(), 1, m.attributes(key))
	if l.kind == effectGranted {
		m.waits.Record(context.Background(), l.duration.Seconds(), m.attributes(labels{kind: l.kind, class: l.class}))
	}
}

// labels identifies one time series of the decision counter.
type labels struct {
	kind   effectKind
	class  winch.ClassID
	reason winch.RefusalReason
	// cause is the queueCause of requests that were queued or refused.
	cause string
}

// attributes returns the attributes of the labels, cached after the first call.
func (m *metrics) attributes(key labels) metric.MeasurementOption {
	if existing, found := m.cached.Load(key); found {
		return existing.(metric.MeasurementOption)
	}
	built := metric.WithAttributeSet(attribute.NewSet(attribute.String("kind", key.kind.String()),
		attribute.String("class", string(key.class)), attribute.String("reason", string(key.reason)),
		attribute.String("cause", key.cause)))
	m.cached.Store(key, built)
	return built
}
