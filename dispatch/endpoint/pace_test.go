package endpoint

import (
	"fmt"
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/arbutuswinch/winch"
)

func (c *core) state(now time.Time, id winch.EndpointID, pace winch.Pace) {
	c.observeLoad(now, winch.LoadReport{Endpoint: id, AsOf: now, Pace: winch.PaceWord{Known: true, Pace: pace}})
}

// stateAll lets each endpoint state its pace every tenth of a second, and returns the time after that.
func (c *core) stateAll(now time.Time, length time.Duration, pace func(id winch.EndpointID) winch.Pace) time.Time {
	for end := now.Add(length); now.Before(end); now = now.Add(100 * time.Millisecond) {
		for _, e := range c.sortedEndpoints {
			c.state(now, e.spec.ID, pace(e.spec.ID))
		}
		c.tick(now)
	}
	return now
}

func oneSlow(slow winch.EndpointID, pace winch.Pace) func(winch.EndpointID) winch.Pace {
	return func(id winch.EndpointID) winch.Pace {
		if id == slow {
			return pace
		}
		return winch.UsualPace
	}
}

func TestLoadWithoutPaceDecidesAsBefore(t *testing.T) {
	told, silent := newSamePrefillCores()
	now := time.Unix(1000, 0)
	for i := range 200 {
		now = now.Add(20 * time.Millisecond)
		a, b := told.submit(now, i, "plan", 3000), silent.submit(now, i, "plan", 3000)
		assert.Equal(t, a.state, b.state)
		if a.state == requestRunning {
			assert.Equal(t, a.endpoint.spec.ID, b.endpoint.spec.ID)
			told.observeLoad(now, winch.LoadReport{Endpoint: a.endpoint.spec.ID, AsOf: now, Running: 3})
		}
		assert.Equal(t, told.predictedWait(now, told.sortedLanes[1], nil), silent.predictedWait(now, silent.sortedLanes[1], nil))
		told.tick(now)
		silent.tick(now)
	}
}

func newSamePrefillCores() (*core, *core) {
	one, _ := newPrefillCore(6, PolicyPrefill)
	two, _ := newPrefillCore(6, PolicyPrefill)
	return one, two
}

func TestSlowEndpoint(t *testing.T) {
	const slow winch.EndpointID = "e03"
	c, now := newPrefillCore(6, PolicyPrefill)
	now = c.stateAll(now, 10*time.Second, oneSlow(slow, 200))
	e := c.endpoints[slow]
	assert.Assert(t, e.slowdown > 1.4, "%.2f", e.slowdown)
	t.Run("shows in the metrics", func(t *testing.T) {
		paces := c.paces()
		assert.Equal(t, len(paces), 1)
		assert.Assert(t, paces[0].slowest > 150 && paces[0].usual > 100 && paces[0].usual < paces[0].slowest && paces[0].present > 100, "%+v", paces[0])
	})
	t.Run("gets less", func(t *testing.T) {
		count := map[winch.EndpointID]int{}
		for i := range 120 {
			if r := c.submit(now, i, "plan", 200); r.state == requestRunning {
				count[r.endpoint.spec.ID]++
			}
		}
		assert.Assert(t, 4*count[slow] < 3*count["e00"] && 4*count[slow] < 3*count["e04"], "%v", count)
	})
	t.Run("keeps its slots, to which its limit was adapted", func(t *testing.T) {
		assert.Assert(t, e.cap >= e.limit.Ceiling*9/10, "%d of %d", e.cap, e.limit.Ceiling)
	})
	t.Run("counts once: not by its latency as well", func(t *testing.T) {
		before := e.slowdown
		for range 50 {
			e.limit.SampleInterToken(1)
			c.endpoints["e04"].limit.SampleInterToken(0.1)
		}
		c.refresh(now)
		assert.Assert(t, math.Abs(e.slowdown-before) < 0.01, "%.2f after %.2f", e.slowdown, before)
	})
	t.Run("is as others tell again soon after it was last heard", func(t *testing.T) {
		c.state(now, "e04", 1000)
		assert.Assert(t, c.endpoints["e04"].slowdown > 1.1)
		later := now.Add(5 * time.Second)
		c.tick(later)
		assert.Assert(t, c.endpoints["e04"].slowdown < 1.3, "%.2f", c.endpoints["e04"].slowdown)
	})
}

// TestAllEndpointsSlowDown guards against predicted waits and limits that stay those of a faster time.
func TestAllEndpointsSlowDown(t *testing.T) {
	c, now := newPrefillCore(2, PolicyPrefill)
	now = c.stateAll(now, 30*time.Second, oneSlow("", 0))
	l := c.sortedLanes[1]
	l.holdTime.Add(1, 1)
	for i := range 200 {
		c.submit(now, i, "chat", 1)
	}
	slots, wait, limit := c.sortedEndpoints[0].cap, c.predictedWait(now, l, nil), l.prefillBudget.limit
	now = c.stateAll(now, 2*time.Second, func(winch.EndpointID) winch.Pace { return 180 })
	assert.Assert(t, c.sortedEndpoints[0].cap < slots, "%d of %d slots", c.sortedEndpoints[0].cap, slots)
	assert.Assert(t, c.predictedWait(now, l, nil) > wait*5/4, "%s after %s", c.predictedWait(now, l, nil), wait)
	assert.Assert(t, l.prefillBudget.limit < limit*4/5, "%.0f after %.0f", l.prefillBudget.limit, limit)
}

// TestHostsThatSeeOneFastEndpoint guards against all hosts choosing the endpoint that was fast a moment ago.
func TestHostsThatSeeOneFastEndpoint(t *testing.T) {
	const hosts, engines, fast = 91, 60, winch.EndpointID("e40")
	members := []winch.Host{}
	for i := range hosts {
		members = append(members, winch.Host{ID: winch.HostID(fmt.Sprintf("h%02d", i)), DataCentre: "all"})
	}
	for _, seen := range []struct {
		name   string
		length time.Duration
	}{{"once", 100 * time.Millisecond}, {"all the time", 10 * time.Second}} {
		t.Run(seen.name, func(t *testing.T) {
			count := map[winch.EndpointID]int{}
			for i := range hosts {
				c, now := newPrefillCore(engines, PolicyPrefill)
				c.random.Uint64()
				c.self, c.random = members[i], newCore(members[i], PolicyPrefill, Settings{}, uint64(i)).random
				c.setHosts(members, nil)
				now = c.stateAll(now, seen.length, oneSlow(fast, 60))
				count[c.submit(now, i, "plan", 3000).endpoint.spec.ID]++
			}
			// Each host may choose it with the chance of the better of two of its 40 endpoints, which is one in 20.
			assert.Assert(t, count[fast] <= 14, "%d of %d hosts", count[fast], hosts)
		})
	}
}

func TestPacesAreTold(t *testing.T) {
	one, now := newPrefillCore(3, PolicyPrefill)
	r := one.submit(now, 1, "chat", 100)
	id := r.endpoint.spec.ID
	assert.Assert(t, !containsPaces(t, one, now), "hosts whose endpoints state none exchange none")
	now = one.stateAll(now, 10*time.Second, oneSlow(id, 160))
	assert.Assert(t, containsPaces(t, one, now))
	stats, err := decodeStats(encodeStats(one.ownStats(now, false)))
	assert.NilError(t, err)
	assert.Equal(t, stats.endpoints[id].Pace, winch.Pace(160))
	t.Run("as a mean over the hosts that know one", func(t *testing.T) {
		sum := newStats()
		sum.add(stats)
		sum.add(sharedStats{endpoints: map[winch.EndpointID]endpointStats{id: {Running: 9}}})
		assert.Equal(t, sum.endpoints[id].Pace, winch.Pace(160))
		sum.add(sharedStats{endpoints: map[winch.EndpointID]endpointStats{id: {Running: 10, Pace: 100}}})
		assert.Equal(t, sum.endpoints[id].Pace, winch.Pace(130))
	})
	t.Run("also by hosts that run nothing there", func(t *testing.T) {
		sum := newStats()
		for range 2 {
			sum.add(sharedStats{endpoints: map[winch.EndpointID]endpointStats{id: {Pace: 120}}})
		}
		assert.Equal(t, sum.endpoints[id].Pace, winch.Pace(120))
	})
	t.Run("and show which endpoint is slow for good", func(t *testing.T) {
		two, _ := newPrefillCore(3, PolicyPrefill)
		for i := range 40 {
			at := now.Add(time.Duration(i) * 500 * time.Millisecond)
			two.applySummary(at, at, "h", stats)
		}
		assert.Assert(t, two.endpoints[id].usualPace > 145, "%.0f", float64(two.endpoints[id].usualPace))
	})
	t.Run("columns of another length are no fault", func(t *testing.T) {
		for _, paces := range []string{"", `,"Paces":[]`, `,"Paces":[-5]`, `,"Paces":[120,9999999,7]`} {
			decoded, err := decodeStats([]byte(`{"Endpoints":["a","b"],"Running":[1,1],"Limits":[10,10]` + paces + `}`))
			assert.NilError(t, err)
			assert.Assert(t, decoded.endpoints["a"].Pace >= 0 && decoded.endpoints["b"].Pace <= maxWirePace)
		}
	})
}

func containsPaces(t *testing.T, c *core, now time.Time) bool {
	t.Helper()
	for _, e := range c.ownStats(now, false).endpoints {
		if e.Pace > 0 {
			return true
		}
	}
	return false
}

// TestUnevenEngines guards against endpoint selection that is worse off with stated paces than without. The engines' usual paces
// are 60 to 160, and each changes its pace twelve times a second.
func TestUnevenEngines(t *testing.T) {
	served := map[bool]float64{}
	for _, states := range []bool{false, true} {
		f := newFleet(60, 64)
		f.statesPaces = states
		f.unevenEngines()
		f.run(20 * time.Second)
		sent := 0
		for _, class := range fleetClasses {
			counts := f.total(class.id, 2, 14)
			t.Logf("paces stated: %t, %s: %+v, %.3f served", states, class.id, counts, counts.share())
			served[states] += float64(counts.served)
			sent += counts.sent
		}
		served[states] /= float64(sent)
	}
	assert.Assert(t, served[true] >= served[false], "%.3f served with stated paces, %.3f without", served[true], served[false])
}
