package endpoint

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/arbutuswinch/winch"
)

func TestHostThatWasStoppedWaitsForANewList(t *testing.T) {
	// Its last list may be older than the time that an evacuation has to take effect.
	stopped := func(after time.Duration) *evacuationCore {
		ec := newEvacuationCore(PolicyPrefill, 1, 4)
		ec.settings.AwaitList = true
		ec.listReadAt = ec.now
		ec.now = ec.now.Add(after)
		return ec
	}
	t.Run("before its first tick", func(t *testing.T) {
		ec := stopped(5 * time.Second)
		r := ec.request(interactive, 1)
		assert.Equal(t, r.state, requestQueued)
		ec.tick(ec.now)
		ec.advance(500 * time.Millisecond)
		assert.Equal(t, r.state, requestQueued)
		ec.listReadAt = ec.now
		ec.advance(100 * time.Millisecond)
		assert.Equal(t, r.state, requestRunning)
	})
	t.Run("if it was stopped before the first tick of all", func(t *testing.T) {
		ec := stopped(5 * time.Second)
		ec.tickedAt = time.Time{}
		ec.tick(ec.now)
		assert.Equal(t, ec.request(interactive, 1).state, requestQueued)
	})
	t.Run("if no tick has run at all", func(t *testing.T) {
		ec := stopped(5 * time.Second)
		ec.tickedAt = time.Time{}
		assert.Equal(t, ec.request(interactive, 1).state, requestQueued)
	})
	t.Run("also with requests that have a slot", func(t *testing.T) {
		ec := stopped(0)
		r := ec.request(interactive, 1)
		ec.now = ec.now.Add(5 * time.Second)
		assert.Assert(t, ec.holdBack(ec.now, r))
	})
	t.Run("not for long if there is none", func(t *testing.T) {
		ec := stopped(5 * time.Second)
		r := ec.request(interactive, 1)
		ec.tick(ec.now)
		ec.advance(listWait)
		assert.Equal(t, r.state, requestRunning)
	})
	t.Run("not after a short stop", func(t *testing.T) {
		assert.Equal(t, stopped(time.Second).request(interactive, 1).state, requestRunning)
	})
	t.Run("not if a list was read before the first tick", func(t *testing.T) {
		ec := stopped(5 * time.Second)
		ec.listReadAt = ec.now.Add(-10 * time.Millisecond)
		ec.tick(ec.now)
		assert.Equal(t, ec.request(interactive, 1).state, requestRunning)
	})
	t.Run("not without the setting", func(t *testing.T) {
		ec := stopped(5 * time.Second)
		ec.settings.AwaitList = false
		assert.Equal(t, ec.request(interactive, 1).state, requestRunning)
	})
}

func TestEvacuationGuardIsNeeded(t *testing.T) {
	// Without it, requests reach evacuated endpoints, which have the lowest load.
	ec := newEvacuationCore(PolicyWinch, 1, 8)
	ec.evacuate("a")
	for _, l := range ec.sortedLanes {
		l.endpoints = append(l.endpoints, l.evacuated...)
		ec.setSubset(l)
	}
	ec.endpoints["a-0"].serving = true
	ec.refresh(ec.now)
	for i := range 9 {
		ec.request(interactive, i)
	}
	assert.Assert(t, ec.runningIn("a") > 0)
}

// TestNoSequenceSendsToAnEvacuatedEndpoint sends, ends and moves requests, and requests and withdraws evacuations, in any order.
func TestNoSequenceSendsToAnEvacuatedEndpoint(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		policy := rapid.SampledFrom([]Policy{PolicyWinch, PolicyPrefill, PolicyRoundRobin}).Draw(t, "policy")
		ec := newEvacuationCore(policy, 2, 3, "v1", "v1", "v2")
		var open []*request
		checked := len(ec.effects)
		check := func() {
			for _, e := range ec.effects[checked:] {
				if e.kind == effectGranted {
					assert.Assert(t, !e.endpoint.evacuated, "%s", e.endpoint.spec.ID)
				}
			}
			checked = len(ec.effects)
			l := ec.lanes[laneKey{class: interactive, group: group{model: chat}}]
			assert.Assert(t, !l.evacuatedEverywhere() || l.queued+len(l.bound) == 0, "requests wait for evacuated endpoints")
		}
		t.Repeat(map[string]func(*rapid.T){
			"send": func(t *rapid.T) {
				work := workOf(rapid.SampledFrom([]winch.ClassID{interactive, background}).Draw(t, "class"), len(open))
				if rapid.Bool().Draw(t, "resumes") {
					work.Software, work.OutputDone = rapid.SampledFrom([]winch.SoftwareVersion{"v1", "v2"}).Draw(t, "version"), 1
				}
				work.Parts = []winch.PromptPart{{ID: winch.PrefixHash(len(open) % 3), Tokens: 5}, {ID: winch.PrefixHash(1000 + len(open)), Tokens: 5}}
				open = append(open, ec.arrive(ec.now, work, nil, &progress{}))
			},
			"end": func(t *rapid.T) {
				if len(open) > 0 {
					r := rapid.SampledFrom(open).Draw(t, "request")
					ec.release(ec.now, r, rapid.SampledFrom([]winch.Outcome{winch.OutcomeDone, winch.OutcomeFailed, winch.OutcomeUnsent}).Draw(t, "outcome"))
				}
			},
			"evacuate": func(t *rapid.T) {
				ec.evacuate(rapid.SliceOfDistinct(rapid.SampledFrom(centres), func(c winch.DataCentreID) winch.DataCentreID { return c }).Draw(t, "centres")...)
			},
			"wait": func(t *rapid.T) {
				ec.advance(time.Duration(rapid.IntRange(100, 3000).Draw(t, "ms")) * time.Millisecond)
			},
			"": func(*rapid.T) { check() },
		})
	})
}

// racingSource is a winch.EndpointSource that reads a newer list whenever its list is asked for.
type racingSource struct {
	readAt  time.Time
	changed chan struct{}
}

func (s *racingSource) Endpoints() []winch.EndpointStatus {
	s.readAt = s.readAt.Add(time.Second)
	return nil
}
func (s *racingSource) ReadAt() time.Time        { return s.readAt }
func (s *racingSource) Changed() <-chan struct{} { return s.changed }

func TestTimeOfTheListIsNotThatOfANewerOne(t *testing.T) {
	// Requests that wait for a new list would be sent by the one from before.
	first := time.Unix(1000, 0)
	source := &racingSource{readAt: first, changed: make(chan struct{})}
	d, err := New(Options{Configurations: fixedConfigurations{twoClasses(0, 0)}, Source: source, Clock: systemClock{}, Settings: Settings{Tick: time.Millisecond}})
	assert.NilError(t, err)
	t.Run("when it is applied", func(t *testing.T) { assert.Equal(t, d.core.listReadAt, first) })
	t.Run("in a tick while a list waits to be applied", func(t *testing.T) {
		close(source.changed)
		ticker := time.NewTicker(time.Millisecond)
		defer ticker.Stop()
		for range 20 {
			<-time.After(2 * time.Millisecond)
			assert.NilError(t, d.housekeep(t.Context(), ticker, nil, source.changed))
			assert.Equal(t, d.core.listReadAt, first)
		}
	})
}
