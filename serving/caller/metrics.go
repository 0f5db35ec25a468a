package caller

import (
	"context"
	"fmt"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"

	"github.com/arbutuswinch/winch"
)

// metrics holds the instruments of a server.
type metrics struct {
	requests metric.Int64Counter
	// tokens counts output that was delivered to callers or collected for them.
	tokens       metric.Int64Counter
	tokensWasted metric.Int64Counter
	// attemptsRepeated counts completions that were dispatched again after an attempt whose
	// response had begun.
	attemptsRepeated metric.Int64Counter
	// mismatchedResponses counts streams that ended because an event belonged to another
	// request (winch.ErrResponseMismatch).
	mismatchedResponses metric.Int64Counter
	timeToFirstToken    metric.Float64Histogram
}

func newMetrics(meter metric.Meter, openRequests func() int64) (*metrics, error) {
	m := &metrics{}
	var err error
	counters := []struct {
		into        *metric.Int64Counter
		name        string
		description string
	}{
		{&m.requests, "winch.serving.requests", "Requests that ended, by class and code."},
		{&m.tokens, "winch.serving.tokens", "Output tokens delivered to callers, by class."},
		{&m.tokensWasted, "winch.serving.tokens.wasted", "Output tokens that engines made and no caller got, by class."},
		{&m.attemptsRepeated, "winch.serving.attempts.repeated", "Completions that went on at another endpoint, by class."},
		{&m.mismatchedResponses, "winch.serving.answers.crossed", "Answers that were dropped because they belonged to another request."},
	}
	for _, counter := range counters {
		if *counter.into, err = meter.Int64Counter(counter.name, metric.WithDescription(counter.description)); err != nil {
			return nil, fmt.Errorf("create counter %s: %w", counter.name, err)
		}
	}
	m.timeToFirstToken, err = meter.Float64Histogram("winch.serving.first_token", metric.WithUnit("s"),
		metric.WithDescription("Time from a request's arrival to its first token or answer, by class."),
		metric.WithExplicitBucketBoundaries(0.01, 0.03, 0.1, 0.2, 0.4, 0.7, 1, 1.3, 2, 4, 8, 16, 32))
	if err != nil {
		return nil, fmt.Errorf("create histogram of the time to the first token: %w", err)
	}
	_, err = meter.Int64ObservableGauge("winch.serving.requests.open", metric.WithDescription("Requests that are open."),
		metric.WithInt64Callback(func(_ context.Context, observer metric.Int64Observer) error {
			observer.Observe(openRequests())
			return nil
		}))
	if err != nil {
		return nil, fmt.Errorf("create gauge of open requests: %w", err)
	}
	return m, nil
}

func byClass(class winch.ClassID) metric.MeasurementOption {
	return metric.WithAttributeSet(attribute.NewSet(attribute.String("Class", string(class))))
}

// requestDone counts a request that ended. There is no metric of how long it took.
func (m *metrics) requestDone(req *request, code string, _ time.Duration) {
	ctx := context.Background()
	m.requests.Add(ctx, 1, metric.WithAttributeSet(attribute.NewSet(
		attribute.String("Class", string(req.class.ID)), attribute.String("Code", code))))
	if req.outputTokens > 0 {
		m.tokens.Add(ctx, int64(req.outputTokens), byClass(req.class.ID))
	}
	if req.timeToFirstToken > 0 {
		m.timeToFirstToken.Record(ctx, req.timeToFirstToken.Seconds(), byClass(req.class.ID))
	}
}

func (m *metrics) addWastedTokens(class winch.ClassID, tokens winch.Tokens) {
	if tokens > 0 {
		m.tokensWasted.Add(context.Background(), int64(tokens), byClass(class))
	}
}

func (m *metrics) addRepeatedAttempt(class winch.ClassID) {
	m.attemptsRepeated.Add(context.Background(), 1, byClass(class))
}

func (m *metrics) addMismatchedResponse() { m.mismatchedResponses.Add(context.Background(), 1) }
