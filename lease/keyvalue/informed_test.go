package keyvalue

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestTermBeginsOnceTheProcessIsInformed guards against a new process that acts with a low number, because it has not heard yet that the
// service came back from an older copy.
func TestTermBeginsOnceTheProcessIsInformed(t *testing.T) {
	informed := false
	newHolder := func() *Holder {
		m := newStateMachine("a")
		m.readCompleted(start, true, 0, record{})
		acquire(t, &m, start, 50)
		m.lease.beginsAt, m.lease.validUntil = start, start.Add(time.Hour)
		return &Holder{
			state: m, startedAt: start,
			options: Options{TTL: defaultTTL, InFlight: defaultInFlight, Informed: func() bool { return informed }},
		}
	}
	assertTerm := func(t *testing.T, h *Holder, now time.Time, want bool) {
		t.Helper()
		_, held := h.Term(now)
		assert.Equal(t, held, want)
		_, done, err := h.Begin(now)
		assert.Equal(t, err == nil, want)
		if err == nil {
			done()
		}
	}
	t.Run("by other hosts", func(t *testing.T) {
		informed = false
		h := newHolder()
		assertTerm(t, h, start.Add(time.Second), false)
		informed = true
		assertTerm(t, h, start.Add(time.Second), true)
	})
	t.Run("or reaches none for TTL and InFlight", func(t *testing.T) {
		informed = false
		h := newHolder()
		assertTerm(t, h, start.Add(defaultTTL+defaultInFlight-1), false)
		assertTerm(t, h, start.Add(defaultTTL+defaultInFlight), true)
	})
	t.Run("unless nobody can inform it", func(t *testing.T) {
		h := newHolder()
		h.options.Informed = nil
		assertTerm(t, h, start, true)
	})
}
