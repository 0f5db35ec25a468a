package keyvalue

import (
	"strconv"
	"time"

	"github.com/arbutuswinch/winch"
)

// step is what the core asks of the loop around it.
type step int

const (
	stepWait step = iota
	// stepRead reads the record.
	stepRead
	// stepWrite puts the record of the action.
	stepWrite
	// stepRelease waits until no work of the term is under way, then puts the record.
	stepRelease
	// stepDone ends the loop.
	stepDone
)

// action is one decision of the core.
type action struct {
	step   step
	record record
	expect winch.Version
}

// result is how a write ended.
type result int

const (
	resultDone result = iota
	// resultConflict: the record was not as expected.
	resultConflict
	// resultUnknown: the write may have taken effect, or may do so later.
	resultUnknown
	// resultFailed: the write had no effect.
	resultFailed
)

// settings bind the core.
type settings struct {
	holder      winch.HostID
	incarnation winch.Incarnation
	ttl         time.Duration
	renewEvery  time.Duration
	inFlight    time.Duration
	drift       time.Duration
}

// observation is the record as it was last read.
type observation struct {
	known   bool
	absent  bool
	version winch.Version
	record  record
	// firstReadAt is when this version was first read, by this process's clock.
	firstReadAt time.Time
	// lastReadAt is when it was last read.
	lastReadAt time.Time
}

// lease is the state of the holder.
type lease struct {
	held    bool
	number  winch.FencingNumber
	version winch.Version
	// beginsAt is when the predecessor's orders can no longer be on their way.
	beginsAt   time.Time
	validUntil time.Time
	// lastWriteAt is when the last write was sent.
	lastWriteAt time.Time
}

// pendingWrite is a write whose answer has not come.
type pendingWrite struct {
	pending bool
	write   winch.WriteID
	sent    time.Time
	release bool
}

// stateMachine decides what the holder or candidate of one duty does. It does no I/O.
type stateMachine struct {
	settings     settings
	observed     observation
	lease        lease
	pendingWrite pendingWrite
	writes       int
	// mustRead asks for a read before the next write.
	mustRead bool
	// retryAt is when a failed call may be tried again.
	retryAt time.Time
	// releasing says that the term is being given up.
	releasing bool
	released  bool
	// standby says that another host is the first to take the duty over; this one looks less often.
	standby bool
	// interimUntil is until when the duty is held although another host is the
	// candidate, which did not take it over.
	interimUntil time.Time
}

const (
	// reclaimTTLs is the number of TTLs after which a holder that gave the duty up
	// takes it back when nobody took it over.
	reclaimTTLs = 2
	// interimTTLs is the number of TTLs for which it then holds the duty.
	interimTTLs = 10
)

// term returns the term if it has begun and is valid.
func (m *stateMachine) term(now time.Time) (winch.Term, bool) {
	l := m.lease
	if !l.held || m.releasing || now.Before(l.beginsAt) || !now.Before(l.validUntil) {
		return winch.Term{}, false
	}
	return winch.Term{Number: l.number, ValidUntil: l.validUntil}, true
}

// next decides what to do now.
func (m *stateMachine) next(now time.Time, candidate, stopping bool) action {
	if m.released && stopping {
		return action{step: stepDone}
	}
	if now.Before(m.retryAt) {
		return action{step: stepWait}
	}
	if m.lease.held {
		return m.nextHolder(now, candidate, stopping)
	}
	if stopping {
		return action{step: stepDone}
	}
	if !candidate {
		return m.nextFormerHolder(now)
	}
	return m.nextCandidate(now)
}

// nextFormerHolder decides for a host that is not the candidate. It acts only when its
// own release was not taken up: the candidate may be cut off from the service.
func (m *stateMachine) nextFormerHolder(now time.Time) action {
	if !m.released || !m.observed.known {
		return action{step: stepWait}
	}
	if m.mustRead {
		return action{step: stepRead}
	}
	if now.Sub(m.observed.firstReadAt) < reclaimTTLs*m.settings.ttl {
		return action{step: stepWait}
	}
	m.interimUntil = now.Add(interimTTLs * m.settings.ttl)
	return m.prepareWrite(now, stepWrite, m.observed.version, false)
}

func (m *stateMachine) nextHolder(now time.Time, candidate, stopping bool) action {
	if m.mustRead {
		return action{step: stepRead}
	}
	leaves := !candidate && !now.Before(m.interimUntil)
	if stopping || leaves || m.releasing {
		m.releasing = true
		return m.prepareWrite(now, stepRelease, m.lease.version, true)
	}
	if now.Sub(m.lease.lastWriteAt) >= m.settings.renewEvery {
		return m.prepareWrite(now, stepWrite, m.lease.version, false)
	}
	return action{step: stepWait}
}

func (m *stateMachine) nextCandidate(now time.Time) action {
	o := m.observed
	switch {
	case m.mustRead || !o.known:
		return action{step: stepRead}
	case o.absent:
		return m.prepareWrite(now, stepWrite, winch.VersionAbsent, false)
	case o.record.released || now.Sub(o.firstReadAt) >= o.record.ttl:
		return m.prepareWrite(now, stepWrite, o.version, false)
	case now.Sub(o.lastReadAt) >= m.pollInterval():
		return action{step: stepRead}
	}
	return action{step: stepWait}
}

// pollInterval is the time between two looks at the record of another holder.
func (m *stateMachine) pollInterval() time.Duration {
	if m.standby {
		return m.settings.ttl
	}
	return m.settings.renewEvery
}

// prepareWrite prepares a write of the record. A new term's record has no number yet.
func (m *stateMachine) prepareWrite(now time.Time, kind step, expect winch.Version, released bool) action {
	m.writes++
	m.pendingWrite = pendingWrite{
		pending: true,
		write:   winch.WriteID(string(m.settings.incarnation) + "/" + strconv.Itoa(m.writes)),
		sent:    now,
		release: released,
	}
	m.lease.lastWriteAt = now
	return action{step: kind, expect: expect, record: record{
		holder:      m.settings.holder,
		incarnation: m.settings.incarnation,
		write:       m.pendingWrite.write,
		number:      m.lease.number,
		ttl:         m.settings.ttl,
		inFlight:    m.settings.inFlight,
		released:    released,
	}}
}

// writeCompleted takes in how the write ended. Now is when its answer came.
func (m *stateMachine) writeCompleted(now time.Time, version winch.Version, outcome result) {
	switch outcome {
	case resultDone:
		m.writeApplied(now, version)
	case resultConflict, resultUnknown:
		m.mustRead = true
	case resultFailed:
		m.pendingWrite = pendingWrite{}
		m.lease.lastWriteAt = time.Time{}
		m.retryAt = now.Add(m.backoff())
	}
}

// writeApplied notes that the pending write took effect with the version.
func (m *stateMachine) writeApplied(now time.Time, version winch.Version) {
	pending := m.pendingWrite
	m.pendingWrite, m.mustRead = pendingWrite{}, false
	if pending.release {
		m.clearLease()
		m.released = true
		own := record{incarnation: m.settings.incarnation, ttl: m.settings.ttl, inFlight: m.settings.inFlight, released: true}
		m.observed = observation{known: true, version: version, record: own, firstReadAt: now, lastReadAt: now}
		return
	}
	if !m.lease.held {
		m.startTerm(now, version, winch.FencingNumber(version))
	}
	m.lease.version = version
	m.extendValidity(pending.sent)
}

// startTerm starts a term at the present time, when the record is already this process's.
func (m *stateMachine) startTerm(now time.Time, version winch.Version, number winch.FencingNumber) {
	m.lease.held = true
	m.lease.number = number
	m.lease.version = version
	m.lease.beginsAt = now.Add(m.predecessorWait())
	m.lease.validUntil = time.Time{}
	m.releasing, m.released = false, false
}

// predecessorWait returns how long the predecessor's orders may still be on their way. Where there
// was no record it may have been removed while a holder was valid.
func (m *stateMachine) predecessorWait() time.Duration {
	if !m.observed.known || m.observed.absent {
		return m.settings.ttl + m.settings.inFlight
	}
	return max(m.settings.inFlight, m.observed.record.inFlight)
}

// extendValidity counts the validity from the instant before the write was sent.
func (m *stateMachine) extendValidity(sent time.Time) {
	until := sent.Add(m.settings.ttl - m.settings.drift)
	if until.After(m.lease.validUntil) {
		m.lease.validUntil = until
	}
}

// clearLease forgets the term.
func (m *stateMachine) clearLease() {
	lastWriteAt := m.lease.lastWriteAt
	m.lease = lease{lastWriteAt: lastWriteAt}
	m.releasing = false
}

// readCompleted takes in the record as it was read. Now is when the answer came.
func (m *stateMachine) readCompleted(now time.Time, absent bool, version winch.Version, found record) {
	m.mustRead = false
	if !absent && found.incarnation == m.settings.incarnation && !found.released {
		m.ownRecordRead(now, version, found)
		return
	}
	if !absent && m.pendingWrite.pending && found.write == m.pendingWrite.write {
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

// ownRecordRead takes in a record that this process wrote. A record of a write other
// than the pending one was put by an earlier write that arrived late: the term is
// held, but its validity is not extended.
func (m *stateMachine) ownRecordRead(now time.Time, version winch.Version, found record) {
	matches := m.pendingWrite.pending && found.write == m.pendingWrite.write
	if matches {
		m.writeApplied(now, version)
		return
	}
	m.pendingWrite = pendingWrite{}
	number := found.number
	if number == 0 {
		number = winch.FencingNumber(version)
	}
	if !m.lease.held {
		m.startTerm(now, version, number)
	}
	m.lease.version = version
	m.lease.lastWriteAt = time.Time{}
}

// readFailed notes that the record could not be read.
func (m *stateMachine) readFailed(now time.Time) { m.retryAt = now.Add(m.backoff()) }

// abandonRelease gives the term up without telling, since work of it is still under way.
func (m *stateMachine) abandonRelease() {
	m.pendingWrite = pendingWrite{}
	m.clearLease()
	m.released = true
	m.observed = observation{}
}

func (m *stateMachine) backoff() time.Duration { return m.settings.renewEvery / 4 }
