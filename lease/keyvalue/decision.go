package keyvalue

import (
	"time"

	"github.com/arbutuswinch/winch"
)

const (
	// reclaimAfterTTLs is the number of TTLs after which a process that released the lease
	// acquires it again, if no other process did.
	reclaimAfterTTLs = 2
	// interimLengthTTLs is the number of TTLs for which that process then holds the lease.
	interimLengthTTLs = 10
)

// next returns the action to take now. Candidate means that this host may acquire the
// lease, and stopping that the process is shutting down.
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

// nextFormerHolder returns the action of a host that is not the candidate. It acts only
// when it released the lease and the candidate did not acquire it, since the candidate
// may have no connection to the key-value service.
func (m *stateMachine) nextFormerHolder(now time.Time) action {
	if !m.released || !m.observed.known {
		return action{step: stepWait}
	}
	if m.mustRead {
		return action{step: stepRead}
	}
	if now.Sub(m.observed.firstReadAt) < reclaimAfterTTLs*m.settings.ttl {
		return action{step: stepWait}
	}
	m.interimUntil = now.Add(interimLengthTTLs * m.settings.ttl)
	return m.prepareWrite(now, stepWrite, m.observed.version, false)
}

// nextHolder returns the action of the holder: release the lease, renew it or wait.
func (m *stateMachine) nextHolder(now time.Time, candidate, stopping bool) action {
	if m.mustRead {
		return action{step: stepRead}
	}
	mustYield := !candidate && !now.Before(m.interimUntil)
	if stopping || mustYield || m.releasing {
		m.releasing = true
		return m.prepareWrite(now, stepRelease, m.lease.version, true)
	}
	if now.Sub(m.lease.lastWriteAt) >= m.settings.renewEvery {
		return m.prepareWrite(now, stepWrite, m.lease.version, false)
	}
	return action{step: stepWait}
}

// nextCandidate returns the action of a candidate without the lease: acquire the lease when
// the record is absent, released or unchanged for its TTL, and otherwise read the record at
// intervals.
func (m *stateMachine) nextCandidate(now time.Time) action {
	o := m.observed
	expired := now.Sub(o.firstReadAt) >= o.record.ttl
	switch {
	case m.mustRead || !o.known:
		return action{step: stepRead}
	case o.absent:
		return m.prepareWrite(now, stepWrite, winch.VersionAbsent, false)
	case m.standby && !o.record.released && now.Sub(o.lastReadAt) >= m.settings.renewEvery && expired:
		// A standby reads rarely, so that the holder may have renewed the record since.
		return action{step: stepRead}
	case o.record.released || expired:
		return m.prepareWrite(now, stepWrite, o.version, false)
	case now.Sub(o.lastReadAt) >= m.pollInterval():
		return action{step: stepRead}
	}
	return action{step: stepWait}
}

// pollInterval returns the time between reads of another holder's record.
func (m *stateMachine) pollInterval() time.Duration {
	if m.standby {
		return m.settings.ttl
	}
	return m.settings.renewEvery
}
