package endpoint

import (
	"maps"
	"slices"
	"time"

	"github.com/arbutuswinch/winch"
)

// Endpoints of an evacuated data centre are in no lane's list of endpoints, so that neither choices nor the figures of capacity, shares
// and waits include them. What runs there goes on. Streams that other endpoints can resume are moved, a few at a time.

// evacuationMoveRate is how many streams a second all hosts together move to each endpoint that is left. A moved stream costs its new
// endpoint the prefill of the prompt and the output so far, while that endpoint also takes over the evacuated endpoints' new requests.
const evacuationMoveRate = 0.5

const (
	// longStop is the time without a tick after which the process counts as having been stopped for long. After shorter stops, an
	// evacuation still takes effect within the usual bound of five seconds.
	longStop = 2 * time.Second
	// listWait is how long requests wait for a new list after a long stop. A host that cannot read one then uses the last.
	listWait = 1500 * time.Millisecond
)

// evacuation describes an evacuated data centre.
type evacuation struct {
	centre winch.DataCentreID
	// endpoints is the number of its endpoints, and running the number of this host's requests there.
	endpoints, running int
}

// setEvacuated records whether the endpoint's data centre is evacuated. An endpoint that is back gets its load gradually, as a new one does.
func (c *core) setEvacuated(now time.Time, e *endpoint, evacuated bool) {
	if e.evacuated && !evacuated {
		e.rampSince = now
	}
	e.evacuated = evacuated
}

// evacuatedEverywhere reports whether the lane has endpoints, but only in evacuated data centres.
func (l *lane) evacuatedEverywhere() bool { return len(l.endpoints) == 0 && len(l.evacuated) > 0 }

// holding counts the running requests that hold slots of the lane's endpoints.
func (l *lane) holding() int { return max(0, l.running-l.evacuatedRunning) }

// countEvacuatedRunning counts the requests that run at evacuated endpoints.
func (c *core) countEvacuatedRunning() {
	for _, l := range c.sortedLanes {
		l.evacuatedRunning, l.evacuatedPrefill = 0, 0
	}
	if len(c.evacuations) == 0 {
		return
	}
	for _, e := range c.sortedEndpoints {
		if e.evacuated {
			e.eachRunning(func(r *request) {
				r.lane.evacuatedRunning++
				r.lane.evacuatedPrefill += r.pendingPrefill
			})
		}
	}
}

func (e *endpoint) eachRunning(visit func(*request)) {
	for i := range e.tiers {
		for r := e.tiers[i].newest; r != nil; r = r.runNext {
			visit(r)
		}
	}
}

// noteEvacuations emits an effect for each data centre whose evacuation has begun or ended, updates the figures, and refuses the queued requests that only
// evacuated endpoints could serve. It is called after each change of the list.
func (c *core) noteEvacuations(now time.Time) {
	before := c.evacuations
	c.evacuations = c.currentEvacuations()
	for _, centre := range slices.Sorted(maps.Keys(c.evacuations)) {
		if _, found := before[centre]; !found {
			// A random start spreads the moves of hosts that learn of the evacuation at the same time.
			c.moveAllowance = c.random.Float64()
			c.emit(effect{kind: effectEvacuated, at: now, evacuation: c.evacuations[centre]})
		}
	}
	for _, centre := range slices.Sorted(maps.Keys(before)) {
		if _, found := c.evacuations[centre]; !found {
			c.emit(effect{kind: effectEvacuationEnded, at: now, evacuation: evacuation{centre: centre}})
		}
	}
	c.countEvacuatedRunning()
	for _, l := range c.sortedLanes {
		if l.evacuatedEverywhere() {
			c.refuseAllWithoutEndpoint(now, l)
		}
	}
}

func (c *core) currentEvacuations() map[winch.DataCentreID]evacuation {
	var found map[winch.DataCentreID]evacuation
	for _, e := range c.sortedEndpoints {
		if !e.evacuated {
			continue
		}
		if found == nil {
			found = map[winch.DataCentreID]evacuation{}
		}
		sum := found[e.spec.DataCentre]
		sum.centre, sum.endpoints, sum.running = e.spec.DataCentre, sum.endpoints+1, sum.running+e.running
		found[e.spec.DataCentre] = sum
	}
	return found
}

// refuseAllWithoutEndpoint refuses the lane's queued requests, unless another data centre takes them.
func (c *core) refuseAllWithoutEndpoint(now time.Time, l *lane) {
	for l.queued > 0 && c.handOver(now, l.oldest) {
		continue
	}
	for l.oldest != nil {
		c.refuseWithoutEndpoint(now, l.oldest, l)
	}
	for len(l.bound) > 0 {
		c.refuseWithoutEndpoint(now, l.bound[0], l)
	}
}

// refuseWithoutEndpoint refuses a request for which there is no endpoint. Since an evacuation lasts, its callers are told to wait for
// RetryAfterMax.
func (c *core) refuseWithoutEndpoint(now time.Time, r *request, l *lane) {
	if l != nil && l.evacuatedEverywhere() {
		c.refuse(now, r, l, winch.RefusedEvacuated, c.settings.RetryAfterMax)
		return
	}
	c.refuse(now, r, l, winch.RefusedNoEndpoint, 0)
}

// lastTick returns when the process was last known to run: at the last tick, or at the first configuration if there was no tick since.
func (c *core) lastTick() time.Time {
	if c.tickedAt.IsZero() {
		return c.started
	}
	return c.tickedAt
}

// noteStop records that the process was stopped for long, if there was no tick for that time.
func (c *core) noteStop(now time.Time) {
	if last := c.lastTick(); !last.IsZero() && now.Sub(last) > longStop {
		c.stoppedUntil = now
	}
}

// awaitsList reports whether requests have to wait for a new list of endpoints, because the process was stopped for long.
func (c *core) awaitsList(now time.Time) bool {
	last := c.lastTick()
	if !c.settings.AwaitList || last.IsZero() {
		return false
	}
	until := c.stoppedUntil
	if now.Sub(last) > longStop {
		// No tick has run since the process was resumed, so that stoppedUntil is not set yet.
		until = now
	}
	// A list that was read shortly before the first tick was read after the stop, which was longer.
	return !until.IsZero() && now.Sub(until) < listWait && c.listReadAt.Before(until.Add(-longStop/2))
}

// holdBack reports whether the request, which has a slot, must not be sent because its endpoint has been evacuated since, or may have been.
func (c *core) holdBack(now time.Time, r *request) bool {
	if r == nil || r.endpoint == nil {
		return false
	}
	// The endpoint may have started again since, and be another one.
	e, found := c.endpoints[r.endpoint.spec.ID]
	if evacuated := found && e.evacuated; !evacuated && !c.awaitsList(now) {
		return false
	}
	c.emit(effect{kind: effectHeldBack, at: now, request: r, lane: r.lane, endpoint: r.endpoint})
	return true
}

// moveEvacuated asks streams to leave evacuated endpoints, at this host's share of evacuationMoveRate.
func (c *core) moveEvacuated(now time.Time) {
	if len(c.evacuations) == 0 || c.settings.KeepEvacuatedStreams {
		return
	}
	left := 0
	for _, e := range c.sortedEndpoints {
		if e.usable(now) {
			left++
		}
	}
	perTick := evacuationMoveRate * float64(left) / float64(max(1, c.maxHostsSeen)) * c.settings.Tick.Seconds()
	// Unused allowance does not accumulate beyond one stream.
	for c.moveAllowance = min(c.moveAllowance+perTick, 1+perTick); c.moveAllowance >= 1; c.moveAllowance-- {
		r := c.nextToMove(now)
		if r == nil {
			return
		}
		r.endpoint.markMoving(r)
		c.emit(effect{kind: effectMoved, request: r, endpoint: r.endpoint, at: now})
	}
}

// nextToMove returns the stream at an evacuated endpoint that is the cheapest to go on elsewhere, or nil.
func (c *core) nextToMove(now time.Time) *request {
	var best *request
	for _, e := range c.sortedEndpoints {
		if !e.evacuated {
			continue
		}
		e.eachRunning(func(r *request) {
			if !r.preempted && r.resumable() && (best == nil || r.restartCost() < best.restartCost()) && c.mayGoOnElsewhere(now, r) {
				best = r
			}
		})
	}
	return best
}

// mayGoOnElsewhere reports whether another endpoint has room for the stream now. One that has begun needs its software version.
func (c *core) mayGoOnElsewhere(now time.Time, r *request) bool {
	l := r.lane
	if l.queued > 0 || len(l.bound) > 0 {
		return false
	}
	software := c.knownSoftware(now, r.endpoint)
	if r.begun() && l.mixedSoftware && software == "" {
		return false
	}
	for _, e := range l.endpoints {
		if r.begun() && l.mixedSoftware && c.knownSoftware(now, e) != software {
			continue
		}
		if !r.excludes(e.spec.ID) && c.hasRoomFor(now, l, r, e) && c.hasSlot(now, l, e) {
			return true
		}
	}
	return false
}

// evacuations returns the evacuated data centres with their present figures.
func (d *Dispatcher) evacuations() map[winch.DataCentreID]evacuation {
	d.lock.Lock()
	defer d.lock.Unlock()
	return maps.Clone(d.core.currentEvacuations())
}
