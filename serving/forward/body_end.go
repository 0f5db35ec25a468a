package forward

import (
	"context"
	"errors"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"

	"github.com/arbutuswinch/winch"
	"github.com/arbutuswinch/winch/serving/internal/bodyend"
)

const (
	// endProbeTimeout limits the time for which a body that ended with its connection waits for what is known of its endpoint.
	endProbeTimeout = 250 * time.Millisecond
	// endProbePause is the pause between two probes: a process that is killed does not close its connections and its port at once.
	endProbePause = 20 * time.Millisecond
	endProbeCount = 2
)

// errEndpointEnded: the endpoint's process has ended at the end of a response that ends with its connection.
var errEndpointEnded = errors.New("endpoint has ended")

// restTimeout limits the time for which a response whose end is assumed waits for the first event of the rest that it may lack. Its caller
// may have all events already.
const restTimeout = time.Second

var errRestTimeout = errors.New("no rest of the stream came in time")

// asksForRest reports whether the next attempt only has to show that the response that was relayed is whole. Without it, the response may
// end as it is.
func (req *request) asksForRest() bool { return req.proof == bodyend.Assumed && req.closeDelimited }

// proveEnd returns what the end of the body of the attempt's response proves. The caller has set what the body alone tells.
func (s *Server) proveEnd(req *request, a *attempt, body bodyend.Body) bodyend.Proof {
	body.EndsWithConnection, body.Events = a.reply.EndsWithConnection, a.events
	if proof := body.Proof(); proof != bodyend.Assumed {
		return proof
	}
	ended := s.now()
	body.ServerEnded = s.hasEnded(a)
	proof := body.Proof()
	s.metrics.assumedEnds.Add(context.WithoutCancel(a.ctx), 1, metric.WithAttributes(attribute.String("proof", proof.String())))
	fields := []any{"Event", EventEndNotProved, "Request", string(req.ID), "Endpoint", string(a.endpoint.ID), "Events", body.Events, "EndpointEnded", body.ServerEnded}
	if !a.lastEventAt.IsZero() {
		fields = append(fields, "Silence", ended.Sub(a.lastEventAt).String())
	}
	s.options.Logger.Info("response ended with its connection", fields...)
	return proof
}

// hasEnded reports whether the process of the attempt's endpoint is known to have ended since the attempt began: its port is closed, or a
// later process has it.
func (s *Server) hasEnded(a *attempt) bool {
	ctx, cancel := context.WithTimeout(a.ctx, endProbeTimeout)
	defer cancel()
	for i := range endProbeCount {
		if i > 0 {
			select {
			case <-ctx.Done():
			case <-time.After(endProbePause):
			}
		}
		if s.options.Prober.Refuses(ctx, a.endpoint.Address) {
			return true
		}
	}
	listed := a.slot.StartedAt()
	if listed.IsZero() || a.endpoint.Kind != winch.EndpointEngine {
		return false
	}
	started, err := s.options.Sender.StartedAt(ctx, a.endpoint)
	// The list may not tell of a start before the attempt yet. Endpoints tell their start by the wall clock, which a.started is not read from.
	sentAt := time.Now().Add(a.started.Sub(s.now()))
	return err == nil && !started.Equal(listed) && started.After(sentAt)
}
