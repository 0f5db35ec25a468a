package quarantine

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/arbutuswinch/winch"
)

// newHeld returns evidence that holds deadly for the crashes.
func newHeld(t *testing.T, crashes ...winch.EndpointCrash) *Evidence {
	t.Helper()
	e := New(Settings{})
	addCrashes(e, crashes...)
	assertHeld(t, e, deadly)
	return e
}

func TestRefutedCrashesReleaseTheirPart(t *testing.T) {
	crashes := []winch.EndpointCrash{crashAt(1, deadly), crashAt(2, deadly), crashAt(3, deadly), crashAt(4, deadly)}
	requests := []winch.RequestID{crashes[0].Request, crashes[1].Request}
	t.Run("once too few are left", func(t *testing.T) {
		e := newHeld(t, crashes[:3]...)
		changes := e.RefuteCrashes(at(5), requests[:1])
		assert.Equal(t, len(changes), 1)
		assert.Equal(t, changes[0].Kind, Released)
		assertHeld(t, e)
	})
	t.Run("not while enough are left", func(t *testing.T) {
		e := New(Settings{MinCrashes: 2})
		addCrashes(e, crashes[:2]...)
		addCrashes(e, crashes[2:]...)
		assertHeld(t, e, deadly)
		assert.Equal(t, len(e.Holds()[0].Grounds), 2)
		assert.Equal(t, len(e.RefuteCrashes(at(5), []winch.RequestID{"another"})), 0)
		assertHeld(t, e, deadly)
	})
	t.Run("also at hosts that were told of the crashes or of the part", func(t *testing.T) {
		seen, told := newHeld(t, crashes[:3]...), New(Settings{})
		told.Merge(at(4), seen.State())
		assertHeld(t, told, deadly)
		seen.RefuteCrashes(at(5), requests)
		told.Merge(at(5), seen.State())
		assertHeld(t, told)
	})
	t.Run("and hosts that have not heard of it do not bring it back", func(t *testing.T) {
		seen, late := newHeld(t, crashes[:3]...), New(Settings{})
		late.Merge(at(4), seen.State())
		seen.RefuteCrashes(at(5), requests)
		seen.Merge(at(5), late.State())
		assertHeld(t, seen)
		for _, crash := range crashes[:2] {
			assert.Equal(t, len(seen.AddCrash(at(5), crash)), 0)
		}
		assert.Equal(t, len(seen.Crashes()), 0)
	})
	t.Run("an old refutation is not taken over again", func(t *testing.T) {
		e, other := New(Settings{}), New(Settings{})
		e.RefuteCrashes(at(5), requests)
		other.Merge(at(5).Add(refutedTold+1), e.State())
		assert.Equal(t, len(other.Refuted()), 0)
	})
}

func TestOutputsBeforeAnybodyIsSuspectedAreRemembered(t *testing.T) {
	e := New(Settings{})
	e.AddOutput(at(3.5), []winch.PrefixHash{deadly})
	addCrashes(e, crashAt(1, deadly), crashAt(2, deadly), crashAt(3, deadly))
	assertHeld(t, e)
	t.Run("as many as recent ones are kept", func(t *testing.T) {
		e := New(Settings{})
		for part := range 3 * maxRecent {
			e.AddOutput(at(float64(part)/100), []winch.PrefixHash{winch.PrefixHash(part)})
		}
		assert.Assert(t, len(e.recent) <= maxRecent)
		_, latest := e.recent[3*maxRecent-1]
		assert.Assert(t, latest)
	})
}
