package keyvalue

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/arbutuswinch/winch"
)

// TestTermThatBeganBeforeTheEraWasKnown guards against a term with a number below that of a lost holder, if the service does not name its
// era and the process hears of the return only after it has acquired the lease.
func TestTermThatBeganBeforeTheEraWasKnown(t *testing.T) {
	const lostNumber = winch.FencingNumber(120)
	m := newStateMachine("a")
	m.readCompleted(start, false, versionOf(t, 0, 101), record{holder: "b", incarnation: "b", number: 40, ttl: defaultTTL, inFlight: defaultInFlight, released: true})
	next := m.next(start, true, false)
	assert.Equal(t, next.step, stepWrite)
	m.writeCompleted(start, versionOf(t, 0, 102), resultDone)
	now := start.Add(defaultRenewEvery)
	lose(t, &m, now, versionOf(t, 1, 102), stored(t, next.record))
	term, held := m.term(now)
	assert.Assert(t, !held || term.Number > lostNumber, "acts with the number %d while a holder with %d may act", term.Number, lostNumber)
	m.lease.validUntil = now.Add(2 * lostHolderWait)
	assert.Assert(t, assertHeld(t, &m, now.Add(lostHolderWait), true).Number > lostNumber)
}
