package forward

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"

	"github.com/arbutuswinch/winch"
)

// metrics are the metric instruments of the server.
type metrics struct {
	requests          metric.Int64Counter
	attempts          metric.Int64Counter
	timeToFirstOutput metric.Float64Histogram
	duration          metric.Float64Histogram
	longestPause      metric.Float64Histogram
	assumedEnds       metric.Int64Counter
}

func newMetrics(meter metric.Meter, open func() int64) (*metrics, error) {
	m := &metrics{}
	var err error
	if m.requests, err = meter.Int64Counter("winch_forward_requests", metric.WithDescription("Forwarded requests by class and result.")); err != nil {
		return nil, fmt.Errorf("create request counter: %w", err)
	}
	if m.attempts, err = meter.Int64Counter("winch_forward_attempts", metric.WithDescription("Attempts at endpoints by result.")); err != nil {
		return nil, fmt.Errorf("create attempt counter: %w", err)
	}
	if m.timeToFirstOutput, err = meter.Float64Histogram("winch_forward_first_seconds", metric.WithUnit("s"),
		metric.WithDescription("Time from arrival to the first event or the whole answer.")); err != nil {
		return nil, fmt.Errorf("create first-event histogram: %w", err)
	}
	if m.duration, err = meter.Float64Histogram("winch_forward_seconds", metric.WithUnit("s"),
		metric.WithDescription("Time from arrival to the end of the request.")); err != nil {
		return nil, fmt.Errorf("create duration histogram: %w", err)
	}
	if m.longestPause, err = meter.Float64Histogram("winch_forward_pause_seconds", metric.WithUnit("s"),
		metric.WithDescription("Longest time between two events of a stream.")); err != nil {
		return nil, fmt.Errorf("create pause histogram: %w", err)
	}
	if m.assumedEnds, err = meter.Int64Counter("winch_forward_assumed_ends",
		metric.WithDescription("Responses of endpoints that ended with their connection, by what is known of the end.")); err != nil {
		return nil, fmt.Errorf("create counter of assumed ends: %w", err)
	}
	_, err = meter.Int64ObservableGauge("winch_forward_open", metric.WithDescription("Forwarded requests that are open."),
		metric.WithInt64Callback(func(_ context.Context, observer metric.Int64Observer) error {
			observer.Observe(open())
			return nil
		}))
	if err != nil {
		return nil, fmt.Errorf("create gauge of open requests: %w", err)
	}
	return m, nil
}

// record logs the outcome of the request and updates the metrics.
func (s *Server) record(req *request, f *fault) {
	status, reason, retryAfter := req.status, "", ""
	if f != nil {
		reason = f.reason
		if !req.responseStarted {
			status = f.status
		}
		if f.retryAfter > 0 {
			retryAfter = f.retryAfter.String()
		}
	}
	took := s.now().Sub(req.arrived)
	class, route, revision := winch.ClassID(""), winch.RouteID(""), winch.Revision(0)
	if req.admission.route != nil {
		class, route, revision = req.admission.class.ID, req.admission.route.ID, req.admission.configuration.Revision
	}
	s.options.Logger.Info("request finished", "Event", EventForwardDone, "Request", string(req.ID), "Route", string(route), "Class", string(class),
		"Organisation", string(req.admission.organisation), "Status", status, "Reason", reason, "RetryAfter", retryAfter,
		"RunState", string(req.tracker.RunState()), "Revision", revision, "ProofAge", req.configurationAge.String(), "First", req.timeToFirstOutput.String(),
		"Took", took.String(), "Left", req.remaining(took).String(), "Resumes", string(req.Resumes), "ResumedAfter", req.LastEvent,
		"Software", string(req.origin.Software), "OriginSource", string(req.originSource), "LastEvent", req.lastEvent, "Pause", req.longestPause.String(), "Tail", req.tailBytes, "EndsWithConnection", req.endsWithConnection(),
		"Attempts", formatAttempts(req.attempts), "Path", s.pathIfNotAdmitted(req, status))
	labels := metric.WithAttributes(attribute.String("class", string(class)), attribute.Int("status", status), attribute.String("reason", reason))
	ctx := context.WithoutCancel(req.detached)
	s.metrics.requests.Add(ctx, 1, labels)
	byClass := metric.WithAttributes(attribute.String("class", string(class)))
	s.metrics.duration.Record(ctx, took.Seconds(), byClass)
	if req.longestPause > 0 {
		s.metrics.longestPause.Record(ctx, req.longestPause.Seconds(), byClass)
	}
	if req.timeToFirstOutput > 0 {
		s.metrics.timeToFirstOutput.Record(ctx, req.timeToFirstOutput.Seconds(), byClass)
	}
	for _, attempt := range req.attempts {
		s.metrics.attempts.Add(ctx, 1, metric.WithAttributes(attribute.String("result", attempt.outcome)))
	}
}

// remaining returns the time left until the request's deadline: negative if the deadline has
// passed, zero if the request ended before its deadline was set.
func (req *request) remaining(took time.Duration) time.Duration {
	if req.deadline.IsZero() {
		return 0
	}
	return req.deadline.Sub(req.arrived.Add(took))
}

// endsWithConnection reports whether the response of the last attempt had neither a length nor chunks.
func (req *request) endsWithConnection() bool {
	return len(req.attempts) > 0 && req.attempts[len(req.attempts)-1].endsWithConnection
}

// pathIfNotAdmitted returns the host and path of a request that was never admitted or got a
// 404, and an empty string for all others.
func (s *Server) pathIfNotAdmitted(req *request, status int) string {
	if status != http.StatusNotFound && req.admission.route != nil {
		return ""
	}
	return req.Host + req.Path
}

// formatAttempts lists for each attempt the endpoint, the wait for its slot, the duration, the status, the outcome, the software version
// of the endpoint, the number of events, the time from the latest one to the end, and what ended the body.
func formatAttempts(attempts []attemptRecord) string {
	text := strings.Builder{}
	for i := range attempts {
		attempt := &attempts[i]
		if i > 0 {
			text.WriteByte(' ')
		}
		fmt.Fprintf(&text, "%s/%s/%s/%d/%s/%s/%d/%s/%s", attempt.endpoint, attempt.waited, attempt.took, attempt.status, attempt.outcome, attempt.software,
			attempt.events, attempt.silence, attempt.framing())
	}
	return text.String()
}

// framing tells what ends the body of the attempt's response.
func (a *attemptRecord) framing() string {
	switch {
	case a.status == 0:
		return "none"
	case a.endsWithConnection:
		return "connection"
	}
	return "framed"
}
