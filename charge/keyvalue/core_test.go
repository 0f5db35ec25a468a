package keyvalue

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/arbutuswinch/winch"
)

// simulatedSteps is the length of one simulated run.
const simulatedSteps = 2000

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func newCore(name string) core {
	return core{settings: settings{
		holder: winch.HostID(name), incarnation: winch.Incarnation(name),
		ttl: defaultTTL, renewEvery: defaultRenewEvery, inFlight: defaultInFlight, drift: defaultDrift,
	}}
}

// simulation runs cores over one record, with calls that take effect late or never.
type simulation struct {
	t         *rapid.T
	now       time.Duration
	version   winch.Version
	current   winch.Version
	record    record
	processes []*process
	delayed   []action
	// frozen is a process that is paused.
	frozen *process
}

type process struct {
	core     core
	rate     float64
	offset   time.Duration
	call     *action
	inCharge bool
	lastUsed time.Duration
	used     bool
}

func (s *simulation) local(p *process) time.Time {
	return start.Add(p.offset + time.Duration(float64(s.now)*p.rate))
}

func (s *simulation) apply(a action) (winch.Version, result) {
	if a.expect != s.current {
		return 0, resultConflict
	}
	s.version++
	s.current, s.record = s.version, a.record
	return s.version, resultDone
}

func (s *simulation) decide(p *process) {
	if p.call != nil {
		return
	}
	candidate := rapid.IntRange(0, 9).Draw(s.t, "candidate") > 0
	if next := p.core.next(s.local(p), candidate, false); next.step != stepWait {
		p.call = &next
	}
}

func (s *simulation) answer(p *process) {
	if p.call == nil {
		return
	}
	call := *p.call
	p.call = nil
	fate := rapid.IntRange(0, 5).Draw(s.t, "fate")
	if call.step == stepRead {
		s.answerRead(p, fate)
		return
	}
	switch fate {
	case 0: // The write is still on its way when the writer gives up waiting.
		s.delayed = append(s.delayed, call)
		p.core.wrote(s.local(p), 0, resultUnknown)
	case 1: // The answer is lost after the effect.
		s.apply(call)
		p.core.wrote(s.local(p), 0, resultUnknown)
	case 2:
		p.core.wrote(s.local(p), 0, resultFailed)
	default:
		version, outcome := s.apply(call)
		p.core.wrote(s.local(p), version, outcome)
	}
}

func (s *simulation) answerRead(p *process, fate int) {
	if fate == 0 {
		p.core.failedRead(s.local(p))
		return
	}
	p.core.read(s.local(p), s.current == 0, s.current, s.record)
}

// check asserts that terms never overlap, and that orders of one have arrived before the next begins.
func (s *simulation) check() {
	for _, p := range s.processes {
		_, held := p.core.term(s.local(p))
		if held && !p.inCharge {
			s.checkBegin(p)
		}
		p.inCharge = held
		if held {
			p.lastUsed, p.used = s.now, true
		}
	}
}

func (s *simulation) checkBegin(p *process) {
	inFlight := time.Duration(float64(defaultInFlight) * 0.98)
	for _, other := range s.processes {
		if other == p || !other.used {
			continue
		}
		if s.now < other.lastUsed+inFlight {
			s.t.Fatalf("%s begins at %s, %s was in charge at %s", p.core.settings.holder, s.now, other.core.settings.holder, other.lastUsed)
		}
	}
}

func TestTermsNeverOverlap(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := &simulation{t: t}
		for i := range 3 {
			s.processes = append(s.processes, &process{
				core:   newCore(fmt.Sprintf("host-%d", i)),
				rate:   rapid.Float64Range(0.99, 1.01).Draw(t, "rate"),
				offset: time.Duration(rapid.IntRange(0, 10000).Draw(t, "offset")) * time.Second,
			})
		}
		for range simulatedSteps {
			s.step(s.processes[rapid.IntRange(0, 2).Draw(t, "process")])
			s.check()
		}
	})
}

// step lets one thing happen, to the process if it concerns one.
func (s *simulation) step(p *process) {
	kind := rapid.IntRange(0, 20).Draw(s.t, "step")
	if p == s.frozen && kind < 12 {
		return
	}
	switch kind {
	case 0, 1, 2, 3, 4, 5:
		s.decide(p)
	case 6, 7, 8, 9, 10, 11:
		s.answer(p)
	case 12, 13, 14, 15:
		s.now += time.Duration(rapid.IntRange(1, 100).Draw(s.t, "ms")) * time.Millisecond
	case 16, 17:
		s.now += time.Duration(rapid.IntRange(1, 3000).Draw(s.t, "ms")) * time.Millisecond
	case 18, 19:
		if len(s.delayed) > 0 {
			s.apply(s.delayed[0])
			s.delayed = s.delayed[1:]
		}
	case 20:
		s.frozen = p
	}
}

// acquire lets the core acquire the duty over the observed record.
func acquire(t *testing.T, c *core, now time.Time, version winch.Version) {
	t.Helper()
	next := c.next(now, true, false)
	assert.Equal(t, next.step, stepWrite)
	c.wrote(now, version, resultDone)
}

func TestCore(t *testing.T) {
	other := record{holder: "other", incarnation: "other", ttl: defaultTTL, inFlight: defaultInFlight}
	t.Run("waits for the whole TTL and the orders in flight", func(t *testing.T) {
		c := newCore("a")
		c.read(start, false, 4, other)
		assert.Equal(t, c.next(start.Add(defaultTTL-1), true, false).step, stepRead)
		acquire(t, &c, start.Add(defaultTTL), 5)
		begins := start.Add(defaultTTL + defaultInFlight)
		_, held := c.term(begins.Add(-1))
		assert.Assert(t, !held)
		term, held := c.term(begins)
		assert.Assert(t, held)
		assert.Equal(t, term.Number, winch.FencingNumber(5))
	})
	t.Run("a renewal starts the observation anew", func(t *testing.T) {
		c := newCore("a")
		c.read(start, false, 4, other)
		c.read(start.Add(5*time.Second), false, 6, other)
		assert.Equal(t, c.next(start.Add(defaultTTL), true, false).step, stepWait)
	})
	t.Run("a released record is taken at once but begins later", func(t *testing.T) {
		c := newCore("a")
		released := other
		released.released = true
		c.read(start, false, 4, released)
		acquire(t, &c, start, 5)
		_, held := c.term(start.Add(defaultInFlight - 1))
		assert.Assert(t, !held)
		_, held = c.term(start.Add(defaultInFlight))
		assert.Assert(t, held)
	})
	t.Run("validity counts from before the request", func(t *testing.T) {
		c := newCore("a")
		c.read(start, true, 0, record{})
		c.next(start, true, false)
		c.wrote(start.Add(time.Second), 5, resultDone)
		assert.DeepEqual(t, c.holding.validUntil, start.Add(defaultTTL-defaultDrift))
	})
	t.Run("a lost answer is read back", func(t *testing.T) {
		c := newCore("a")
		c.read(start, true, 0, record{})
		write := c.next(start, true, false)
		c.wrote(start.Add(time.Second), 0, resultUnknown)
		assert.Equal(t, c.next(start.Add(time.Second), true, false).step, stepRead)
		c.read(start.Add(2*time.Second), false, 7, write.record)
		assert.Equal(t, c.holding.number, winch.FencingNumber(7))
		assert.DeepEqual(t, c.holding.validUntil, start.Add(defaultTTL-defaultDrift))
	})
	t.Run("only the candidate acts", func(t *testing.T) {
		c := newCore("a")
		assert.Equal(t, c.next(start, false, false).step, stepWait)
		acquireAfterAbsence(t, &c)
		assert.Equal(t, c.next(start, false, false).step, stepRelease)
	})
}

func TestFormerHolder(t *testing.T) {
	released := func(t *testing.T) (*core, time.Time) {
		c := newCore("a")
		acquireAfterAbsence(t, &c)
		assert.Equal(t, c.next(start, false, false).step, stepRelease)
		c.wrote(start, 2, resultDone)
		return &c, start.Add(patienceTTLs * defaultTTL)
	}
	t.Run("takes the duty back when nobody took it over", func(t *testing.T) {
		c, patient := released(t)
		assert.Equal(t, c.next(patient.Add(-1), false, false).step, stepWait)
		back := c.next(patient, false, false)
		assert.Equal(t, back.step, stepWrite)
		assert.Equal(t, back.expect, winch.Version(2))
		c.wrote(patient, 3, resultDone)
		_, held := c.term(patient.Add(defaultInFlight))
		assert.Assert(t, held)
		assert.Equal(t, c.next(patient.Add(defaultRenewEvery), false, false).step, stepWrite)
	})
	t.Run("gives it up again after a while", func(t *testing.T) {
		c, patient := released(t)
		c.next(patient, false, false)
		c.wrote(patient, 3, resultDone)
		assert.Equal(t, c.next(patient.Add(standInTTLs*defaultTTL), false, false).step, stepRelease)
	})
	t.Run("leaves it to whoever took it over", func(t *testing.T) {
		c, patient := released(t)
		c.next(patient, false, false)
		c.wrote(patient, 0, resultConflict)
		assert.Equal(t, c.next(patient, false, false).step, stepRead)
		c.read(patient, false, 5, record{holder: "b", incarnation: "b", ttl: defaultTTL})
		assert.Equal(t, c.next(patient.Add(time.Hour), false, false).step, stepWait)
	})
	t.Run("does nothing without a release of its own", func(t *testing.T) {
		c := newCore("a")
		c.read(start, false, 2, record{incarnation: "b", released: true, ttl: defaultTTL})
		assert.Equal(t, c.next(start.Add(time.Hour), false, false).step, stepWait)
	})
}

func acquireAfterAbsence(t *testing.T, c *core) {
	t.Helper()
	c.read(start, true, 0, record{})
	acquire(t, c, start, 1)
}
