package endpoint

import (
	"time"

	"github.com/arbutuswinch/winch"
)

const (
	// maxRest bounds the time for which an endpoint that has turned a request away gets none, whatever it says.
	maxRest = 10 * time.Minute
	// restSpread is the largest share by which the retry time of a refused request is lengthened, so that callers do not all come back
	// at the moment at which the first endpoint takes requests again.
	restSpread = 0.25
)

// observeWord applies what an endpoint has said of itself in an answer. It is ignored if the endpoint has started again
// since: only the run that was listed when the request got its slot has said it.
func (c *core) observeWord(now, startedAt time.Time, word winch.EndpointWord) {
	e, found := c.endpoints[word.Endpoint]
	if !found || !e.startedAt.Equal(startedAt) {
		return
	}
	if word.Leaving && !e.saysLeaving {
		e.saysLeaving = true
		c.emit(effect{kind: effectSaysLeaving, at: now, endpoint: e, cause: string(word.Request)})
		c.setServing(now, e)
	}
	if until := now.Add(min(word.RestsFor, maxRest)); word.RestsFor > 0 && until.After(e.restsUntil) {
		e.restsUntil, e.resting = until, true
		// The requests of all hosts wait until then, so that they come back gradually.
		e.rampSince = until
		c.emit(effect{kind: effectRests, at: now, endpoint: e, cause: string(word.Request), duration: until.Sub(now)})
	}
	if e.named.Hear(now, word.SentAt, word.Rate) {
		c.rateChanged(now, e, string(word.Request))
	}
}

// checkRest emits an effect when the time of an endpoint that wanted no requests is over.
func (c *core) checkRest(now time.Time, e *endpoint) {
	if e.resting && !now.Before(e.restsUntil) {
		e.resting = false
		c.emit(effect{kind: effectRested, at: now, endpoint: e})
	}
}

// paused reports whether the endpoint's slots do not count: it was ejected, or has said that it wants no requests or few.
func (e *endpoint) paused(now time.Time) bool {
	return now.Before(e.health.ejectedUntil) || now.Before(e.restsUntil) || e.named.Limited()
}

// restWait returns the time until the first of the lane's endpoints takes requests again, if none that serves takes any now because of
// what it has said or because it is cold; else zero.
func (l *lane) restWait(now time.Time) time.Duration {
	wait := time.Duration(0)
	for _, e := range l.endpoints {
		if !e.serving {
			continue
		}
		left := max(e.restsUntil.Sub(now), e.named.Wait(now), e.cold.share.Wait(now))
		if left <= 0 {
			return 0
		}
		if wait == 0 || left < wait {
			wait = left
		}
	}
	return wait
}

// retryAfter returns when a caller should come back whose request is expected to wait that long.
func (c *core) retryAfter(now time.Time, l *lane, wait time.Duration) time.Duration {
	wait = min(max(wait, c.settings.RetryAfterMin), c.settings.RetryAfterMax)
	if l == nil {
		return wait
	}
	if rest := l.restWait(now); rest > 0 {
		wait = max(wait, rest+time.Duration(restSpread*c.random.Float64()*float64(rest)))
	}
	return wait
}
