package ledger

import (
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// TestLedger drives ledgers through any order of happenings, beside a record of what
// an endpoint may have executed.
func TestLedger(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := Ledger{Repeatable: rapid.Bool().Draw(t, "repeatable")}
		sends, executions := 0, 0
		happenings := rapid.SliceOfN(rapid.IntRange(0, int(ConnectionBroke)), 0, 40).Draw(t, "happenings")
		for _, number := range happenings {
			what := Happening(number)
			next, fits := l.Next(what)
			if !fits {
				assert.Equal(t, next, l)
				continue
			}
			switch what {
			case SendStarted:
				sends++
				executions++
			case NothingWritten, EndpointRefused:
				executions--
			}
			l = next
			assert.Assert(t, l.Repeatable || executions <= 1, "a call that may not be repeated was sent after it may have run")
			if l.RunState() == NotRun {
				assert.Equal(t, executions, 0, "not run was said of a request that may have run")
			}
			if l.Step == StepLost {
				assert.Assert(t, !l.MayDispatch())
			}
		}
	})
}

func TestRunStates(t *testing.T) {
	after := func(repeatable bool, happenings ...Happening) RunState {
		l := Ledger{Repeatable: repeatable}
		for _, what := range happenings {
			l, _ = l.Next(what)
		}
		return l.RunState()
	}
	assert.Equal(t, after(false, SlotGranted), NotRun)
	assert.Equal(t, after(false, SlotGranted, SendStarted), Unknown)
	assert.Equal(t, after(false, SlotGranted, SendStarted, NothingWritten), NotRun)
	assert.Equal(t, after(false, SlotGranted, SendStarted, AnswerCame), Ran)
	assert.Equal(t, after(true, SlotGranted, SendStarted, ConnectionBroke), Unknown)
	assert.Equal(t, after(true, SlotGranted, SendStarted, ConnectionBroke, SlotGranted, SendStarted, EndpointRefused), Unknown)
}
