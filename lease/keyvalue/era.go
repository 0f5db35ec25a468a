package keyvalue

import (
	"time"

	"github.com/arbutuswinch/winch"
)

// noteEra records the era of a version that was read or written.
func (m *stateMachine) noteEra(now time.Time, version winch.Version) {
	if version.Era() > m.era {
		m.era, m.eraSeenAt = version.Era(), now
	}
}

// lostHolderWait returns for how long after an era was first seen a holder of the era before may still act, whose record the copy does
// not have. Such a holder acts until its last renewal, which the service carried out before the era began, has expired.
func (m *stateMachine) lostHolderWait() time.Duration { return m.settings.ttl + m.settings.inFlight }

// delayTerm delays the beginning of the term to a time from which on no lost holder acts that is counted from the given one.
func (m *stateMachine) delayTerm(from time.Time) {
	if earliest := from.Add(m.lostHolderWait()); earliest.After(m.lease.beginsAt) {
		m.lease.beginsAt = earliest
	}
}

// endLostTerm ends the term if the record that was read is of an era after the one in which the term was last renewed, and others may
// have held the lease in between: the term has expired, or the record is a renewal that met its condition in the new era, in which
// that revision may have been another holder's. It also ends a term that was acquired shortly before: a service that does not name its era
// may have been in the new one already. Another term that is valid goes on, since until its end no other one begins in the new era.
func (m *stateMachine) endLostTerm(now time.Time, version winch.Version, found record) {
	if !m.lease.held || version.Era() == m.lease.version.Era() {
		return
	}
	recent := now.Before(m.lease.acquiredAt.Add(m.lostHolderWait()))
	if !recent && now.Before(m.lease.validUntil) && (m.pendingWrite.release || !m.isPending(found)) {
		return
	}
	m.clearLease()
	m.pendingWrite = pendingWrite{}
}

// conditionIsLost reports whether the pending write was carried out in another era than that of its condition.
func (m *stateMachine) conditionIsLost(version winch.Version) bool {
	expect := m.pendingWrite.expect
	return !expect.Special() && expect.Era() != version.Era()
}
