package faults

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"
)

const (
	// faultPeriod is the time for which faults are scheduled. A fault of a host ends after the restart
	// of the host, which can be later.
	faultPeriod = 30 * time.Second

	minFaults         = 16
	faultCountRange   = 9
	minFaultDuration  = time.Second
	maxFaultDuration  = 8 * time.Second
	faultDurationStep = 100 * time.Millisecond
)

// faultEvent is one fault of a schedule. It begins at the given time after the start of the run.
type faultEvent struct {
	startsAt time.Duration
	duration time.Duration
	target   string
	kind     string
}

func (c faultEvent) String() string {
	return fmt.Sprintf("%s %s at %s for %s", c.target, c.kind, c.startsAt, c.duration)
}

func (c faultEvent) overlaps(other faultEvent) bool {
	return c.target == other.target && c.startsAt < other.startsAt+other.duration && other.startsAt < c.startsAt+c.duration
}

// faultGroup is a group of targets with the kinds of faults that can be injected at them.
type faultGroup struct {
	targets []string
	kinds   []string
}

// faultGroups returns the groups, of which each is chosen with the same probability. Hosts are in three
// groups so that they are chosen more often.
func faultGroups() []faultGroup {
	of := func(prefix string) []string { return []string{prefix + "a", prefix + "b", prefix + "c"} }
	hosts := []string{"host/a-1", "host/a-2", "host/b-1", "host/b-2", "host/c-1", "host/c-2"}
	return []faultGroup{
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

// schedule is a list of faults, sorted by start time.
type schedule []faultEvent

// generateSchedule generates the faults for a seed. Faults of different targets may overlap; those of
// the same target do not.
func generateSchedule(seed uint64) schedule {
	random := rand.New(rand.NewPCG(seed, 0))
	generated, all := schedule{}, faultGroups()
	for count := minFaults + random.IntN(faultCountRange); len(generated) < count; {
		chosen := all[random.IntN(len(all))]
		fault := faultEvent{
			target:   chosen.targets[random.IntN(len(chosen.targets))],
			kind:     chosen.kinds[random.IntN(len(chosen.kinds))],
			duration: minFaultDuration + time.Duration(random.IntN(int((maxFaultDuration-minFaultDuration)/faultDurationStep)+1))*faultDurationStep,
		}
		fault.startsAt = time.Duration(random.IntN(int((faultPeriod-fault.duration)/time.Millisecond))) * time.Millisecond
		if !slices.ContainsFunc(generated, fault.overlaps) {
			generated = append(generated, fault)
		}
	}
	slices.SortFunc(generated, func(a, b faultEvent) int { return int(a.startsAt - b.startsAt) })
	return generated
}

func (s schedule) String() string {
	lines := []string{}
	for _, fault := range s {
		lines = append(lines, fault.String())
	}
	return strings.Join(lines, "\n")
}
