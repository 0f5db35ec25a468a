package endpoint

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"gotest.tools/v3/assert"

	"github.com/arbutuswinch/winch"
)

// hotSubject is the shared part of a hot load.
const hotSubject = winch.PrefixHash(99_999)

// fleetPrompt is a part of a prompt in the memory of an engine.
type fleetPrompt struct {
	part   winch.PrefixHash
	tokens winch.Tokens
}

// use reports whether the engine had the shared part of the request's prompt in its memory, and puts it there.
func (f *fleet) use(e *fleetEngine, q *fleetRequest) bool {
	held := false
	if f.sharesMemory {
		held = e.usePrompts(q, f.memory-e.memoryUse())
	} else {
		held = e.use(q.subject, q.class.shared)
	}
	if !held && f.read != nil && f.now.Sub(f.start) >= 2*time.Second {
		f.read[q.class.id] += q.class.shared
	}
	return held
}

// usePrompts drops the least recently used prompts until the others fit into the room.
func (e *fleetEngine) usePrompts(q *fleetRequest, room winch.Tokens) bool {
	at := slices.IndexFunc(e.prompts, func(p fleetPrompt) bool { return p.part == q.subject })
	if at >= 0 {
		e.cachedTokens -= e.prompts[at].tokens
		e.prompts = slices.Delete(e.prompts, at, at+1)
	}
	e.prompts = append(e.prompts, fleetPrompt{tokens: q.class.own}, fleetPrompt{part: q.subject, tokens: q.class.shared})
	e.cachedTokens += q.class.own + q.class.shared
	for e.cachedTokens > max(room, q.class.shared) && len(e.prompts) > 1 {
		e.cachedTokens -= e.prompts[0].tokens
		e.prompts = e.prompts[1:]
	}
	return at >= 0
}

// prefixLoad is a simulated load on engines that keep earlier prompts in their memory.
type prefixLoad struct {
	classes  []fleetClass
	engines  int
	memory   winch.Tokens
	hotShare float64
	// paces are the usual paces of the engines, in turn.
	paces []winch.Pace
	seed  uint64
}

type prefixResult struct {
	counts map[winch.ClassID]fleetCounts
	// read is the number of shared tokens processed, and began that of the requests that began, both from second 2.
	read  map[winch.ClassID]winch.Tokens
	began map[winch.ClassID]int
	// expected is the share of the shared tokens that the hosts expected to be held.
	expected map[winch.ClassID]float64
}

func (p prefixLoad) run(weighed bool) prefixResult {
	f := newFleetOf(p.classes, 60, p.engines)
	f.random, f.hints, f.memory = rand.New(rand.NewPCG(p.seed, 7)), rand.New(rand.NewPCG(3, p.seed)), p.memory
	f.paces = rand.New(rand.NewPCG(8, p.seed))
	f.sharesMemory, f.hotShare, f.read = true, p.hotShare, map[winch.ClassID]winch.Tokens{}
	for i, id := range f.ids {
		if len(p.paces) > 0 {
			f.engines[id].usualPace, f.statesPaces = p.paces[i%len(p.paces)], true
		}
	}
	f.configuration.Engines = memoryOf(p.memory)
	f.each(func(c *core) {
		// The two parts cannot be selected together.
		c.features.prefixCache, c.features.completion = weighed, false
		c.configure(f.now, f.configuration, f.statuses)
	})
	f.run(16 * time.Second)
	result := prefixResult{counts: map[winch.ClassID]fleetCounts{}, read: f.read, began: map[winch.ClassID]int{}, expected: map[winch.ClassID]float64{}}
	for _, class := range p.classes {
		result.counts[class.id] = f.total(class.id, 2, 12)
		result.began[class.id] = f.total(class.id, 2, 16).began
		shared, expected := winch.Tokens(0), winch.Tokens(0)
		for _, c := range f.cores {
			l := c.lanes[laneKey{class: class.id, group: group{model: promptModel}}]
			shared, expected = shared+l.sharedTokens, expected+l.expectedTokens
		}
		result.expected[class.id] = float64(expected) / float64(max(1, shared))
	}
	return result
}

// moderateClasses returns fleetClasses with fewer long prompts, which share fewer parts.
func moderateClasses() []fleetClass {
	classes := slices.Clone(fleetClasses)
	classes[2].perHost, classes[2].subjects = 2, 200
	return classes
}

// TestPrefixAffinity guards against estimates of the endpoints' caches that cost a class requests, and shows what they bring where endpoints
// differ in speed or have less memory.
func TestPrefixAffinity(t *testing.T) {
	if testing.Short() {
		t.Skip("a simulation in one goroutine, too slow with the race detector; make test plays it")
	}
	for _, test := range []struct {
		name string
		load prefixLoad
	}{
		{"overload", prefixLoad{classes: fleetClasses, engines: 48, memory: 237_843}},
		{"overload with a hot part", prefixLoad{classes: fleetClasses, engines: 48, memory: 237_843, hotShare: 0.33}},
		{"memory for many parts", prefixLoad{classes: moderateClasses(), engines: 48, memory: 237_843}},
		{"memory for few parts", prefixLoad{classes: moderateClasses(), engines: 48, memory: 120_000}},
		{"a hot part", prefixLoad{classes: moderateClasses(), engines: 48, memory: 237_843, hotShare: 0.33}},
		{"four speeds", prefixLoad{classes: moderateClasses(), engines: 48, memory: 237_843, paces: []winch.Pace{60, 80, 120, 160}}},
	} {
		t.Run(test.name, func(t *testing.T) {
			test.load.seed = 1
			before, after := test.load.run(false), test.load.run(true)
			for _, class := range test.load.classes {
				b, a := before.counts[class.id], after.counts[class.id]
				t.Logf("%s: before %+v, %.2f parts read for each request; after %+v, %.2f (%.2f expected)", class.id,
					b, before.readShare(class), a, after.readShare(class), 1-after.expected[class.id])
				assert.Assert(t, 50*a.served >= 49*b.served, "%s is served worse", class.id)
			}
			if len(test.load.paces) > 0 {
				for _, class := range test.load.classes[1:] {
					assert.Assert(t, after.readShare(class) < before.readShare(class), "%s", class.id)
					assert.Assert(t, after.counts[class.id].onTime > before.counts[class.id].onTime, "%s", class.id)
				}
			}
		})
	}
}

// readShare returns how many shared parts the engines processed for each request of the class that began.
func (r prefixResult) readShare(class fleetClass) float64 {
	return float64(r.read[class.id]) / float64(class.shared) / float64(max(1, r.began[class.id]))
}

// TestUnknownMemoryLeavesChoicesAsTheyAre guards against changes for deployments whose configuration does not name the engines' memory.
func TestUnknownMemoryLeavesChoicesAsTheyAre(t *testing.T) {
	run := func(weighed bool) map[winch.ClassID]map[int]*fleetCounts {
		f := newFleet(20, 14)
		f.each(func(c *core) { c.features.prefixCache = weighed })
		f.run(5 * time.Second)
		for _, c := range f.cores {
			assert.Equal(t, len(c.prefixUse()), 0)
		}
		return f.counts
	}
	assert.DeepEqual(t, run(false), run(true), cmp.AllowUnexported(fleetCounts{}))
}
