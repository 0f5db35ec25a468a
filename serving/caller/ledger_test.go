package caller

import (
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// TestLedger drives ledgers through any order of happenings, beside a record of what
// an endpoint may have executed.
func TestLedger(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := ledger{repeatable: rapid.Bool().Draw(t, "repeatable")}
		sends, executions := 0, 0
		happenings := rapid.SliceOfN(rapid.IntRange(0, int(connectionBroke)), 0, 40).Draw(t, "happenings")
		for _, number := range happenings {
			what := happening(number)
			next, fits := l.next(what)
			if !fits {
				assert.Equal(t, next, l)
				continue
			}
			switch what {
			case sendStarted:
				sends++
				executions++
			case nothingWritten, endpointRefused:
				executions--
			}
			l = next
			assert.Assert(t, l.repeatable || executions <= 1, "a call that may not be repeated was sent after it may have run")
			if l.runState() == runStateNotRun {
				assert.Equal(t, executions, 0, "not run was said of a request that may have run")
			}
			if l.step == stepLost {
				assert.Assert(t, !l.mayDispatch())
			}
		}
	})
}

func TestRunStates(t *testing.T) {
	after := func(repeatable bool, happenings ...happening) runState {
		l := ledger{repeatable: repeatable}
		for _, what := range happenings {
			l, _ = l.next(what)
		}
		return l.runState()
	}
	assert.Equal(t, after(false, slotGranted), runStateNotRun)
	assert.Equal(t, after(false, slotGranted, sendStarted), runStateUnknown)
	assert.Equal(t, after(false, slotGranted, sendStarted, nothingWritten), runStateNotRun)
	assert.Equal(t, after(false, slotGranted, sendStarted, answerCame), runStateRan)
	assert.Equal(t, after(true, slotGranted, sendStarted, connectionBroke), runStateUnknown)
	assert.Equal(t, after(true, slotGranted, sendStarted, connectionBroke, slotGranted, sendStarted, endpointRefused), runStateUnknown)
}
