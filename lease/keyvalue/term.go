package keyvalue

import (
	"time"

	"github.com/arbutuswinch/winch"
)

// lease is the lease of this process, if held is set.
type lease struct {
	held   bool
	number winch.FencingNumber
	// former is the host that held the lease last before this one, empty if none is known.
	former winch.HostID
	// predecessor is the holder of the record that this one replaced, perhaps this host itself.
	predecessor winch.HostID
	// beforePredecessor is the former holder of that record.
	beforePredecessor winch.HostID

	version winch.Version
	// acquiredAt is when this process learned that it had the lease.
	acquiredAt time.Time
	// beginsAt is when the predecessor's calls can no longer be in flight. The term begins then.
	beginsAt   time.Time
	validUntil time.Time
	// lastWriteAt is when the last write was sent. It is zero when a write is due at once.
	lastWriteAt time.Time
}

// term returns the term if it has begun, is valid and is not being released.
func (m *stateMachine) term(now time.Time) (winch.Term, bool) {
	l := m.lease
	if !l.held || m.releasing || now.Before(l.beginsAt) || !now.Before(l.validUntil) {
		return winch.Term{}, false
	}
	return winch.Term{Number: l.number, ValidUntil: l.validUntil}, true
}

// startTerm starts a term after this process's record was written. The term begins when
// the predecessor's calls can no longer be in flight, and neither those of a holder of the era before
// whose record is lost. It may be lost also if the record that was found is marked as released.
func (m *stateMachine) startTerm(now time.Time, version winch.Version, number winch.FencingNumber) {
	m.lease.former = m.formerHolder()
	m.lease.predecessor, m.lease.beforePredecessor = m.observed.record.holder, m.observed.record.former
	m.lease.held = true
	m.lease.number = number
	m.highest = max(m.highest, number)
	m.lease.version = version
	m.lease.acquiredAt = now
	m.lease.beginsAt = now.Add(m.predecessorWait())
	m.lease.validUntil = time.Time{}
	if m.era > 0 {
		m.delayTerm(m.eraSeenAt)
	}
	m.releasing, m.released = false, false
}

// predecessorWait returns how long the predecessor's calls may still be in flight. When
// there was no record, it may have been deleted while a holder's term was still valid, so
// that holder's whole TTL is added. A host that held the lease before a predecessor that released it waits for the TTL,
// since receivers may take a host that acts before and after another for two that act at the same time.
func (m *stateMachine) predecessorWait() time.Duration {
	if !m.observed.known || m.observed.absent {
		return m.settings.ttl + m.settings.inFlight
	}
	predecessor := m.observed.record
	wait := max(m.settings.inFlight, predecessor.inFlight)
	if predecessor.released && predecessor.former == m.settings.holder && predecessor.holder != m.settings.holder {
		return max(wait, m.settings.ttl)
	}
	return wait
}

// extendValidity extends the term. The TTL counts from before the write was sent, less the
// allowance for clock drift.
func (m *stateMachine) extendValidity(sent time.Time) {
	until := sent.Add(m.settings.ttl - m.settings.drift)
	if until.After(m.lease.validUntil) {
		m.lease.validUntil = until
	}
}

// clearLease ends the term. The time of the last write is kept, but nothing reads it before
// the next term sets it.
func (m *stateMachine) clearLease() {
	lastWriteAt := m.lease.lastWriteAt
	m.lease = lease{lastWriteAt: lastWriteAt}
	m.releasing = false
}
