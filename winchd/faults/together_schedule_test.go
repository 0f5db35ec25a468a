package faults

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"
)

const (
	// faultsFor is how long faults begin and end.
	faultsFor = 30 * time.Second

	fewestFaults  = 16
	faultSpread   = 9
	shortestFault = time.Second
	longestFault  = 8 * time.Second
	lengthStep    = 100 * time.Millisecond
)

// chance is one fault of a schedule: the kind shows at the target from at on, for length.
type chance struct {
	at     time.Duration
	length time.Duration
	target string
	kind   string
}

func (c chance) String() string {
	return fmt.Sprintf("%s %s at %s for %s", c.target, c.kind, c.at, c.length)
}

func (c chance) overlaps(other chance) bool {
	return c.target == other.target && c.at < other.at+other.length && other.at < c.at+c.length
}

// family is a kind of target with the faults that it can show.
type family struct {
	targets []string
	kinds   []string
}

func families() []family {
	of := func(prefix string) []string { return []string{prefix + "a", prefix + "b", prefix + "c"} }
	hosts := []string{"host/a-1", "host/a-2", "host/b-1", "host/b-2", "host/c-1", "host/c-2"}
	return []family{
		{hosts, []string{"kill", "freeze", "freeze and kill"}},
		{hosts, []string{"freeze"}},
		{hosts, []string{"stop"}},
		{of("peers/"), []string{"freeze", "cut"}},
		{of("platform/"), []string{"cut"}},
		{[]string{"keyvalue"}, []string{"outage", "slow", "lose_answer"}},
		{of("engine/engine-"), []string{"crash", "slowdown"}},
		{of("cheap/"), []string{"reclaim"}},
		{of("service/desk-"), []string{"lose_answer", "crash"}},
		{append(of("orders/"), "orders"), []string{"outage"}},
		{[]string{"usage"}, []string{"outage", "lose_answer"}},
	}
}

// schedule is a set of faults in the order of their beginnings.
type schedule []chance

// drawSchedule draws the faults of a seed. Faults of different targets overlap as they
// fall; at one target they come one after the other.
func drawSchedule(seed uint64) schedule {
	random := rand.New(rand.NewPCG(seed, 0))
	drawn, all := schedule{}, families()
	for count := fewestFaults + random.IntN(faultSpread); len(drawn) < count; {
		chosen := all[random.IntN(len(all))]
		fault := chance{
			target: chosen.targets[random.IntN(len(chosen.targets))],
			kind:   chosen.kinds[random.IntN(len(chosen.kinds))],
			length: shortestFault + time.Duration(random.IntN(int((longestFault-shortestFault)/lengthStep)+1))*lengthStep,
		}
		fault.at = time.Duration(random.IntN(int((faultsFor-fault.length)/time.Millisecond))) * time.Millisecond
		if !slices.ContainsFunc(drawn, fault.overlaps) {
			drawn = append(drawn, fault)
		}
	}
	slices.SortFunc(drawn, func(a, b chance) int { return int(a.at - b.at) })
	return drawn
}

func (s schedule) String() string {
	lines := []string{}
	for _, fault := range s {
		lines = append(lines, fault.String())
	}
	return strings.Join(lines, "\n")
}
