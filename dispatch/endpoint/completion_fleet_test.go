package endpoint

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/arbutuswinch/winch"
)

// overloadClasses is a load of long prompts that takes more than twice what 40 engines can prefill.
var overloadClasses = []fleetClass{
	{id: "bulletin", tier: 1, target: 600 * time.Millisecond, deadline: 15 * time.Second, perHost: 1.08, own: 543, shared: 172, subjects: 300, output: 280},
	{id: "summary", tier: 2, target: 800 * time.Millisecond, deadline: 3 * time.Second, perHost: 3.5, own: 1800, shared: 568, subjects: 500, output: 25},
	{id: "brief", tier: 3, target: 2500 * time.Millisecond, deadline: 5 * time.Second, perHost: 14, own: 2890, shared: 6300, subjects: 350, output: 50},
}

// runOverload plays the overload with engines of different paces, which nobody states. It sums the counts of several loads.
func runOverload(completion bool) map[winch.ClassID]fleetCounts {
	sums := map[winch.ClassID]fleetCounts{}
	for seed := range uint64(3) {
		f := newFleetWithSlots(overloadClasses, 60, 40, 64)
		f.random, f.events = rand.New(rand.NewPCG(seed, 7)), true
		f.unevenEngines()
		f.each(func(c *core) { c.features.completion = completion })
		f.run(26 * time.Second)
		for _, class := range overloadClasses {
			sum, counts := sums[class.id], f.total(class.id, 2, 20)
			sum.sent += counts.sent
			sum.began += counts.began
			sum.served += counts.served
			sum.expired += counts.expired
			sum.onTime += counts.onTime
			sums[class.id] = sum
		}
	}
	return sums
}

// TestOverloadOfLongPrompts guards against prompts that engines begin and then lose at their deadline, as each token takes them long beside
// the prefill of further prompts. The 2 % by which fewer may be served is the spread between loads.
func TestOverloadOfLongPrompts(t *testing.T) {
	if testing.Short() {
		t.Skip("a simulation in one goroutine, too slow with the race detector; make test plays it")
	}
	before, after := runOverload(false), runOverload(true)
	t.Logf("before: %+v, after: %+v", before, after)
	assert.Assert(t, 5*after["brief"].expired <= 4*before["brief"].expired, "lost: %d, before %d", after["brief"].expired, before["brief"].expired)
	assert.Assert(t, 100*after["brief"].served >= 98*before["brief"].served, "served: %d, before %d", after["brief"].served, before["brief"].served)
	for _, class := range []winch.ClassID{"bulletin", "summary"} {
		assert.Assert(t, 100*after[class].onTime >= 98*before[class].onTime, "%s on time: %d, before %d", class, after[class].onTime, before[class].onTime)
		assert.Equal(t, after[class].began, before[class].began, "%s", class)
	}
}

// TestCalmFleetDecidesAsWithoutEstimates guards against an effect of the estimates where all requests end long before their deadlines.
func TestCalmFleetDecidesAsWithoutEstimates(t *testing.T) {
	decisions := map[bool]uint64{}
	for _, completion := range []bool{false, true} {
		f := newFleet(60, 140)
		f.events = true
		f.each(func(c *core) { c.features.completion = completion })
		f.run(12 * time.Second)
		decisions[completion] = f.decisions
		assert.Assert(t, f.total("plan", 0, 6).share() > 0.99)
		if _, known := f.cores[0].intervalsOf(f.cores[0].sortedLanes[2]).Interval(f.now, 1); completion {
			assert.Assert(t, known, "the estimates are known")
		}
	}
	assert.Equal(t, decisions[true], decisions[false])
}
