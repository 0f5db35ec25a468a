package endpoint

import (
	"slices"
	"time"

	"github.com/arbutuswinch/winch"
)

type fleetEngine struct {
	running, queue []*fleetRequest
	cached         []winch.PrefixHash // least recently used first
	cachedTokens   winch.Tokens
	// prompts is used instead of cached where f.sharesMemory is set.
	prompts []fleetPrompt
	// pace is how long the engine's work takes at present. usualPace is its mean, from which it differs more or less all the time.
	pace, usualPace winch.Pace
}

const (
	// fleetPaceTime is how long an engine keeps a pace.
	fleetPaceTime = 80 * time.Millisecond
	// fleetPaceSpread is the largest share by which a pace differs from the engine's usual one.
	fleetPaceSpread = 0.4
)

// unevenEngines gives the engines usual paces from 60 to 160 and lets each change
// its pace many times a second.
func (f *fleet) unevenEngines() {
	for i, id := range f.ids {
		f.engines[id].usualPace = winch.Pace(60 + 100*i*7/len(f.ids)%101)
	}
}

// changePace lets the engine change its pace.
func (f *fleet) changePace(e *fleetEngine) {
	switch {
	case e.usualPace == 0:
		e.pace = winch.UsualPace
	case e.pace == 0 || f.now.Sub(f.start)%fleetPaceTime == 0:
		e.pace = e.usualPace * winch.Pace(1+fleetPaceSpread*(2*f.paces.Float64()-1))
	}
}

// admit sends the request to the engine.
func (f *fleet) admit(q *fleetRequest, e *fleetEngine) {
	if len(e.queue) >= fleetQueue {
		f.count(q).rejected++
		f.finish(q, winch.OutcomeRejected)
		return
	}
	f.enqueue(e, q)
}

// step advances the engine.
func (f *fleet) step(e *fleetEngine) {
	live := func(q *fleetRequest) bool { return q.finished }
	e.running, e.queue = slices.DeleteFunc(e.running, live), slices.DeleteFunc(e.queue, live)
	for len(e.running) < f.slots && len(e.queue) > 0 && f.fits(e, e.queue[0]) {
		q := e.queue[0]
		e.queue = e.queue[1:]
		q.prefill = q.class.own
		if !f.use(e, q) {
			q.prefill += q.class.shared
		}
		q.prefill += winch.Tokens(q.made)
		e.running = append(e.running, q)
	}
	f.preempt(e, 0)
	for f.memory > 0 && len(e.queue) > 0 && len(e.running) > 0 && !f.fits(e, e.queue[0]) && f.leastUrgent(e).class.tier > e.queue[0].class.tier {
		urgent := e.queue[0]
		e.queue = e.queue[1:]
		f.preempt(e, urgent.class.own+urgent.class.shared)
		e.queue = slices.Insert(e.queue, 0, urgent)
	}
	f.changePace(e)
	step := winch.Tokens(fleetPrefill * float64(winch.UsualPace/e.pace))
	budget := step
	for _, q := range e.running {
		read := min(budget, q.prefill)
		q.prefill -= read
		budget -= read
	}
	idle := float64(budget) / float64(step)
	for _, q := range slices.Clone(e.running) {
		f.decode(q, (idle/fleetTokenSteps+(1-idle)/fleetBusyTokenSteps)*float64(winch.UsualPace/e.pace))
	}
}

// decode lets the engine make the given number of tokens of the request.
func (f *fleet) decode(q *fleetRequest, tokens float64) {
	if q.prefill > 0 || q.finished {
		return
	}
	if !q.started {
		q.started, q.late = true, f.now.Sub(q.sent) > q.class.target
		f.count(q).began++
		q.r.progress.first.Store(f.now.UnixNano())
		f.cores[q.host].readProgress(f.now, q.r)
		f.statePace(q)
		f.cores[q.host].fillByChoice(f.now)
		f.apply(q.host)
	}
	q.output -= tokens
	q.made += tokens
	if f.memory > 0 || f.events {
		q.r.progress.tokens.Store(int64(q.made / fleetEventTokens))
	}
	q.r.progress.last.Store(f.now.UnixNano())
	q.r.endpoint.lastHeard.Store(f.now.UnixNano())
	if q.output <= 0 {
		f.count(q).served++
		if !q.late {
			f.count(q).onTime++
		}
		f.finish(q, winch.OutcomeDone)
	}
}

// fleetEventTokens is the number of tokens of an event of a stream.
const fleetEventTokens = 5.5

// memoryUse returns the tokens of the engine's running requests.
func (e *fleetEngine) memoryUse() winch.Tokens {
	use := winch.Tokens(0)
	for _, q := range e.running {
		use += q.class.own + q.class.shared + winch.Tokens(q.made)
	}
	return use
}

// fits reports whether the engine has memory for the request's prompt.
func (f *fleet) fits(e *fleetEngine, q *fleetRequest) bool {
	return f.memory == 0 || e.memoryUse()+q.class.own+q.class.shared+winch.Tokens(q.made) <= f.memory
}

// leastUrgent returns the newest of the least urgent requests that run.
func (f *fleet) leastUrgent(e *fleetEngine) *fleetRequest {
	least := e.running[0]
	for _, q := range e.running {
		if q.class.tier >= least.class.tier {
			least = q
		}
	}
	return least
}

// preempt stops the newest of the least urgent requests while the engine's memory has no room for the tokens. They are prefilled
// again later.
func (f *fleet) preempt(e *fleetEngine, room winch.Tokens) {
	for f.memory > 0 && len(e.running) > 0 && e.memoryUse()+room > f.memory {
		victim := f.leastUrgent(e)
		e.running = slices.DeleteFunc(e.running, func(q *fleetRequest) bool { return q == victim })
		f.enqueue(e, victim)
		f.preempted++
	}
}

// enqueue puts the request into the engine's queue, behind those that are as urgent.
func (f *fleet) enqueue(e *fleetEngine, q *fleetRequest) {
	at := len(e.queue)
	for at > 0 && e.queue[at-1].class.tier > q.class.tier {
		at--
	}
	e.queue = slices.Insert(e.queue, at, q)
}

// statePace passes the pace that the engine states with the request's response, if the engines state any.
func (f *fleet) statePace(q *fleetRequest) {
	if f.statesPaces {
		id := q.r.endpoint.spec.ID
		f.cores[q.host].observeLoad(f.now, winch.LoadReport{Endpoint: id, AsOf: f.now, Pace: winch.PaceWord{Known: true, Pace: f.engines[id].pace}})
	}
}

// use reports whether the engine had the part of the prompt in its cache, and puts it there.
func (e *fleetEngine) use(part winch.PrefixHash, tokens winch.Tokens) bool {
	at := slices.Index(e.cached, part)
	if at >= 0 {
		e.cached = append(slices.Delete(e.cached, at, at+1), part)
		return true
	}
	e.cached = append(e.cached, part)
	e.cachedTokens += tokens
	for e.cachedTokens > fleetCache {
		e.cachedTokens -= tokens
		e.cached = e.cached[1:]
	}
	return false
}
