package endpoint

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/arbutuswinch/winch"
)

// cachingEngine reads prompts one after the other, but for the parts that it read before.
type cachingEngine struct {
	busyUntil time.Time
	cached    map[winch.PrefixHash]bool
}

// read returns when the prompt is read, and how many tokens of shared parts it took.
func (e *cachingEngine) read(now time.Time, tokens winch.Tokens, parts []winch.PromptPart) (time.Time, winch.Tokens) {
	hash, shared := winch.PrefixHash(0), winch.Tokens(0)
	for i, part := range parts {
		hash = chainHash(hash, part.ID)
		switch {
		case e.cached[hash]:
			tokens -= part.Tokens
		case i+1 < len(parts):
			shared += part.Tokens
		}
		e.cached[hash] = true
	}
	if e.busyUntil.Before(now) {
		e.busyUntil = now
	}
	e.busyUntil = e.busyUntil.Add(time.Duration(float64(tokens)/prefillTokensPerMillisecond) * time.Millisecond)
	return e.busyUntil, shared
}

// subjectResult is what a play of requests on subjects came to.
type subjectResult struct {
	// inTime is the part of the requests whose first token came within target.
	inTime float64
	// readRatio is how often the shared tokens were read, where once is the least that all
	// subjects together ask for.
	readRatio float64
}

// simulateSubjects plays a minute of prompts on subjects, of which some are asked for more often.
func simulateSubjects(subjects int, gap time.Duration) subjectResult {
	const common, subject, own = 2500, 3800, 2900
	c, now := newPrefillCore(12, PolicyPrompts)
	random := rand.New(rand.NewPCG(1, 1))
	engines := map[winch.EndpointID]*cachingEngine{}
	open := map[*request]time.Time{}
	inTime, read, asked := 0, winch.Tokens(0), 0
	for end := now.Add(time.Minute); now.Before(end); now = now.Add(gap) {
		for r, first := range open {
			if now.Before(first) {
				continue
			}
			r.progress.first.Store(first.UnixNano())
			c.collect(now, r)
			c.release(now, r, winch.OutcomeDone)
			delete(open, r)
		}
		c.tick(now)
		chosen := int(random.Float64() * random.Float64() * float64(subjects))
		parts := []winch.PromptPart{{ID: 1, Tokens: common}, {ID: winch.PrefixHash(10 + chosen), Tokens: subject}, {ID: winch.PrefixHash(1_000_000 + asked), Tokens: own}}
		asked++
		r := c.submit(now, asked, "plan", common+subject+own, parts...)
		if r.endpoint == nil {
			continue
		}
		e, found := engines[r.endpoint.spec.ID]
		if !found {
			e = &cachingEngine{cached: map[winch.PrefixHash]bool{}}
			engines[r.endpoint.spec.ID] = e
		}
		first, shared := e.read(now, r.work.InputTokens, parts)
		if first.Sub(now) <= c.configuration.Classes["plan"].FirstTokenTarget {
			inTime++
		}
		read += shared
		open[r] = first
	}
	least := subjects*subject + len(engines)*common
	return subjectResult{inTime: float64(inTime) / float64(asked), readRatio: float64(read) / float64(least)}
}

// TestSharedSubjects plays the load that waiting for kept parts answers: long prompts on subjects
// that come back, more of them than would be read in full.
func TestSharedSubjects(t *testing.T) {
	t.Run("many are read by few engines each", func(t *testing.T) {
		result := simulateSubjects(150, 10*time.Millisecond)
		t.Logf("%+v", result)
		assert.Assert(t, result.readRatio < 1.5)
		assert.Assert(t, result.inTime > 0.95)
	})
	t.Run("one that asks for more than an engine reads is read by others as well", func(t *testing.T) {
		result := simulateSubjects(1, 10*time.Millisecond)
		t.Logf("%+v", result)
		assert.Assert(t, result.inTime > 0.95)
	})
}
