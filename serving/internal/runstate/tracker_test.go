package runstate

import (
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// TestTracker applies random sequences of events and compares the tracker with a count of the
// attempts that an endpoint may have run.
func TestTracker(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tracker := Tracker{Repeatable: rapid.Bool().Draw(t, "repeatable")}
		sends, possibleRuns := 0, 0
		events := rapid.SliceOfN(rapid.IntRange(0, int(ConnectionLost)), 0, 40).Draw(t, "happenings")
		for _, number := range events {
			event := Event(number)
			next, valid := tracker.Apply(event)
			if !valid {
				assert.Equal(t, next, tracker)
				continue
			}
			switch event {
			case SendStarted:
				sends++
				possibleRuns++
			case NothingWritten, EndpointRefused:
				possibleRuns--
			}
			tracker = next
			assert.Assert(t, tracker.Repeatable || possibleRuns <= 1, "a call that may not be repeated was sent after it may have run")
			if tracker.RunState() == NotRun {
				assert.Equal(t, possibleRuns, 0, "NotRun was reported for a request that may have run")
			}
			if tracker.State == StateOutcomeUnknown {
				assert.Assert(t, !tracker.MayDispatch())
			}
		}
	})
}

func TestRunStates(t *testing.T) {
	runStateAfter := func(repeatable bool, events ...Event) RunState {
		tracker := Tracker{Repeatable: repeatable}
		for _, event := range events {
			tracker, _ = tracker.Apply(event)
		}
		return tracker.RunState()
	}
	assert.Equal(t, runStateAfter(false, SlotGranted), NotRun)
	assert.Equal(t, runStateAfter(false, SlotGranted, SendStarted), Unknown)
	assert.Equal(t, runStateAfter(false, SlotGranted, SendStarted, NothingWritten), NotRun)
	assert.Equal(t, runStateAfter(false, SlotGranted, SendStarted, ResponseStarted), Ran)
	assert.Equal(t, runStateAfter(true, SlotGranted, SendStarted, ConnectionLost), Unknown)
	assert.Equal(t, runStateAfter(true, SlotGranted, SendStarted, ConnectionLost, SlotGranted, SendStarted, EndpointRefused), Unknown)
}
