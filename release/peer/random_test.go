package peer

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/arbutuswinch/winch"
)

// actions drive a world at random.
func actions(t *rapid.T, w *world) map[string]func(*rapid.T) {
	anyHost := func(t *rapid.T) *simulated { return w.hosts[rapid.IntRange(0, len(w.hosts)-1).Draw(t, "host")] }
	return map[string]func(*rapid.T){
		"round":    func(*rapid.T) { w.round() },
		"exchange": func(t *rapid.T) { w.exchange(anyHost(t), rapid.Bool().Draw(t, "delayed")) },
		"digest": func(t *rapid.T) {
			w.digest(anyHost(t), rapid.SampledFrom(w.centres).Draw(t, "to"), rapid.Bool().Draw(t, "delayed"))
		},
		"watch":   func(t *rapid.T) { w.watch(anyHost(t), rapid.Bool().Draw(t, "delayed")) },
		"commit":  func(t *rapid.T) { w.commit(anyHost(t), rapid.Bool().Draw(t, "learn")) },
		"accept":  func(t *rapid.T) { w.accept(anyHost(t)) },
		"advance": func(t *rapid.T) { w.now += time.Duration(rapid.IntRange(1, 4000).Draw(t, "ms")) * time.Millisecond },
		"rounds":  func(t *rapid.T) { w.rounds(time.Duration(rapid.IntRange(2, 20).Draw(t, "s")) * time.Second) },
		"pass the grace": func(*rapid.T) {
			for range 11 {
				w.now += defaultGrace / 10
				w.round()
			}
		},
		"deliver": func(t *rapid.T) {
			if len(w.flying) == 0 {
				return
			}
			i := rapid.IntRange(0, len(w.flying)-1).Draw(t, "message")
			arrive := w.flying[i]
			w.flying = append(w.flying[:i], w.flying[i+1:]...)
			if !rapid.Bool().Draw(t, "lost") {
				arrive()
			}
		},
		"partition centres": func(t *rapid.T) {
			groups := map[winch.DataCentreID]int{}
			for _, centre := range w.centres {
				groups[centre] = rapid.IntRange(0, 2).Draw(t, "group")
			}
			for _, s := range w.hosts {
				s.group = groups[s.host.DataCentre]
			}
		},
		"partition host": func(t *rapid.T) { anyHost(t).group = rapid.IntRange(0, 2).Draw(t, "group") },
		"platform": func(t *rapid.T) {
			w.platform[rapid.IntRange(0, 2).Draw(t, "group")] = rapid.Bool().Draw(t, "reached")
		},
		"leave": func(t *rapid.T) {
			if s := anyHost(t); !s.host.Leaving && w.staying(s.host.DataCentre) > 1 {
				s.host.Leaving, s.leavesAt = true, w.now+time.Duration(rapid.IntRange(0, 110).Draw(t, "s"))*time.Second
			}
		},
		"replace": func(t *rapid.T) { replaceHost(t, w, anyHost(t)) },
	}
}

// replaceHost ends a host without notice, and starts another one.
func replaceHost(t *rapid.T, w *world, s *simulated) {
	if rapid.Bool().Draw(t, "same id") {
		w.boot(s)
	} else {
		w.replaced++
		for i, other := range w.hosts {
			if other == s {
				w.hosts = append(w.hosts[:i], w.hosts[i+1:]...)
				break
			}
		}
		added := w.add(s.host.DataCentre, fmt.Sprintf("%s-new%d", s.id(), w.replaced))
		added.group = s.group
	}
}

// TestAcceptedHolds checks that after acceptance no host serves a lower revision.
func TestAcceptedHolds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t, defaultLimits(), rapid.IntRange(1, 3).Draw(t, "centres"), rapid.IntRange(1, 4).Draw(t, "hosts"))
		for _, s := range w.hosts {
			s.offset = time.Duration(rapid.IntRange(0, 3600).Draw(t, "offset")) * time.Second
			s.rate = 1 + float64(rapid.IntRange(-200, 200).Draw(t, "drift"))/1e6
			w.boot(s)
		}
		w.round()
		w.round()
		steps := actions(t, w)
		steps[""] = func(t *rapid.T) {
			if violation := w.violation(); violation != "" {
				t.Fatal(violation)
			}
		}
		t.Repeat(steps)
	})
}
