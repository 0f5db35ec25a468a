package keyvalue

import (
	"strconv"
	"time"

	"github.com/arbutuswinch/winch"
)

// result says whether a write was carried out, as far as its response tells.
type result int

const (
	resultDone result = iota
	// resultConflict means that the stored version was not the expected one.
	resultConflict
	// resultUnknown means that the write may have taken effect, or may do so later.
	resultUnknown
	// resultFailed means that the write had no effect.
	resultFailed
)

// pendingWrite is a write whose result is not known yet, if exists is set.
type pendingWrite struct {
	exists  bool
	writeID winch.WriteID
	sent    time.Time
	release bool
	// expect is the condition of the write.
	expect winch.Version
	// above is that of the record.
	above winch.FencingNumber
}

// prepareWrite returns the action that writes the record, with released as its mark that
// the lease is free. The record that starts a term has no fencing number yet, since the version of the write decides it.
func (m *stateMachine) prepareWrite(now time.Time, kind step, expect winch.Version, released bool) action {
	m.writes++
	m.pendingWrite = pendingWrite{
		exists:  true,
		writeID: winch.WriteID(string(m.settings.incarnation) + "/" + strconv.Itoa(m.writes)),
		sent:    now,
		release: released,
		expect:  expect,
		above:   m.highest,
	}
	m.lease.lastWriteAt = now
	holder, former := m.settings.holder, m.formerHolder()
	if released && now.Before(m.lease.beginsAt) && m.lease.predecessor != "" {
		// This host has not acted, so that the next one follows its predecessor.
		holder, former = m.lease.predecessor, m.lease.beforePredecessor
	}
	return action{step: kind, expect: expect, record: record{
		holder:      holder,
		incarnation: m.settings.incarnation,
		writeID:     m.pendingWrite.writeID,
		number:      m.lease.number,
		above:       m.highest,
		former:      former,
		ttl:         m.settings.ttl,
		inFlight:    m.settings.inFlight,
		released:    released,
	}}
}

// formerHolder returns the host that held the lease last before this one does.
func (m *stateMachine) formerHolder() winch.HostID {
	switch {
	case m.lease.held:
		return m.lease.former
	case m.observed.record.holder == m.settings.holder:
		return m.observed.record.former
	}
	return m.observed.record.holder
}

// writeCompleted processes the result of the pending write. Now is when the response arrived.
func (m *stateMachine) writeCompleted(now time.Time, version winch.Version, outcome result) {
	if outcome == resultDone && m.conditionIsLost(version) {
		outcome = resultUnknown
	}
	switch outcome {
	case resultDone:
		m.noteEra(now, version)
		m.writeApplied(now, version)
	case resultConflict, resultUnknown:
		m.mustRead = true
	case resultFailed:
		m.pendingWrite = pendingWrite{}
		m.lease.lastWriteAt = time.Time{}
		m.retryAt = now.Add(m.backoff())
	}
}

// writeApplied updates the state after the pending write took effect with the given version.
func (m *stateMachine) writeApplied(now time.Time, version winch.Version) {
	pending := m.pendingWrite
	m.pendingWrite, m.mustRead = pendingWrite{}, false
	if pending.release {
		own := record{holder: m.settings.holder, former: m.lease.former, incarnation: m.settings.incarnation, ttl: m.settings.ttl, inFlight: m.settings.inFlight, released: true}
		m.clearLease()
		m.released = true
		m.observed = observation{known: true, version: version, record: own, firstReadAt: now, lastReadAt: now}
		return
	}
	if !m.lease.held {
		m.startTerm(now, version, numberAbove(version, pending.above))
	}
	m.lease.version = version
	m.extendValidity(pending.sent)
}
