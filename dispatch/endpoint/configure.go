package endpoint

import (
	"hash/fnv"
	"slices"
	"time"

	"github.com/arbutuswinch/winch"
	"github.com/arbutuswinch/winch/dispatch/concurrency"
	"github.com/arbutuswinch/winch/dispatch/retry"
)

// configure applies a new configuration and the list of endpoints ordered from the platform; see apply.
func (c *core) configure(now time.Time, configuration *winch.Configuration, ordered []winch.EndpointStatus) {
	c.apply(now, newLayout(c.self.DataCentre, c.home, configuration, ordered, nil))
}

// apply applies the layout of a new configuration or list of endpoints. Streams on removed endpoints are asked to move if another
// endpoint can resume them; other requests on them continue. Queued requests whose class was removed are refused.
func (c *core) apply(now time.Time, next *layout) {
	if c.started.IsZero() {
		c.started = now
	}
	if c.firstListAt.IsZero() && next.listed {
		c.firstListAt = now
	}
	c.configuration = next.configuration
	wanted := make(map[winch.EndpointID]bool, len(next.statuses))
	c.sortedEndpoints = c.sortedEndpoints[:0]
	for _, status := range next.statuses {
		id := status.Endpoint.ID
		c.setEndpoint(now, id, status)
		wanted[id] = true
		c.sortedEndpoints = append(c.sortedEndpoints, c.endpoints[id])
	}
	for id, e := range c.endpoints {
		if !wanted[id] {
			c.removeEndpoint(now, e)
		}
	}
	for _, a := range c.accounts {
		a.weight = max(1, float64(next.configuration.Organisations[a.key.organisation].Weight))
	}
	c.setLanes(now, next.lanes)
	c.refresh(now)
	c.fillAll(now)
	c.noteEvacuations(now)
}

func (c *core) setEndpoint(now time.Time, id winch.EndpointID, status winch.EndpointStatus) {
	e, found := c.endpoints[id]
	if found && !e.startedAt.Equal(status.StartedAt) {
		// The endpoint was restarted, so its requests and cache are gone.
		c.removeEndpoint(now, e)
		found = false
	}
	if !found {
		e = &endpoint{hash: hashOf(string(id)), limit: concurrency.New(status.Endpoint.SlotLimit), slowdown: 1, streamsMayMove: true}
		c.endpoints[id] = e
	}
	// An endpoint that starts gets its load gradually. During this host's first RampTime, all endpoints
	// are new to it, so none is ramped up.
	if now.Sub(c.started) > c.settings.RampTime && (!found || e.state == winch.EndpointStarting && status.State == winch.EndpointReady) {
		e.rampSince = now
	}
	e.startedAt = status.StartedAt
	e.spec, e.cheap = status.Endpoint, status.Endpoint.Supply == winch.SupplyCheap
	if ceiling := concurrency.New(e.spec.SlotLimit).Ceiling; ceiling != e.limit.Ceiling {
		e.limit.Ceiling = ceiling
		e.limit.Value = min(e.limit.Value, float64(ceiling))
	}
	e.tokens.Capacity = c.cacheCapacity(e.spec)
	e.state, e.leavesAt = status.State, status.LeavesAt
	_, evacuated := c.configuration.Evacuations[status.Endpoint.DataCentre]
	c.setEvacuated(now, e, evacuated || status.Evacuated)
	e.cold.list(now, status, c.firstListAt.Equal(now))
	c.setServing(now, e)
}

// removeEndpoint removes an endpoint. Streams that can be resumed elsewhere are asked to move; other requests continue.
func (c *core) removeEndpoint(now time.Time, e *endpoint) {
	e.state, e.leavesAt = winch.EndpointLeaving, now
	c.setServing(now, e)
	delete(c.endpoints, e.spec.ID)
}

func hashOf(text string) uint64 {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(text))
	return mix(hash.Sum64())
}

// setLanes sets the lanes and their endpoints, keeping the state of those that remain.
func (c *core) setLanes(now time.Time, next *laneLayout) {
	placed := make([]*lane, len(next.lanes))
	for i := range next.lanes {
		placed[i] = c.laneFor(&next.lanes[i])
	}
	c.endpointSets = make([]*endpointSet, len(next.endpointSets))
	for i := range next.endpointSets {
		c.endpointSets[i] = c.newEndpointSet(&next.endpointSets[i], placed)
	}
	for i, l := range placed {
		c.linkLane(l, c.endpointSets[next.lanes[i].endpointSet])
	}
	c.sortedLanes = c.addUnplaced(now, placed)
	c.linkEndpoints(next, placed)
}

// addUnplaced returns the placed lanes with those that have no place in the layout any more, since no endpoint is listed for them, but whose
// class may still be used: their requests wait for endpoints. It closes the others.
func (c *core) addUnplaced(now time.Time, placed []*lane) []*lane {
	if len(c.lanes) == len(placed) {
		return placed
	}
	known := make(map[*lane]bool, len(placed))
	for _, l := range placed {
		known[l] = true
	}
	all := slices.Clone(placed)
	for key, l := range c.lanes {
		if known[l] {
			continue
		}
		if class, found := c.configuration.Classes[key.class]; found && c.mayUse(&class, key.group) {
			l.class = class
			c.linkLane(l, &endpointSet{})
			all = append(all, l)
		} else {
			c.closeLane(now, l)
		}
	}
	slices.SortFunc(all, func(a, b *lane) int { return compareLanes(&a.class, a.key.group, &b.class, b.key.group) })
	return all
}

// mayUse reports whether requests of the class may use the model or route.
func (c *core) mayUse(class *winch.Class, g group) bool {
	if g.route != "" {
		return c.configuration.Routes[g.route].Class == class.ID
	}
	return len(class.Models) == 0 || slices.Contains(class.Models, g.model)
}

// laneFor returns the lane that the layout describes, creating it if needed.
func (c *core) laneFor(spec *laneSpec) *lane {
	l, found := c.lanes[spec.key]
	if !found {
		l = &lane{key: spec.key, byAccount: map[*account]*accountQueue{}, budget: c.budget(spec.key.group), paceShift: 1, homeShares: [1 + alternates]float64{1}}
		c.lanes[spec.key] = l
	}
	l.class = spec.class
	return l
}

func (c *core) newEndpointSet(spec *endpointSetSpec, placed []*lane) *endpointSet {
	s := &endpointSet{targets: spec.targets, mixedSoftware: c.mixedSoftware(spec.endpoints)}
	for _, i := range spec.endpoints {
		if e := c.sortedEndpoints[i]; e.evacuated {
			s.evacuated = append(s.evacuated, e)
		} else {
			s.endpoints = append(s.endpoints, e)
		}
	}
	for _, i := range spec.ring {
		if e := c.sortedEndpoints[i]; !e.evacuated {
			s.ring = append(s.ring, e)
		}
	}
	for _, i := range spec.competitors {
		s.competitors = append(s.competitors, placed[i])
	}
	// An append to the list of one lane must not reach those of the others.
	s.endpoints, s.evacuated, s.competitors = slices.Clip(s.endpoints), slices.Clip(s.evacuated), slices.Clip(s.competitors)
	return s
}

// linkLane sets the lane's endpoints, competitors and what follows from them, and selects its endpoints for this host.
func (c *core) linkLane(l *lane, set *endpointSet) {
	if len(set.competitors) == 0 {
		// A lane without endpoints competes with no other lane and gets a set of its own.
		set = &endpointSet{competitors: []*lane{l}}
		c.endpointSets = append(c.endpointSets, set)
	}
	if set.first == nil {
		set.first = l
	}
	l.set = set
	l.endpoints, l.evacuated, l.ring, l.competitors, l.mixedSoftware = set.endpoints, set.evacuated, set.ring, set.competitors, set.mixedSoftware
	l.highestTier, l.lowestTier = !l.competitors[0].higher(l), !l.higher(l.competitors[len(l.competitors)-1])
	l.setLatencySensitive(&set.targets)
	c.setSubset(l)
}

// linkEndpoints sets the lanes of the endpoints. Endpoints with the same lanes share the list.
func (c *core) linkEndpoints(next *laneLayout, placed []*lane) {
	c.laneSets = make([]*laneSet, len(next.laneSets))
	for i, lanes := range next.laneSets {
		set := &laneSet{}
		for _, lane := range lanes {
			set.lanes = append(set.lanes, placed[lane])
		}
		if mixed := slices.IndexFunc(set.lanes, func(l *lane) bool { return l.mixedSoftware }); mixed >= 0 {
			set.mixedSoftware = set.lanes[mixed]
		}
		c.laneSets[i] = set
	}
	for i, e := range c.sortedEndpoints {
		e.set = c.laneSets[next.laneSetOf[i]]
		e.lanes = e.set.lanes
	}
}

func (c *core) budget(g group) *retry.Budget {
	if budget, found := c.budgets[g]; found {
		return budget
	}
	budget := &retry.Budget{Window: c.settings.RetryWindow}
	if c.settings.RetryFloorTotal > 0 {
		// The burst is set once, whereas retryFloor follows the number of hosts seen.
		budget.Burst = max(1, c.settings.RetryFloorTotal/float64(max(c.settings.RetryMinHosts, 1))*retryBurstTime.Seconds())
	}
	c.budgets[g] = budget
	return budget
}

func (c *core) closeLane(now time.Time, l *lane) {
	for l.oldest != nil {
		c.refuse(now, l.oldest, l, winch.RefusedNoEndpoint, 0)
	}
	for len(l.bound) > 0 {
		c.refuse(now, l.bound[0], l, winch.RefusedNoEndpoint, 0)
	}
	delete(c.lanes, l.key)
}

// fillAll assigns the free slots of all endpoints to queued requests.
func (c *core) fillAll(now time.Time) {
	c.fillBound(now)
	if c.features.prefillAware {
		c.fillByChoice(now)
		return
	}
	for _, l := range c.sortedLanes {
		if l.queued == 0 {
			continue
		}
		for _, e := range l.subset {
			if l.queued == 0 {
				break
			}
			c.fill(now, e)
		}
	}
}
