package keyvalue

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/arbutuswinch/winch"
)

func versionOf(t *testing.T, era winch.Era, revision winch.StoreRevision) winch.Version {
	t.Helper()
	version, err := winch.NewVersion(era, revision)
	assert.NilError(t, err)
	return version
}

// renew renews the lease of the holder.
func renew(t *testing.T, m *stateMachine, now time.Time, version winch.Version) record {
	t.Helper()
	next := m.next(now, true, false)
	assert.Equal(t, next.step, stepWrite)
	m.writeCompleted(now, version, resultDone)
	return next.record
}

// receiver accepts a call if no higher number has been seen. It knows nothing of eras.
type receiver struct{ highest winch.FencingNumber }

func (r *receiver) assertAccepts(t *testing.T, term winch.Term) {
	t.Helper()
	assert.Assert(t, term.Number > r.highest, "number %d after %d", term.Number, r.highest)
	r.highest = term.Number
}

const lostHolderWait = defaultTTL + defaultInFlight

// TestNumbersRiseAcrossEras guards against a term with a number that a holder of the era before had, or with a lower one, when the
// process has read nothing of that era.
func TestNumbersRiseAcrossEras(t *testing.T) {
	r := &receiver{}
	lost := newStateMachine("lost")
	lost.readCompleted(start, true, 0, record{})
	acquire(t, &lost, start, versionOf(t, 0, 500))
	lost.lease.validUntil = start.Add(time.Hour)
	r.assertAccepts(t, assertHeld(t, &lost, start.Add(lostHolderWait), true))
	for era := winch.Era(1); era <= 3; era++ {
		fresh := newStateMachine("fresh")
		now := start.Add(time.Duration(era) * time.Hour)
		fresh.readCompleted(now, true, 0, record{})
		// The revision is given out again.
		acquire(t, &fresh, now, versionOf(t, era, 500))
		fresh.lease.validUntil = now.Add(time.Hour)
		r.assertAccepts(t, assertHeld(t, &fresh, now.Add(lostHolderWait), true))
	}
}

// TestTermWaitsForAHolderThatTheCopyDoesNotShow guards against two holders at one time, if the copy is from before the record of one of
// them, who acts until its last renewal has expired.
func TestTermWaitsForAHolderThatTheCopyDoesNotShow(t *testing.T) {
	other := record{holder: "other", incarnation: "other", ttl: defaultTTL, inFlight: defaultInFlight}
	released := other
	released.released = true
	for name, found := range map[string]struct {
		record     record
		absent     bool
		acquiresAt time.Duration
	}{
		"no record":                       {absent: true},
		"a released record":               {record: released},
		"an expired record":               {record: other, acquiresAt: defaultTTL},
		"a record without a time to live": {record: record{holder: "other"}},
	} {
		t.Run(name, func(t *testing.T) {
			m := newStateMachine("a")
			version := versionOf(t, 1, 50)
			if found.absent {
				version = 0
			}
			m.readCompleted(start, found.absent, version, found.record)
			if found.acquiresAt > 0 {
				m.readCompleted(start.Add(found.acquiresAt), found.absent, version, found.record)
			}
			acquire(t, &m, start.Add(found.acquiresAt), versionOf(t, 1, 51))
			m.lease.validUntil = start.Add(time.Hour)
			assertHeld(t, &m, start.Add(lostHolderWait-1), false)
			assertHeld(t, &m, start.Add(lostHolderWait), true)
		})
	}
	t.Run("only once in an era", func(t *testing.T) {
		m := newStateMachine("a")
		m.readCompleted(start, false, versionOf(t, 1, 50), other)
		later := start.Add(time.Hour)
		m.readCompleted(later, false, versionOf(t, 1, 60), released)
		acquire(t, &m, later, versionOf(t, 1, 61))
		assertHeld(t, &m, later.Add(defaultInFlight), true)
	})
	t.Run("not while no era is known", func(t *testing.T) {
		m := newStateMachine("a")
		m.readCompleted(start, false, 50, released)
		acquire(t, &m, start, 51)
		assertHeld(t, &m, start.Add(defaultInFlight), true)
	})
}

// held returns a holder whose term has begun in the era 0, the record of its last renewal, and when it renewed it.
func held(t *testing.T) (*stateMachine, record, time.Time) {
	t.Helper()
	m := newStateMachine("a")
	m.readCompleted(start, true, 0, record{})
	acquire(t, &m, start, versionOf(t, 0, 50))
	now := start
	for range 4 {
		now = now.Add(defaultRenewEvery)
		renew(t, &m, now, versionOf(t, 0, 60)+winch.Version(now.Sub(start)/time.Second))
	}
	return &m, renew(t, &m, now.Add(defaultRenewEvery), versionOf(t, 0, 70)), now.Add(defaultRenewEvery)
}

// lose lets the holder find that its version is of the era before, and read the record.
func lose(t *testing.T, m *stateMachine, now time.Time, version winch.Version, found record) {
	t.Helper()
	assert.Equal(t, m.next(now, true, false).step, stepWrite)
	m.writeCompleted(now, 0, resultConflict)
	m.readCompleted(now, version == 0, version, found)
}

func TestHolderInANewEra(t *testing.T) {
	t.Run("keeps its term if its record is in the copy", func(t *testing.T) {
		m, own, renewedAt := held(t)
		number := assertHeld(t, m, renewedAt, true).Number
		now := renewedAt.Add(defaultRenewEvery)
		lose(t, m, now, versionOf(t, 1, 70), own)
		assert.Equal(t, assertHeld(t, m, now, true).Number, number)
		next := m.next(now, true, false)
		assert.Equal(t, next.expect, versionOf(t, 1, 70))
		m.writeCompleted(now, versionOf(t, 1, 71), resultDone)
		assert.Equal(t, assertHeld(t, m, now.Add(defaultTTL-defaultDrift-1), true).Number, number)
	})
	t.Run("keeps its term if an older renewal is in the copy", func(t *testing.T) {
		m, own, renewedAt := held(t)
		older := own
		older.writeID = "a/2"
		lose(t, m, renewedAt.Add(defaultRenewEvery), versionOf(t, 1, 60), older)
		assertHeld(t, m, renewedAt.Add(defaultRenewEvery), true)
	})
	t.Run("loses its term if its record is lost", func(t *testing.T) {
		other := record{holder: "b", incarnation: "b", number: 40, ttl: defaultTTL, inFlight: defaultInFlight}
		for name, version := range map[string]winch.Version{"absent": 0, "another's": versionOf(t, 1, 40)} {
			t.Run(name, func(t *testing.T) {
				m, _, renewedAt := held(t)
				now := renewedAt.Add(defaultRenewEvery)
				lose(t, m, now, version, other)
				assertHeld(t, m, now, false)
			})
		}
	})
	// Another holder may have had a higher number since, whose record is lost.
	t.Run("loses an expired term although its record is in the copy", func(t *testing.T) {
		m, own, renewedAt := held(t)
		now := renewedAt.Add(defaultTTL)
		number := m.lease.number
		lose(t, m, now, versionOf(t, 1, 70), own)
		assert.Assert(t, !m.lease.held)
		m.readCompleted(now.Add(defaultTTL), false, versionOf(t, 1, 70), own)
		acquire(t, m, now.Add(defaultTTL), versionOf(t, 1, 71))
		assert.Assert(t, m.lease.number > number && m.lease.number == winch.FencingNumber(versionOf(t, 1, 71)))
	})
	// The revision that the renewal expected may have been given to another holder.
	t.Run("does not trust a renewal that met its condition only in the new era", func(t *testing.T) {
		for _, outcome := range []result{resultUnknown, resultDone} {
			m, _, renewedAt := held(t)
			now := renewedAt.Add(defaultRenewEvery)
			next := m.next(now, true, false)
			assert.Equal(t, next.step, stepWrite)
			m.writeCompleted(now, versionOf(t, 1, 71), outcome)
			assert.Equal(t, m.next(now, true, false).step, stepRead)
			m.readCompleted(now, false, versionOf(t, 1, 71), next.record)
			assertHeld(t, m, now, false)
			assert.Assert(t, m.next(now, true, false).step != stepWrite)
		}
	})
}

// TestRecordOfAnEarlierTermInTheCopy guards against a process that goes on with a term that it had released or lost before the copy
// came back.
func TestRecordOfAnEarlierTermInTheCopy(t *testing.T) {
	released := func(t *testing.T) (*stateMachine, record, time.Time) {
		t.Helper()
		m, own, renewedAt := held(t)
		now := renewedAt.Add(time.Second)
		assert.Equal(t, m.next(now, false, false).step, stepRelease)
		m.writeCompleted(now, versionOf(t, 0, 80), resultDone)
		m.readCompleted(now, false, versionOf(t, 0, 90), record{holder: "b", incarnation: "b", number: 85, ttl: defaultTTL})
		return m, own, now
	}
	t.Run("a renewal", func(t *testing.T) {
		m, own, now := released(t)
		m.readCompleted(now, false, versionOf(t, 1, 70), own)
		assert.Assert(t, !m.lease.held)
		assert.Assert(t, m.next(now, true, false).step != stepWrite)
	})
	t.Run("the record that began the term", func(t *testing.T) {
		m, own, now := released(t)
		own.number = 0
		m.readCompleted(now, false, versionOf(t, 1, 50), own)
		renew(t, m, now, versionOf(t, 1, 51))
		m.lease.validUntil = now.Add(time.Hour)
		assertHeld(t, m, now.Add(lostHolderWait-1), false)
		assert.Assert(t, assertHeld(t, m, now.Add(lostHolderWait), true).Number > 85)
	})
	// The late write may have replaced the record of a holder that had, by chance, the revision that the write expected.
	t.Run("a late write of the era before", func(t *testing.T) {
		m, own, now := released(t)
		own.number = 0
		m.readCompleted(now, false, versionOf(t, 1, 40), record{holder: "b", incarnation: "b", number: 30, ttl: defaultTTL})
		later := now.Add(lostHolderWait)
		m.readCompleted(later, false, versionOf(t, 1, 50), own)
		renew(t, m, later, versionOf(t, 1, 51))
		m.lease.validUntil = later.Add(time.Hour)
		assertHeld(t, m, later.Add(lostHolderWait-1), false)
		assertHeld(t, m, later.Add(lostHolderWait), true)
	})
}
