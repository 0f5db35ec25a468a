package ledger

import (
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// TestLedger applies random sequences of events and compares the ledger with a count of the
// attempts that an endpoint may have run.
func TestLedger(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := Ledger{Repeatable: rapid.Bool().Draw(t, "repeatable")}
		sends, possibleRuns := 0, 0
		events := rapid.SliceOfN(rapid.IntRange(0, int(ConnectionBroke)), 0, 40).Draw(t, "happenings")
		for _, number := range events {
			event := Happening(number)
			next, valid := l.Next(event)
			if !valid {
				assert.Equal(t, next, l)
				continue
			}
			switch event {
			case SendStarted:
				sends++
				possibleRuns++
			case NothingWritten, EndpointRefused:
				possibleRuns--
			}
			l = next
			assert.Assert(t, l.Repeatable || possibleRuns <= 1, "a call that may not be repeated was sent after it may have run")
			if l.RunState() == NotRun {
				assert.Equal(t, possibleRuns, 0, "NotRun was reported for a request that may have run")
			}
			if l.Step == StepLost {
				assert.Assert(t, !l.MayDispatch())
			}
		}
	})
}

func TestRunStates(t *testing.T) {
	runStateAfter := func(repeatable bool, events ...Happening) RunState {
		l := Ledger{Repeatable: repeatable}
		for _, event := range events {
			l, _ = l.Next(event)
		}
		return l.RunState()
	}
	assert.Equal(t, runStateAfter(false, SlotGranted), NotRun)
	assert.Equal(t, runStateAfter(false, SlotGranted, SendStarted), Unknown)
	assert.Equal(t, runStateAfter(false, SlotGranted, SendStarted, NothingWritten), NotRun)
	assert.Equal(t, runStateAfter(false, SlotGranted, SendStarted, AnswerCame), Ran)
	assert.Equal(t, runStateAfter(true, SlotGranted, SendStarted, ConnectionBroke), Unknown)
	assert.Equal(t, runStateAfter(true, SlotGranted, SendStarted, ConnectionBroke, SlotGranted, SendStarted, EndpointRefused), Unknown)
}
