package peer

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/arbutuswinch/winch"
)

// actions returns the actions of which the test chooses at random.
func actions(t *rapid.T, sim *simulation) map[string]func(*rapid.T) {
	anyHost := func(t *rapid.T) *simulatedHost { return sim.hosts[rapid.IntRange(0, len(sim.hosts)-1).Draw(t, "host")] }
	return map[string]func(*rapid.T){
		"round":    func(*rapid.T) { sim.round() },
		"exchange": func(t *rapid.T) { sim.exchange(anyHost(t), rapid.Bool().Draw(t, "delayed")) },
		"digest": func(t *rapid.T) {
			sim.exchangeDigests(anyHost(t), rapid.SampledFrom(sim.centres).Draw(t, "to"), rapid.Bool().Draw(t, "delayed"))
		},
		"watch":   func(t *rapid.T) { sim.watch(anyHost(t), rapid.Bool().Draw(t, "delayed")) },
		"commit":  func(t *rapid.T) { sim.commit(anyHost(t), rapid.Bool().Draw(t, "learn")) },
		"accept":  func(t *rapid.T) { sim.accept(anyHost(t)) },
		"advance": func(t *rapid.T) { sim.now += time.Duration(rapid.IntRange(1, 4000).Draw(t, "ms")) * time.Millisecond },
		"rounds":  func(t *rapid.T) { sim.runFor(time.Duration(rapid.IntRange(2, 20).Draw(t, "s")) * time.Second) },
		"run past the grace": func(*rapid.T) {
			for range 11 {
				sim.now += defaultGrace / 10
				sim.round()
			}
		},
		"deliver": func(t *rapid.T) {
			if len(sim.inFlight) == 0 {
				return
			}
			i := rapid.IntRange(0, len(sim.inFlight)-1).Draw(t, "message")
			arrive := sim.inFlight[i]
			sim.inFlight = append(sim.inFlight[:i], sim.inFlight[i+1:]...)
			if !rapid.Bool().Draw(t, "lost") {
				arrive()
			}
		},
		"partition centres": func(t *rapid.T) {
			groups := map[winch.DataCentreID]int{}
			for _, centre := range sim.centres {
				groups[centre] = rapid.IntRange(0, 2).Draw(t, "group")
			}
			for _, s := range sim.hosts {
				s.group = groups[s.host.DataCentre]
			}
		},
		"partition host": func(t *rapid.T) { anyHost(t).group = rapid.IntRange(0, 2).Draw(t, "group") },
		"platform": func(t *rapid.T) {
			sim.platformReachable[rapid.IntRange(0, 2).Draw(t, "group")] = rapid.Bool().Draw(t, "reached")
		},
		"leave": func(t *rapid.T) {
			if s := anyHost(t); !s.host.Leaving && sim.stayingHosts(s.host.DataCentre) > 1 {
				// 110 s is less than defaultLongestStop.
				s.host.Leaving, s.leavesAt = true, sim.now+time.Duration(rapid.IntRange(0, 110).Draw(t, "s"))*time.Second
			}
		},
		"replace": func(t *rapid.T) { replaceHost(t, sim, anyHost(t)) },
	}
}

// replaceHost crashes a host and starts another one, with the same or a new id.
func replaceHost(t *rapid.T, sim *simulation, s *simulatedHost) {
	if rapid.Bool().Draw(t, "same id") {
		sim.restart(s)
	} else {
		sim.replacedCount++
		for i, other := range sim.hosts {
			if other == s {
				sim.hosts = append(sim.hosts[:i], sim.hosts[i+1:]...)
				break
			}
		}
		added := sim.add(s.host.DataCentre, fmt.Sprintf("%s-new%d", s.id(), sim.replacedCount))
		added.group = s.group
	}
}

// TestNoHostServesBelowAccepted checks, under random partitions, delays, losses and
// restarts, that no host accepts keys by a revision older than the accepted one.
func TestNoHostServesBelowAccepted(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sim := newSimulation(t, defaultLimits(), rapid.IntRange(1, 3).Draw(t, "centres"), rapid.IntRange(1, 4).Draw(t, "hosts"))
		for _, s := range sim.hosts {
			s.offset = time.Duration(rapid.IntRange(0, 3600).Draw(t, "offset")) * time.Second
			s.rate = 1 + float64(rapid.IntRange(-200, 200).Draw(t, "drift"))/1e6
			sim.restart(s)
		}
		sim.round()
		sim.round()
		steps := actions(t, sim)
		// Repeat calls the action without a name after each other action.
		steps[""] = func(t *rapid.T) {
			if violation := sim.violation(); violation != "" {
				t.Fatal(violation)
			}
		}
		t.Repeat(steps)
	})
}
