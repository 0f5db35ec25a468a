package peer

import (
	"context"
	"time"

	"github.com/arbutuswinch/winch"
	"github.com/arbutuswinch/winch/quarantine"
)

const (
	// An endpoint that refused connections is asked when it started, for askFor, since a router that rejects traffic looks like a
	// process that has ended. The pause between two tries grows from minAskPause to maxAskPause.
	askFor      = 10 * time.Second
	minAskPause = 250 * time.Millisecond
	maxAskPause = time.Second
	askTimeout  = 300 * time.Millisecond
)

// watch asks the endpoint when it started until it answers. If it still is the run that the requests were sent to, it has not crashed.
func (g *Guard) watch(endpoint winch.Endpoint, crashes []winch.EndpointCrash) {
	if g.options.Starts == nil {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	watched, running := g.watched[endpoint.ID]
	for _, crash := range crashes {
		if !crash.StartedAt.IsZero() && len(watched) < maxWaitingPerEndpoint {
			watched = append(watched, crash)
		}
	}
	if len(watched) == 0 {
		return
	}
	g.watched[endpoint.ID] = watched
	if !running {
		go g.askUntilAnswered(endpoint)
	}
}

func (g *Guard) askUntilAnswered(endpoint winch.Endpoint) {
	startedAt, pause := time.Time{}, minAskPause
	for waited := time.Duration(0); waited < askFor && startedAt.IsZero(); waited += pause {
		pause = min(pause*3/2, maxAskPause)
		<-time.After(pause)
		startedAt = g.askStart(endpoint)
	}
	now := g.options.Clock.Now()
	g.mu.Lock()
	watched := g.watched[endpoint.ID]
	delete(g.watched, endpoint.ID)
	g.mu.Unlock()
	refuted := []winch.RequestID{}
	for _, crash := range watched {
		if crash.StartedAt.Equal(startedAt) {
			refuted = append(refuted, crash.Request)
		}
	}
	if len(refuted) == 0 {
		return
	}
	g.options.Logger.Info("endpoint did not crash, it was out of reach", "Event", EventCrashRefuted, "Endpoint", string(endpoint.ID),
		"Started", startedAt, "Requests", len(refuted))
	g.update(func() []quarantine.Change { return g.evidence.RefuteCrashes(now, refuted) })
}

// askStart returns zero if the endpoint does not answer.
func (g *Guard) askStart(endpoint winch.Endpoint) time.Time {
	ctx, cancel := context.WithTimeout(context.Background(), askTimeout)
	defer cancel()
	startedAt, err := g.options.Starts.StartedAt(ctx, endpoint)
	if err != nil {
		// Expected of an endpoint that has crashed.
		g.options.Logger.Debug("endpoint does not tell its start", "Event", EventStartUnknown, "Endpoint", string(endpoint.ID), "Error", err)
		return time.Time{}
	}
	return startedAt
}
