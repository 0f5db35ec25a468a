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
	// since is when this version was first read, by this process's clock.
	since time.Time
	// readAt is when it was last read.
	readAt time.Time
}

// holding is the state of the holder.
type holding struct {
	held    bool
	number  winch.FencingNumber
	version winch.Version
	// begins is when the predecessor's orders can no longer be on their way.
	begins     time.Time
	validUntil time.Time
	// written is when the last write was sent.
	written time.Time
}

// attempt is a write whose answer has not come.
type attempt struct {
	pending bool
	write   winch.WriteID
	sent    time.Time
	release bool
}

// core decides what the holder or candidate of one duty does. It does no I/O.
type core struct {
	settings settings
	seen     observation
	holding  holding
	attempt  attempt
	writes   int
	// unsure asks for a read before the next write.
	unsure bool
	// retryAt is when a failed call may be tried again.
	retryAt time.Time
	// closing says that the term is being given up.
	closing  bool
	released bool
	// substitute says that another host is the first to take the duty over; this one looks less often.
	substitute bool
	// standInUntil is until when the duty is held although another host is the
	// candidate, which did not take it over.
	standInUntil time.Time
}

const (
	// patienceTTLs is the number of TTLs after which a holder that gave the duty up
	// takes it back when nobody took it over.
	patienceTTLs = 2
	// standInTTLs is the number of TTLs for which it then holds the duty.
	standInTTLs = 10
)

// term returns the term if it has begun and is valid.
func (c *core) term(now time.Time) (winch.Term, bool) {
	h := c.holding
	if !h.held || c.closing || now.Before(h.begins) || !now.Before(h.validUntil) {
		return winch.Term{}, false
	}
	return winch.Term{Number: h.number, ValidUntil: h.validUntil}, true
}

// next decides what to do now.
func (c *core) next(now time.Time, candidate, stopping bool) action {
	if c.released && stopping {
		return action{step: stepDone}
	}
	if now.Before(c.retryAt) {
		return action{step: stepWait}
	}
	if c.holding.held {
		return c.nextHolder(now, candidate, stopping)
	}
	if stopping {
		return action{step: stepDone}
	}
	if !candidate {
		return c.nextFormer(now)
	}
	return c.nextCandidate(now)
}

// nextFormer decides for a host that is not the candidate. It acts only when its
// own release was not taken up: the candidate may be cut off from the service.
func (c *core) nextFormer(now time.Time) action {
	if !c.released || !c.seen.known {
		return action{step: stepWait}
	}
	if c.unsure {
		return action{step: stepRead}
	}
	if now.Sub(c.seen.since) < patienceTTLs*c.settings.ttl {
		return action{step: stepWait}
	}
	c.standInUntil = now.Add(standInTTLs * c.settings.ttl)
	return c.write(now, stepWrite, c.seen.version, false)
}

func (c *core) nextHolder(now time.Time, candidate, stopping bool) action {
	if c.unsure {
		return action{step: stepRead}
	}
	leaves := !candidate && !now.Before(c.standInUntil)
	if stopping || leaves || c.closing {
		c.closing = true
		return c.write(now, stepRelease, c.holding.version, true)
	}
	if now.Sub(c.holding.written) >= c.settings.renewEvery {
		return c.write(now, stepWrite, c.holding.version, false)
	}
	return action{step: stepWait}
}

func (c *core) nextCandidate(now time.Time) action {
	s := c.seen
	switch {
	case c.unsure || !s.known:
		return action{step: stepRead}
	case s.absent:
		return c.write(now, stepWrite, winch.VersionAbsent, false)
	case s.record.released || now.Sub(s.since) >= s.record.ttl:
		return c.write(now, stepWrite, s.version, false)
	case now.Sub(s.readAt) >= c.observeEvery():
		return action{step: stepRead}
	}
	return action{step: stepWait}
}

// observeEvery is the time between two looks at the record of another holder.
func (c *core) observeEvery() time.Duration {
	if c.substitute {
		return c.settings.ttl
	}
	return c.settings.renewEvery
}

// write prepares a write of the record. A new term's record has no number yet.
func (c *core) write(now time.Time, kind step, expect winch.Version, released bool) action {
	c.writes++
	c.attempt = attempt{
		pending: true,
		write:   winch.WriteID(string(c.settings.incarnation) + "/" + strconv.Itoa(c.writes)),
		sent:    now,
		release: released,
	}
	c.holding.written = now
	return action{step: kind, expect: expect, record: record{
		holder:      c.settings.holder,
		incarnation: c.settings.incarnation,
		write:       c.attempt.write,
		number:      c.holding.number,
		ttl:         c.settings.ttl,
		inFlight:    c.settings.inFlight,
		released:    released,
	}}
}

// wrote takes in how the write ended. Now is when its answer came.
func (c *core) wrote(now time.Time, version winch.Version, outcome result) {
	switch outcome {
	case resultDone:
		c.effective(now, version)
	case resultConflict, resultUnknown:
		c.unsure = true
	case resultFailed:
		c.attempt = attempt{}
		c.holding.written = time.Time{}
		c.retryAt = now.Add(c.backoff())
	}
}

// effective notes that the pending write took effect with the version.
func (c *core) effective(now time.Time, version winch.Version) {
	pending := c.attempt
	c.attempt, c.unsure = attempt{}, false
	if pending.release {
		c.drop()
		c.released = true
		own := record{incarnation: c.settings.incarnation, ttl: c.settings.ttl, inFlight: c.settings.inFlight, released: true}
		c.seen = observation{known: true, version: version, record: own, since: now, readAt: now}
		return
	}
	if !c.holding.held {
		c.begin(now, version, winch.FencingNumber(version))
	}
	c.holding.version = version
	c.extend(pending.sent)
}

// begin starts a term at the present time, when the record is already this process's.
func (c *core) begin(now time.Time, version winch.Version, number winch.FencingNumber) {
	c.holding.held = true
	c.holding.number = number
	c.holding.version = version
	c.holding.begins = now.Add(c.wait())
	c.holding.validUntil = time.Time{}
	c.closing, c.released = false, false
}

// wait returns how long the predecessor's orders may still be on their way. Where there
// was no record it may have been removed while a holder was valid.
func (c *core) wait() time.Duration {
	if !c.seen.known || c.seen.absent {
		return c.settings.ttl + c.settings.inFlight
	}
	return max(c.settings.inFlight, c.seen.record.inFlight)
}

// extend counts the validity from the instant before the write was sent.
func (c *core) extend(sent time.Time) {
	until := sent.Add(c.settings.ttl - c.settings.drift)
	if until.After(c.holding.validUntil) {
		c.holding.validUntil = until
	}
}

// drop forgets the term.
func (c *core) drop() {
	written := c.holding.written
	c.holding = holding{written: written}
	c.closing = false
}

// read takes in the record as it was read. Now is when the answer came.
func (c *core) read(now time.Time, absent bool, version winch.Version, found record) {
	c.unsure = false
	if !absent && found.incarnation == c.settings.incarnation && !found.released {
		c.readOwn(now, version, found)
		return
	}
	if !absent && c.attempt.pending && found.write == c.attempt.write {
		c.effective(now, version)
		return
	}
	c.attempt = attempt{}
	c.drop()
	c.released = !absent && found.released && found.incarnation == c.settings.incarnation
	if c.seen.known && c.seen.absent == absent && c.seen.version == version {
		c.seen.readAt = now
		return
	}
	c.seen = observation{known: true, absent: absent, version: version, record: found, since: now, readAt: now}
}

// readOwn takes in a record that this process wrote. A record of a write other
// than the pending one was put by an earlier write that arrived late: the term is
// held, but its validity is not extended.
func (c *core) readOwn(now time.Time, version winch.Version, found record) {
	matches := c.attempt.pending && found.write == c.attempt.write
	if matches {
		c.effective(now, version)
		return
	}
	c.attempt = attempt{}
	number := found.number
	if number == 0 {
		number = winch.FencingNumber(version)
	}
	if !c.holding.held {
		c.begin(now, version, number)
	}
	c.holding.version = version
	c.holding.written = time.Time{}
}

// failedRead notes that the record could not be read.
func (c *core) failedRead(now time.Time) { c.retryAt = now.Add(c.backoff()) }

// abandonRelease gives the term up without telling, since work of it is still under way.
func (c *core) abandonRelease() {
	c.attempt = attempt{}
	c.drop()
	c.released = true
	c.seen = observation{}
}

func (c *core) backoff() time.Duration { return c.settings.renewEvery / 4 }
