package keyvalue

import (
	"time"

	"github.com/arbutuswinch/winch"
)

// step is what the state machine asks its caller to do.
type step int

const (
	stepWait step = iota
	// stepRead means to read the record.
	stepRead
	// stepWrite means to write the action's record.
	stepWrite
	// stepRelease means to wait until no work of the term is in progress, and then to
	// write the action's record.
	stepRelease
	// stepDone means to end the loop.
	stepDone
)

// action is one decision of the state machine. The record is written only if the stored
// version is still the expected one.
type action struct {
	step   step
	record record
	expect winch.Version
}

// settings are the settings of a state machine. Options describes them.
type settings struct {
	holder      winch.HostID
	incarnation winch.Incarnation
	ttl         time.Duration
	renewEvery  time.Duration
	inFlight    time.Duration
	drift       time.Duration
}

// observation is the record as it was last read or written.
type observation struct {
	// known is false before the first read.
	known bool
	// absent means that there was no record.
	absent  bool
	version winch.Version
	record  record
	// firstReadAt is when this process first read this version, by its own clock.
	firstReadAt time.Time
	// lastReadAt is when this process last read it.
	lastReadAt time.Time
}

// stateMachine decides the next step of a holder of one duty, or of a host that may
// become its holder. It does no I/O.
type stateMachine struct {
	settings     settings
	observed     observation
	lease        lease
	pendingWrite pendingWrite
	writes       int
	// highest is the highest fencing number that this process knows of.
	highest winch.FencingNumber
	// era is the newest era of the versions that were read or written, and eraSeenAt when it was first seen, if it is not zero.
	era       winch.Era
	eraSeenAt time.Time
	// mustRead means that the record must be read before the next write.
	mustRead bool
	// retryAt is when a failed call may be repeated.
	retryAt time.Time
	// releasing means that the lease is being released. No work may begin.
	releasing bool
	// released is set when this process has released the lease, until it acquires the lease
	// again or reads that the record has changed. It is also set when a release was
	// abandoned. A process that is stopping may then exit. After a release, but not after an
	// abandoned one, the process may acquire the lease again although it is not the candidate.
	released bool
	// standby is set if Membership names another host as the candidate, for whom this one may stand in.
	// This host reads the record less often.
	standby bool
	// interimUntil is the end of the time for which the lease is held although another
	// host is the candidate, because that host did not acquire it.
	interimUntil time.Time
}

// abandonRelease ends the term without a write, since work of the term is still in
// progress. Another host can acquire the lease after its TTL.
func (m *stateMachine) abandonRelease() {
	m.pendingWrite = pendingWrite{}
	m.clearLease()
	m.released = true
	m.observed = observation{}
}

// backoff returns the time to wait after a failed call.
func (m *stateMachine) backoff() time.Duration { return m.settings.renewEvery / 4 }
