package endpoint

import (
	"fmt"
	"math"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/arbutuswinch/winch"
)

// drawLayout draws a configuration with few classes, models and routes, and a list of endpoints.
func drawLayout(t *rapid.T) (*winch.Configuration, []winch.EndpointStatus) {
	models, routes := []winch.ModelID{"m0", "m1", "m2"}, []winch.RouteID{"r0", "r1"}
	configuration := &winch.Configuration{
		Classes: map[winch.ClassID]winch.Class{}, Routes: map[winch.RouteID]winch.Route{}, Endpoints: map[winch.EndpointID]winch.Endpoint{},
	}
	classes := []winch.ClassID{}
	for i := range rapid.IntRange(0, 6).Draw(t, "classes") {
		id := winch.ClassID(fmt.Sprint("c", i))
		classes = append(classes, id)
		configuration.Classes[id] = winch.Class{
			ID: id, Tier: winch.Tier(rapid.IntRange(1, 3).Draw(t, "tier")), Models: rapid.SliceOfDistinct(rapid.SampledFrom(models), rapid.ID).Draw(t, "models"),
			FirstTokenTarget: time.Duration(rapid.IntRange(0, 4).Draw(t, "first token")) * time.Second,
			InterTokenTarget: time.Duration(rapid.IntRange(0, 4).Draw(t, "inter token")) * time.Second,
		}
	}
	if len(classes) == 0 {
		return configuration, nil
	}
	for _, id := range routes {
		configuration.Routes[id] = winch.Route{ID: id, Class: rapid.SampledFrom(classes).Draw(t, "class")}
	}
	statuses := []winch.EndpointStatus{}
	for i := range rapid.IntRange(0, 6).Draw(t, "endpoints") {
		statuses = append(statuses, winch.EndpointStatus{
			State: winch.EndpointReady, Evacuated: rapid.IntRange(0, 3).Draw(t, "evacuated") == 0,
			Endpoint: winch.Endpoint{
				ID: winch.EndpointID(fmt.Sprint("e", i)), DataCentre: "a",
				Kind:    rapid.SampledFrom([]winch.EndpointKind{winch.EndpointEngine, winch.EndpointService}).Draw(t, "kind"),
				Models:  rapid.SliceOfDistinct(rapid.SampledFrom(models), rapid.ID).Draw(t, "models"),
				Routes:  rapid.SliceOfDistinct(rapid.SampledFrom(routes), rapid.ID).Draw(t, "routes"),
				Classes: rapid.SliceOfDistinct(rapid.SampledFrom(classes), rapid.ID).Draw(t, "classes"), SlotLimit: 4,
				Software: winch.SoftwareVersion(rapid.SampledFrom([]string{"", "v1", "v2"}).Draw(t, "software")),
			},
		})
	}
	return configuration, statuses
}

// serves reports whether requests of the class for the group may use the endpoint.
func serves(configuration *winch.Configuration, e *endpoint, key laneKey) bool {
	class := configuration.Classes[key.class]
	if len(e.spec.Classes) > 0 && !slices.Contains(e.spec.Classes, class.ID) {
		return false
	}
	if key.group.route != "" {
		return slices.Contains(e.spec.Routes, key.group.route) && configuration.Routes[key.group.route].Class == class.ID
	}
	return slices.Contains(e.spec.Models, key.group.model) && (len(class.Models) == 0 || slices.Contains(class.Models, key.group.model))
}

// TestLayoutOfLanes guards against lanes that have other endpoints or competitors than the configuration says, since lanes share lists.
func TestLayoutOfLanes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		configuration, statuses := drawLayout(t)
		now := time.Unix(1_000_000, 0)
		c := newCore(winch.Host{ID: "h0", DataCentre: "a"}, PolicyPrefill, Settings{}, 1)
		c.configure(now, configuration, statuses)
		assert.Equal(t, len(c.lanes), len(c.sortedLanes))
		lanes := 0
		for _, e := range c.sortedEndpoints {
			for _, l := range c.sortedLanes {
				assert.Equal(t, slices.Contains(e.lanes, l), serves(configuration, e, l.key))
			}
			lanes += len(e.lanes)
			assert.Assert(t, slices.IsSortedFunc(e.lanes, func(a, b *lane) int { return slices.Index(c.sortedLanes, a) - slices.Index(c.sortedLanes, b) }))
		}
		for _, l := range c.sortedLanes {
			lanes -= len(l.endpoints) + len(l.evacuated)
			assertLane(t, c, l)
		}
		assert.Equal(t, lanes, 0, "each lane of an endpoint has the endpoint")
	})
}

// assertLane compares the lists and flags of the lane with those that a search of all lanes and endpoints gives.
func assertLane(t *rapid.T, c *core, l *lane) {
	competitors, highest, lowest := []*lane{}, true, true
	firstToken, interToken, longest := time.Duration(math.MaxInt64), time.Duration(math.MaxInt64), time.Duration(0)
	for _, other := range c.sortedLanes {
		shared := other == l || slices.ContainsFunc(c.sortedEndpoints, func(e *endpoint) bool {
			return slices.Contains(e.lanes, l) && slices.Contains(e.lanes, other)
		})
		if !shared {
			continue
		}
		competitors = append(competitors, other)
		highest, lowest = highest && !other.higher(l), lowest && !l.higher(other)
		if target := other.class.FirstTokenTarget; target > 0 {
			firstToken, longest = min(firstToken, target), max(longest, target)
		}
		if target := other.class.InterTokenTarget; target > 0 {
			interToken = min(interToken, target)
		}
	}
	assert.Assert(t, slices.Equal(l.competitors, competitors))
	assert.Equal(t, l.highestTier, highest)
	assert.Equal(t, l.lowestTier, lowest)
	target := l.class.FirstTokenTarget
	assert.Equal(t, l.latencySensitive, l.servedByEngines() && target > 0 && target <= withinRatio(firstToken) && longest > withinRatio(firstToken) &&
		l.class.InterTokenTarget <= withinRatio(interToken))
	all := slices.Concat(l.endpoints, l.evacuated)
	assert.Equal(t, l.mixedSoftware, slices.ContainsFunc(all, func(e *endpoint) bool { return e.spec.Software != all[0].spec.Software }))
	assert.Assert(t, slices.IsSortedFunc(l.endpoints, func(a, b *endpoint) int {
		return slices.Index(c.sortedEndpoints, a) - slices.Index(c.sortedEndpoints, b)
	}))
	assert.Assert(t, slices.IsSortedFunc(l.ring, func(a, b *endpoint) int {
		if a.hash < b.hash {
			return -1
		}
		return 1
	}))
	assert.Equal(t, len(l.ring), len(l.endpoints))
}

// maxLibraryClasses is the largest number of classes that release notes can add up to.
const maxLibraryClasses = 2_000

// TestManyClassesShareTheirLists guards against memory and time that grow with the second or third power of the number of classes (review/6).
func TestManyClassesShareTheirLists(t *testing.T) {
	c := newCore(winch.Host{ID: "h0", DataCentre: "a"}, PolicyPrefill, Settings{}, 1)
	c.configure(time.Unix(1_000_000, 0), manyClasses(1, maxLibraryClasses), manyEndpoints(12))
	assert.Equal(t, len(c.sortedLanes), maxLibraryClasses)
	first := c.sortedLanes[0]
	for _, l := range c.sortedLanes {
		assert.Assert(t, &l.competitors[0] == &first.competitors[0] && &l.endpoints[0] == &first.endpoints[0])
	}
	for _, e := range c.sortedEndpoints {
		assert.Assert(t, &e.lanes[0] == &c.sortedEndpoints[0].lanes[0])
	}
}

// TestLayoutIsKept guards against lanes that are computed anew for a change that does not touch them.
func TestLayoutIsKept(t *testing.T) {
	statuses := manyEndpoints(3)
	before := newLayout("a", "", manyClasses(1, 20), statuses, nil)
	keeps := func(configuration *winch.Configuration, statuses []winch.EndpointStatus) bool {
		return newLayout("a", "", configuration, statuses, before).lanes == before.lanes
	}
	t.Run("by another version with the same classes", func(t *testing.T) {
		changed := manyClasses(2, 20)
		changed.Keys = map[winch.KeyID]winch.Key{"k": {ID: "k"}}
		assert.Assert(t, keeps(changed, statuses))
	})
	t.Run("by another state of an endpoint", func(t *testing.T) {
		leaving := slices.Clone(statuses)
		leaving[0].State = winch.EndpointLeaving
		assert.Assert(t, keeps(before.configuration, leaving))
	})
	t.Run("not by another class", func(t *testing.T) { assert.Assert(t, !keeps(manyClasses(2, 21), statuses)) })
	t.Run("not by another target", func(t *testing.T) {
		changed := manyClasses(2, 20)
		class := changed.Classes["class-0000"]
		class.FirstTokenTarget++
		changed.Classes[class.ID] = class
		assert.Assert(t, !keeps(changed, statuses))
	})
	t.Run("not by another endpoint", func(t *testing.T) { assert.Assert(t, !keeps(before.configuration, manyEndpoints(4))) })
	t.Run("not by another model of an endpoint", func(t *testing.T) {
		changed := slices.Clone(statuses)
		changed[0].Endpoint.Models = []winch.ModelID{"other"}
		assert.Assert(t, !keeps(before.configuration, changed))
	})
}

// TestLaneOutlivesItsEndpoints guards against requests that are refused because the list names no endpoint of their model for a moment.
func TestLaneOutlivesItsEndpoints(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	configuration := twoClasses(0, 0)
	statuses := manyEndpoints(1)
	queuedRequest := func() (*core, *request) {
		c := newCore(winch.Host{ID: "h0", DataCentre: "a"}, PolicyWinch, Settings{}, 1)
		c.configure(now, configuration, statuses)
		for range statuses[0].Endpoint.SlotLimit {
			c.arrive(now, benchWork(0), nil, nil)
		}
		r := c.arrive(now, benchWork(0), nil, nil)
		assert.Equal(t, r.state, requestQueued)
		return c, r
	}
	t.Run("its requests wait", func(t *testing.T) {
		c, r := queuedRequest()
		c.configure(now, configuration, nil)
		assert.Equal(t, r.state, requestQueued)
		c.configure(now, configuration, manyEndpoints(2))
		assert.Equal(t, r.state, requestRunning)
	})
	t.Run("without its class they are refused", func(t *testing.T) {
		c, r := queuedRequest()
		changed := twoClasses(0, 0)
		delete(changed.Classes, r.lane.key.class)
		c.configure(now, changed, nil)
		assert.Equal(t, r.state, requestInactive)
	})
	t.Run("nor if the class may not use the model any more", func(t *testing.T) {
		c, r := queuedRequest()
		changed := twoClasses(0, 0)
		class := changed.Classes[r.lane.key.class]
		class.Models = []winch.ModelID{"other"}
		changed.Classes[class.ID] = class
		c.configure(now, changed, statuses)
		assert.Equal(t, r.state, requestInactive)
	})
}
