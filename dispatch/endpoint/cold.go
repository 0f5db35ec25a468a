package endpoint

import (
	"time"

	"github.com/arbutuswinch/winch"
	"github.com/arbutuswinch/winch/dispatch/ratelimit"
)

// An endpoint that has just started, or that turns cold later, sustains few requests (winch.ColdStart). Each host computes from the list of
// endpoints which of them are cold, and sends each no more than its part of the rate (ratelimit.Share). Once the endpoint is not cold any
// more, the rate rises step by step until the endpoint is warm and has no limit.

const (
	// coldClockTolerance is the largest difference between the clocks of hosts and endpoints.
	coldClockTolerance = 2 * time.Second
	// coldKnownAfter is the time within which this host knows that an endpoint has turned cold: entries are written every 1.2 s, read
	// every 0.6 s and relayed within 0.25 s.
	coldKnownAfter = 2500 * time.Millisecond
	// warmStep is the time after which the rate of an endpoint that is not cold any more rises by warmFactor, unless the endpoint is
	// strained or loaded. The responses to the requests of a step need time to arrive.
	warmStep   = 500 * time.Millisecond
	warmFactor = 1.5
	// warmSteps is the number of steps until the endpoint has no limit. The rate is then more than three times that of a cold one.
	warmSteps = 3
	// coldCost is the cost of a cold endpoint, in prompt tokens: about that of one prompt, so that the rate of cold endpoints is used
	// up before others have to queue.
	coldCost = 2_000
	// coldPenalty is the cost of a cold endpoint for policies that choose by the share of the slots in use, as such a share.
	coldPenalty = 0.1
)

// coldState is what a host knows of an endpoint that is cold or was.
type coldState struct {
	// stated and statedUntil are what the endpoint says in its entry.
	stated      bool
	statedUntil time.Time
	// listedAt is when this run of the endpoint was first listed, and inFirstList is set if that was in the first list of this host.
	listedAt    time.Time
	inFirstList bool
	// returnedAt is when the endpoint last came back into service.
	returnedAt time.Time
	// cold is set while the endpoint is cold, and warming from then until it has no limit. step counts the rises of the rate,
	// the last of which was at steppedAt. strained is set if a request at the endpoint has failed or was rejected since, and loaded if the
	// endpoint has more requests waiting than running, by its last report.
	cold, warming, strained, loaded bool
	step                            int
	steppedAt                       time.Time
	share                           ratelimit.Share
	// start is the configured cold start of the endpoint's models; its rate is zero if the endpoint is never cold.
	start  winch.ColdStart
	demand coldDemand
	// shared holds the inputs from which share was last set.
	shared sharedRate
}

type sharedRate struct {
	rate winch.RequestRate
	// version is that of the known hosts.
	version int
}

// list applies the entry of the endpoint in a list, which may be the first one of this host.
func (s *coldState) list(now time.Time, status winch.EndpointStatus, first bool) {
	if s.listedAt.IsZero() {
		s.listedAt, s.inFirstList = now, first
	}
	switch end := now.Add(s.start.Duration); {
	case status.ColdStated:
		s.stated, s.statedUntil = true, status.ColdUntil
	case s.stated && s.statedUntil.After(end):
		// The entry no longer states whether the endpoint is cold.
		s.statedUntil = end
	}
}

// returned records that the endpoint serves again. It may have turned cold in the meantime, so that it counts as cold until this host would
// know of that. An endpoint that serves when it is first listed has not come back.
func (s *coldState) returned(now time.Time) {
	if s.listedAt.Before(now) {
		s.returnedAt = now
	}
}

// until returns when the endpoint is not cold any more; zero if it is not cold. The endpoint's own statement counts. Without one, it is cold
// for start.Duration after it was first listed. An endpoint in the first list that had started longer ago is warm, so that a host that
// starts does not take all endpoints for cold.
func (s *coldState) until(startedAt time.Time, start winch.ColdStart) time.Time {
	switch {
	case s.stated:
		return s.statedUntil
	case s.inFirstList && !startedAt.IsZero() && s.listedAt.Sub(startedAt) > start.Duration+coldClockTolerance:
		return time.Time{}
	}
	return s.listedAt.Add(start.Duration)
}

// advance determines whether the endpoint is cold. It returns the rate of all hosts together, zero if there is no limit.
func (s *coldState) advance(now, startedAt time.Time, start winch.ColdStart) winch.RequestRate {
	cold := now.Before(s.until(startedAt, start)) || !s.returnedAt.IsZero() && now.Sub(s.returnedAt) < coldKnownAfter
	switch {
	case start.Rate <= 0:
		s.cold, s.warming = false, false
	case cold:
		s.cold, s.warming, s.step = true, false, 0
	case s.cold:
		s.cold, s.warming, s.strained, s.loaded, s.step, s.steppedAt = false, true, false, false, 0, now
	case s.warming && now.Sub(s.steppedAt) >= warmStep:
		s.rise(now)
	}
	if !s.limited() {
		return 0
	}
	rate := start.Rate
	for range s.step {
		rate *= warmFactor
	}
	return rate
}

// rise begins the next step. If the endpoint was strained in this one, the rate goes back to that of the cold endpoint; if it is
// loaded, the rate stays.
func (s *coldState) rise(now time.Time) {
	switch {
	case s.strained:
		s.step = 0
	case !s.loaded:
		s.step++
	}
	s.strained, s.steppedAt = false, now
	s.warming = s.step < warmSteps
	if !s.warming {
		s.step = 0
	}
}

// limited reports whether the endpoint is cold or was until recently.
func (s *coldState) limited() bool { return s.cold || s.warming }

// coldStartOf returns the cold start of the endpoint: the longest duration and the lowest rate that are configured for its models.
func (c *core) coldStartOf(e *endpoint) winch.ColdStart {
	worst := winch.ColdStart{}
	for _, model := range e.spec.Models {
		start := c.configuration.ColdStarts[model]
		if start.Rate <= 0 {
			continue
		}
		worst.Duration = max(worst.Duration, start.Duration)
		if worst.Rate == 0 || start.Rate < worst.Rate {
			worst.Rate = start.Rate
		}
	}
	return worst
}

// updateCold determines whether the endpoint is cold, and divides its rate among the hosts.
func (c *core) updateCold(now time.Time, e *endpoint) {
	s := &e.cold
	before := *s
	s.start = c.coldStartOf(e)
	rate := s.advance(now, e.startedAt, s.start)
	shared := sharedRate{rate: rate, version: c.knownHosts.sharingVersion(now)}
	if shared != s.shared {
		s.shared = shared
		s.share.Set(rate, e.spec.ID, c.self.ID, c.sharingHosts(now))
	}
	if before.cold != s.cold || before.warming != s.warming {
		c.coldChanged(now, e)
	}
}

// coldChanged emits an effect after a change between cold, warming and warm.
func (c *core) coldChanged(now time.Time, e *endpoint) {
	all, own := e.cold.share.Rate()
	changed := effect{kind: effectWarm, at: now, endpoint: e, rate: all, ownRate: own}
	switch {
	case e.cold.cold:
		changed.kind, changed.duration = effectCold, max(e.cold.until(e.startedAt, e.cold.start).Sub(now), 0)
	case e.cold.warming:
		changed.kind = effectWarming
		// The slots come back gradually as well.
		e.rampSince = now
	}
	c.emit(changed)
}

// slotsFor returns how many slots the endpoint has for the lane's requests: those of a cold one are limited to what its rate fills.
func (e *endpoint) slotsFor(l *lane) float64 {
	slots := float64(e.cap)
	if !e.cold.cold || l.holdTime.Value <= 0 {
		return slots
	}
	rate, _ := e.cold.share.Rate()
	return min(slots, float64(rate)*l.holdTime.Value)
}

// sharingHosts returns the hosts among which the rates of cold endpoints are divided.
func (c *core) sharingHosts(now time.Time) []winch.HostID {
	switch {
	case !c.knownHosts.settled(now):
		return nil
	case len(c.knownHosts.ids) > 0:
		return c.knownHosts.ids
	case len(c.hostIDs) > 0:
		return c.hostIDs
	}
	return []winch.HostID{c.self.ID}
}

// probeSpread returns how much longer than its back-off this host waits before it probes an endpoint that was unreachable. The endpoint
// may start again, and is cold before the list says so, so that the probes of all hosts together must stay within the rate of a cold
// endpoint.
func (c *core) probeSpread(e *endpoint) time.Duration {
	if e.cold.start.Rate <= 0 {
		return 0
	}
	hosts := c.knownHosts.ids
	if len(hosts) == 0 {
		hosts = c.hostIDs
	}
	return ratelimit.Turn(e.cold.start.Rate, e.spec.ID, c.self.ID, hosts)
}

// observeOutcome records whether the endpoint sustains the rate of its warm-up: it does not if a request fails or is rejected.
func (s *coldState) observeOutcome(outcome winch.Outcome) {
	switch outcome {
	case winch.OutcomeFailed, winch.OutcomeUnsent, winch.OutcomeRejected:
		s.strained = s.warming
	}
}

// observeLoad records whether the endpoint has more requests waiting than running. Its rate then does not rise.
func (s *coldState) observeLoad(report winch.LoadReport) {
	s.loaded = s.warming && report.Waiting > report.Running
}

// cost returns the additional cost of the endpoint for a policy whose cost of a cold endpoint is given.
func (s *coldState) cost(cold float64) float64 {
	switch {
	case s.cold:
		return cold
	case s.warming:
		return cold * float64(warmSteps-s.step) / (warmSteps + 1)
	}
	return 0
}
