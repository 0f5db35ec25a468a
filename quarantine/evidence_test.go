package quarantine

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/arbutuswinch/winch"
)

const (
	system winch.PrefixHash = iota + 1 // a part of all requests
	subject
	deadly
	other
)

var start = time.Unix(1000, 0)

func at(seconds float64) time.Time {
	return start.Add(time.Duration(seconds * float64(time.Second)))
}

// crashAt is a crash of a new endpoint under a new request that was sent 0.3 s before.
func crashAt(seconds float64, parts ...winch.PrefixHash) winch.EndpointCrash {
	name := fmt.Sprintf("%.3f-%v", seconds, parts)
	return winch.EndpointCrash{
		Request: winch.RequestID("r" + name), Endpoint: winch.EndpointID("e" + name), Parts: parts, SentAt: at(seconds - 0.3), At: at(seconds),
	}
}

func addCrashes(e *Evidence, crashes ...winch.EndpointCrash) {
	for _, crash := range crashes {
		e.AddCrash(crash.At, crash)
	}
}

func assertHeld(t *testing.T, e *Evidence, want ...winch.PrefixHash) {
	t.Helper()
	held := []winch.PrefixHash{}
	for _, hold := range e.Holds() {
		held = append(held, hold.Part)
	}
	assert.DeepEqual(t, held, append([]winch.PrefixHash{}, want...))
}

func always(winch.PrefixHash) bool { return true }

func TestPartThatCrashesEndpointsIsHeld(t *testing.T) {
	t.Run("after the third crash", func(t *testing.T) {
		e := New(Settings{})
		addCrashes(e, crashAt(1, deadly), crashAt(2, deadly))
		assertHeld(t, e)
		addCrashes(e, crashAt(3, deadly))
		assertHeld(t, e, deadly)
		assert.Equal(t, len(e.Crashes()), 0)
	})
	t.Run("not the parts that sound requests share with it", func(t *testing.T) {
		e := New(Settings{})
		for second := 1.0; second <= 3; second++ {
			addCrashes(e, crashAt(second, system, deadly))
			e.AddOutput(at(second+0.1), []winch.PrefixHash{system, other})
		}
		assertHeld(t, e, deadly)
	})
	t.Run("the part of most crashes, and of these the last in the prompt", func(t *testing.T) {
		e := New(Settings{})
		addCrashes(e, crashAt(1, system, subject, deadly), crashAt(2, system, subject, deadly), crashAt(3, system, subject, deadly))
		assertHeld(t, e, deadly)
	})
	t.Run("also with a request that waited at the same endpoint", func(t *testing.T) {
		e := New(Settings{})
		for second := 1.0; second <= 3; second++ {
			crash, waiting := crashAt(second, deadly), crashAt(second, other+winch.PrefixHash(second))
			waiting.Endpoint = crash.Endpoint
			addCrashes(e, waiting, crash)
		}
		assertHeld(t, e, deadly)
	})
}

func TestCrashesOfOtherCausesAccuseNobody(t *testing.T) {
	t.Run("many endpoints at one time", func(t *testing.T) {
		e := New(Settings{})
		for i := range 30 {
			addCrashes(e, crashAt(1+float64(i)/100, system, subject))
		}
		assertHeld(t, e)
	})
	t.Run("many requests at one endpoint", func(t *testing.T) {
		e := New(Settings{})
		addCrashes(e, crashAt(1, subject))
		for i := range 5 {
			crash := crashAt(2+float64(i)/100, subject)
			crash.Endpoint = "one"
			addCrashes(e, crash)
		}
		assertHeld(t, e)
	})
	t.Run("with output in between", func(t *testing.T) {
		e := New(Settings{})
		for second := 1.0; second < 20; second++ {
			addCrashes(e, crashAt(second, subject))
			e.AddOutput(at(second+0.5), []winch.PrefixHash{subject})
		}
		assertHeld(t, e)
	})
	t.Run("longer ago than the retention", func(t *testing.T) {
		e := New(Settings{Retention: time.Minute})
		addCrashes(e, crashAt(1, subject), crashAt(2, subject))
		e.Prune(at(90))
		addCrashes(e, crashAt(91, subject))
		assertHeld(t, e)
	})
}

func TestRequestsThatBrokeWithADeadlyOneAreInnocent(t *testing.T) {
	e, told := New(Settings{}), New(Settings{})
	for second := 1.0; second <= 5; second++ {
		crash, waiting := crashAt(second, system, deadly), crashAt(second, system, other+winch.PrefixHash(second))
		waiting.Endpoint = crash.Endpoint
		addCrashes(e, crash, waiting)
		// The other host has seen only those that waited there.
		exchange(at(second+0.1), 20*time.Millisecond, told, e)
		addCrashes(told, waiting)
	}
	assertHeld(t, e, deadly)
	assertHeld(t, told, deadly)
	assert.Equal(t, len(told.Crashes()), 0)
}

func TestPartIsHeldOnlyWhenOutputsOfOtherHostsCanBeKnown(t *testing.T) {
	crashes := []winch.EndpointCrash{crashAt(1, system), crashAt(1.35, system), crashAt(1.4, system), crashAt(1.45, system)}
	t.Run("nothing arrives", func(t *testing.T) {
		e := New(Settings{})
		addCrashes(e, crashes...)
		e.Decide(at(1.9))
		assertHeld(t, e)
		e.Decide(at(2))
		assertHeld(t, e, system)
	})
	t.Run("output of another host arrives", func(t *testing.T) {
		e := New(Settings{})
		e.outputs[system] = at(0.99)
		addCrashes(e, crashes...)
		e.Merge(at(1.9), State{Outputs: []Output{{Part: system, At: at(1.5)}}})
		e.Decide(at(2))
		assertHeld(t, e)
	})
}

func TestAdmit(t *testing.T) {
	held := func() *Evidence {
		e := New(Settings{Term: 30 * time.Second, MaxTerm: 2 * time.Minute})
		addCrashes(e, crashAt(1, deadly), crashAt(2, deadly), crashAt(3, deadly))
		return e
	}
	parts := []winch.PrefixHash{system, deadly}
	t.Run("refuses requests with the part and no others", func(t *testing.T) {
		e := held()
		assert.Assert(t, !e.Admit(at(4), "r", parts, always))
		assert.Assert(t, e.Admit(at(4), "r", []winch.PrefixHash{system, other}, always))
	})
	t.Run("one trial after each term, by one host", func(t *testing.T) {
		e := held()
		assert.Assert(t, !e.Admit(at(34), "r", parts, func(winch.PrefixHash) bool { return false }))
		assert.Assert(t, e.Admit(at(34), "r1", parts, always))
		assert.Assert(t, e.Admit(at(34), "r1", parts, always), "the trial is asked for twice, before and after its slot")
		assert.Assert(t, !e.Admit(at(34), "r2", parts, always))
		assert.Assert(t, e.Admit(at(64), "r3", parts, always))
	})
	t.Run("a trial that crashes its endpoint doubles the term", func(t *testing.T) {
		e := held()
		now, crashes := 34.0, 0
		for ; now < 600; now++ {
			id := winch.RequestID(fmt.Sprint(now))
			if e.Admit(at(now), id, parts, always) {
				crash := crashAt(now+0.3, deadly)
				crash.Request = id
				addCrashes(e, crash)
				crashes++
			}
		}
		// Trials at 34 s, 60 s later, and each 120 s from then on.
		assert.Equal(t, crashes, 6)
	})
	t.Run("output ends the quarantine", func(t *testing.T) {
		e := held()
		changes := e.AddOutput(at(35), parts)
		assert.Equal(t, len(changes), 1)
		assert.Equal(t, changes[0].Kind, Released)
		assert.Assert(t, e.Admit(at(35), "r", parts, always))
	})
	t.Run("output before the crashes does not", func(t *testing.T) {
		e := held()
		e.AddOutput(at(0.5), parts)
		assert.Assert(t, !e.Admit(at(35), "r", parts, func(winch.PrefixHash) bool { return false }))
	})
	t.Run("no retry once the part was present in two crashes", func(t *testing.T) {
		e := New(Settings{})
		addCrashes(e, crashAt(1, deadly))
		assert.Assert(t, e.MayRetry(parts))
		addCrashes(e, crashAt(2, deadly))
		assert.Assert(t, !e.MayRetry(parts))
		e.AddOutput(at(3), parts)
		assert.Assert(t, e.MayRetry(parts))
	})
}

// exchange merges what b knows into a, where it arrives after the delay.
func exchange(now time.Time, delay time.Duration, a, b *Evidence) {
	shift := func(t time.Time) time.Time { return t.Add(delay) }
	known := b.State()
	for i := range known.Crashes {
		known.Crashes[i].SentAt, known.Crashes[i].At = shift(known.Crashes[i].SentAt), shift(known.Crashes[i].At)
	}
	for i := range known.Outputs {
		known.Outputs[i].At = shift(known.Outputs[i].At)
	}
	for i, hold := range known.Holds {
		known.Holds[i] = Hold{Part: hold.Part, FirstCrash: shift(hold.FirstCrash), Until: shift(hold.Until), Term: hold.Term}
	}
	for i := range known.Explained {
		known.Explained[i].At = shift(known.Explained[i].At)
	}
	a.Merge(now.Add(delay), known)
}

func TestHostsThatSeeOneCrashEachHoldThePart(t *testing.T) {
	hub, hosts := New(Settings{}), []*Evidence{New(Settings{}), New(Settings{}), New(Settings{})}
	for i, host := range hosts {
		addCrashes(host, crashAt(float64(i+1), system, deadly))
		exchange(at(float64(i)+1.5), 50*time.Millisecond, hub, host)
	}
	for _, host := range hosts {
		exchange(at(4), 50*time.Millisecond, host, hub)
		assertHeld(t, host, deadly)
	}
	t.Run("output at one host ends it at all", func(t *testing.T) {
		hosts[0].AddOutput(at(10), []winch.PrefixHash{deadly})
		exchange(at(11), 50*time.Millisecond, hub, hosts[0])
		for _, host := range hosts {
			exchange(at(12), 50*time.Millisecond, host, hub)
			assertHeld(t, host)
			exchange(at(12), 50*time.Millisecond, hub, host)
		}
		assertHeld(t, hub)
	})
}

func TestTermDoesNotGrowWithEachExchange(t *testing.T) {
	a, b := New(Settings{}), New(Settings{})
	addCrashes(a, crashAt(1, deadly), crashAt(2, deadly), crashAt(3, deadly))
	until := a.Holds()[0].Until
	for i := range 1000 {
		now := at(4 + float64(i)/4)
		exchange(now, 200*time.Millisecond, b, a)
		exchange(now, 200*time.Millisecond, a, b)
	}
	assert.Equal(t, a.Holds()[0].Until, until)
}

func TestMemoryIsBounded(t *testing.T) {
	e, random := New(Settings{}), rand.New(rand.NewPCG(1, 2))
	for i := range 20_000 {
		part := winch.PrefixHash(random.Uint64())
		seconds := float64(i)
		addCrashes(e, crashAt(seconds, part, part+1), crashAt(seconds+0.6, part, part+2), crashAt(seconds+1.2, part, part+3))
		e.AddOutput(at(seconds+1.3), []winch.PrefixHash{part + 1, part + 2})
	}
	assert.Assert(t, len(e.crashes) <= maxCrashes, "%d", len(e.crashes))
	assert.Assert(t, len(e.holds) <= maxHolds, "%d", len(e.holds))
	assert.Assert(t, len(e.outputs) <= maxOutputs, "%d", len(e.outputs))
	assert.Assert(t, len(e.explained) <= maxExplained, "%d", len(e.explained))
	assert.Assert(t, len(e.crashCounts) <= 2*maxCrashes, "%d", len(e.crashCounts))
}

func TestHostTellsTheHubOnlyWhatItHasSeen(t *testing.T) {
	hub, host := New(Settings{}), New(Settings{})
	addCrashes(hub, crashAt(1, system, subject))
	hub.AddOutput(at(2), []winch.PrefixHash{system})
	exchange(at(2.1), 10*time.Millisecond, host, hub)
	assert.Equal(t, len(host.State().Crashes), 1)
	assert.Equal(t, len(host.State().Outputs), 1)
	seen := host.Seen(at(2.2))
	assert.Equal(t, len(seen.Crashes), 0)
	assert.Equal(t, len(seen.Outputs), 0)
	addCrashes(host, crashAt(3, system, deadly))
	host.AddOutput(at(3.5), []winch.PrefixHash{system})
	seen = host.Seen(at(3.6))
	assert.Equal(t, len(seen.Crashes), 1)
	assert.Equal(t, len(seen.Outputs), 1)
	assert.Equal(t, len(host.Seen(at(10)).Outputs), 0)
}
