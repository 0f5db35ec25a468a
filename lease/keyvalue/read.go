package keyvalue

import (
	"time"

	"github.com/arbutuswinch/winch"
)

// readCompleted processes the record that was read. Now is when the response arrived.
func (m *stateMachine) readCompleted(now time.Time, absent bool, version winch.Version, found record) {
	m.mustRead = false
	if !absent {
		m.noteEra(now, version)
		m.endLostTerm(now, version, found)
	}
	newest := m.noteNumber(absent, found.numberAt(version))
	if !absent && m.isOwn(found, newest) {
		m.ownRecordRead(now, version, found)
		return
	}
	if !absent && m.pendingWrite.release && m.isPending(found) {
		// The record is that of this process's pending release.
		m.writeApplied(now, version)
		return
	}
	m.pendingWrite = pendingWrite{}
	m.clearLease()
	m.released = !absent && found.released && found.incarnation == m.settings.incarnation
	if m.observed.known && m.observed.absent == absent && m.observed.version == version {
		m.observed.lastReadAt = now
		return
	}
	m.observed = observation{known: true, absent: absent, version: version, record: found, firstReadAt: now, lastReadAt: now}
}

// noteNumber records a number that was read, and reports whether no higher one is known.
func (m *stateMachine) noteNumber(absent bool, number winch.FencingNumber) bool {
	if absent {
		return true
	}
	newest := number >= m.highest
	m.highest = max(m.highest, number)
	return newest
}

// isOwn reports whether the record gives the lease to this process. A renewal of a term that this process no longer has, and did not
// just write, does not, and neither does a record whose number is lower than one that is known: others may have had higher ones since.
func (m *stateMachine) isOwn(found record, newest bool) bool {
	if found.incarnation != m.settings.incarnation || found.released {
		return false
	}
	return m.lease.held || newest && (m.isPending(found) || found.number == 0)
}

// isPending reports whether the record is the one of the pending write.
func (m *stateMachine) isPending(found record) bool {
	return m.pendingWrite.exists && found.writeID == m.pendingWrite.writeID
}

// ownRecordRead processes a record that gives the lease to this process. If it is not from the pending
// write, an earlier write arrived late: the lease is held, but its validity is not
// extended.
func (m *stateMachine) ownRecordRead(now time.Time, version winch.Version, found record) {
	if m.isPending(found) {
		m.writeApplied(now, version)
		return
	}
	m.pendingWrite = pendingWrite{}
	if !m.lease.held {
		m.startTerm(now, version, found.numberAt(version))
		m.lease.former = found.former
		if m.era > 0 {
			// The write may have been sent in an era before, and may have replaced the record of a holder.
			m.delayTerm(now)
		}
	}
	m.lease.version = version
	m.lease.lastWriteAt = time.Time{}
}

// readFailed delays the next call after the record could not be read.
func (m *stateMachine) readFailed(now time.Time) { m.retryAt = now.Add(m.backoff()) }
