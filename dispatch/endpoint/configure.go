package endpoint

import (
	"hash/fnv"
	"slices"
	"sort"
	"time"

	"github.com/arbutuswinch/winch"
	"github.com/arbutuswinch/winch/dispatch/concurrency"
	"github.com/arbutuswinch/winch/dispatch/retry"
)

// configure applies a new configuration and the list of endpoints ordered from the platform. Streams
// on removed endpoints are asked to move if another endpoint can resume them; other requests on them
// continue. Queued requests whose class was removed are refused.
func (c *core) configure(now time.Time, configuration *winch.Configuration, ordered []winch.EndpointStatus) {
	if c.started.IsZero() {
		c.started = now
	}
	if c.firstListAt.IsZero() && len(ordered) > 0 {
		c.firstListAt = now
	}
	c.configuration = configuration
	wanted := map[winch.EndpointID]winch.EndpointStatus{}
	for id, spec := range configuration.Endpoints {
		wanted[id] = winch.EndpointStatus{Endpoint: spec, State: winch.EndpointReady}
	}
	for _, status := range ordered {
		wanted[status.Endpoint.ID] = status
	}
	// Without a data centre of its own, or with a home, the host uses the endpoints of all data centres.
	for id, status := range wanted {
		if status.Endpoint.DataCentre == c.self.DataCentre || c.self.DataCentre == "" || c.home != "" {
			c.setEndpoint(now, id, status)
		}
	}
	for id, e := range c.endpoints {
		if _, found := wanted[id]; !found {
			c.removeEndpoint(now, e)
		}
	}
	c.sortedEndpoints = c.sortedEndpoints[:0]
	for _, e := range c.endpoints {
		c.sortedEndpoints = append(c.sortedEndpoints, e)
	}
	sort.Slice(c.sortedEndpoints, func(i, j int) bool { return c.sortedEndpoints[i].spec.ID < c.sortedEndpoints[j].spec.ID })
	for _, a := range c.accounts {
		a.weight = max(1, float64(configuration.Organisations[a.key.organisation].Weight))
	}
	c.setLanes(now)
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

// setLanes rebuilds the lanes, keeping the state of those that remain.
func (c *core) setLanes(now time.Time) {
	for _, l := range c.lanes {
		l.endpoints, l.evacuated = nil, nil
	}
	for _, e := range c.sortedEndpoints {
		e.lanes = e.lanes[:0]
		for _, model := range e.spec.Models {
			c.addLanes(e, group{model: model})
		}
		for _, route := range e.spec.Routes {
			c.addLanes(e, group{route: route})
		}
	}
	c.addRemoteLanes()
	c.sortedLanes = c.sortedLanes[:0]
	for key, l := range c.lanes {
		if _, found := c.configuration.Classes[key.class]; !found {
			c.closeLane(now, l)
			continue
		}
		c.sortedLanes = append(c.sortedLanes, l)
	}
	sort.Slice(c.sortedLanes, func(i, j int) bool { return laneLess(c.sortedLanes[i], c.sortedLanes[j]) })
	c.linkLanes()
}

func laneLess(a, b *lane) bool {
	if a.class.Tier != b.class.Tier {
		return a.class.Tier < b.class.Tier
	}
	if a.key.class != b.key.class {
		return a.key.class < b.key.class
	}
	return a.key.group.String() < b.key.group.String()
}

// addLanes adds the endpoint to the lanes of all classes that may use it for the model or route.
func (c *core) addLanes(e *endpoint, g group) {
	for id, class := range c.configuration.Classes {
		if len(e.spec.Classes) > 0 && !slices.Contains(e.spec.Classes, id) {
			continue
		}
		if l := c.lane(class, g); l != nil {
			l.add(e)
			e.lanes = append(e.lanes, l)
		}
	}
}

// lane returns the lane of the class for the model or route, creating it if needed, or nil if the class may not use that.
func (c *core) lane(class winch.Class, g group) *lane {
	if g.route != "" && c.configuration.Routes[g.route].Class != class.ID {
		return nil
	}
	if g.model != "" && len(class.Models) > 0 && !slices.Contains(class.Models, g.model) {
		return nil
	}
	key := laneKey{class: class.ID, group: g}
	l, found := c.lanes[key]
	if !found {
		l = &lane{key: key, byAccount: map[*account]*accountQueue{}, budget: c.budget(g), paceShift: 1, homeShares: [1 + alternates]float64{1}}
		c.lanes[key] = l
	}
	l.class = class
	return l
}

// addRemoteLanes adds lanes for models and routes that only other data centres serve.
func (c *core) addRemoteLanes() {
	for _, spec := range c.configuration.Endpoints {
		for id, class := range c.configuration.Classes {
			if len(spec.Classes) > 0 && !slices.Contains(spec.Classes, id) {
				continue
			}
			for _, model := range spec.Models {
				c.lane(class, group{model: model})
			}
			for _, route := range spec.Routes {
				c.lane(class, group{route: route})
			}
		}
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

// linkLanes finds the lanes that share endpoints, and selects each lane's endpoints for this host.
func (c *core) linkLanes() {
	for _, l := range c.sortedLanes {
		l.competitors = l.competitors[:0]
		l.highestTier, l.lowestTier = true, true
	}
	for _, e := range c.sortedEndpoints {
		sort.Slice(e.lanes, func(i, j int) bool { return laneLess(e.lanes[i], e.lanes[j]) })
		for _, l := range e.lanes {
			l.highestTier = l.highestTier && !e.lanes[0].higher(l)
			l.lowestTier = l.lowestTier && !l.higher(e.lanes[len(e.lanes)-1])
			for _, competitor := range e.lanes {
				if !slices.Contains(l.competitors, competitor) {
					l.competitors = append(l.competitors, competitor)
				}
			}
		}
	}
	for _, l := range c.sortedLanes {
		if len(l.competitors) == 0 {
			l.competitors = append(l.competitors, l)
		}
		sort.Slice(l.competitors, func(i, j int) bool { return laneLess(l.competitors[i], l.competitors[j]) })
		l.setMixedSoftware()
		l.setRing()
		l.setLatencySensitive()
		c.setSubset(l)
	}
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
