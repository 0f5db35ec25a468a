package endpoint

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/arbutuswinch/winch"
)

const (
	tokenStep          = 100 * time.Millisecond
	tokenExchange      = 500 * time.Millisecond
	tokenExchangeDelay = 100 * time.Millisecond
	// tokenLag is the longest time until all hosts know of a request.
	tokenLag = tokenExchange + tokenExchangeDelay + tokenStep
)

// tokenClass is a class of requests of a tokenFleet: demand is its share of the engines' memory that all its requests would use.
type tokenClass struct {
	id     winch.ClassID
	tokens winch.Tokens
	demand float64
	due    float64
	// servedAt is when the last of its requests was granted.
	servedAt time.Time
}

// tokenFleet is hosts that share engines and hear of each other half a second late. Requests begin at once and run for a while.
type tokenFleet struct {
	t        *rapid.T
	now      time.Time
	random   *rand.Rand
	cores    []*core
	capacity winch.Tokens
	hold     time.Duration
	classes  []*tokenClass
	ends     map[*request]time.Time
	owner    map[*request]*core
	// grants are the tokens granted at each engine, with their times, and allowed what it may hold since the last of them.
	grants  map[winch.EndpointID][]tokenGrant
	allowed map[winch.EndpointID]winch.Tokens
	nextID  int
}

type tokenGrant struct {
	at     time.Time
	tokens winch.Tokens
}

func newTokenFleet(t *rapid.T) *tokenFleet {
	hosts, engines := rapid.IntRange(1, 8).Draw(t, "hosts"), rapid.IntRange(1, 5).Draw(t, "engines")
	f := &tokenFleet{
		t: t, random: rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1)), capacity: winch.Tokens(rapid.IntRange(40_000, 120_000).Draw(t, "capacity")),
		hold: time.Duration(rapid.IntRange(1000, 5000).Draw(t, "hold")) * time.Millisecond,
		ends: map[*request]time.Time{}, owner: map[*request]*core{}, grants: map[winch.EndpointID][]tokenGrant{},
		allowed: map[winch.EndpointID]winch.Tokens{},
		classes: []*tokenClass{
			{id: "chat", tokens: 800, demand: rapid.Float64Range(0.05, 0.4).Draw(t, "chat")},
			{id: "plan", tokens: 9000, demand: rapid.Float64Range(0.6, 2).Draw(t, "plan")},
			{id: "bulk", tokens: 1500, demand: rapid.Float64Range(0.6, 2).Draw(t, "bulk")},
		},
	}
	members := []winch.Host{}
	for i := range hosts {
		members = append(members, winch.Host{ID: winch.HostID(fmt.Sprint("h", i)), DataCentre: "a"})
	}
	for i := range hosts {
		c, now := newTokenCore(engines, f.capacity)
		c.self, c.random, f.now = members[i], rand.New(rand.NewPCG(uint64(i), 5)), now
		c.setHosts(members, nil)
		f.cores = append(f.cores, c)
	}
	for _, class := range f.classes {
		class.servedAt = f.now
	}
	return f
}

func (f *tokenFleet) run(length time.Duration, check func()) {
	start, apply := f.now, []func(){}
	for end := f.now.Add(length); f.now.Before(end); f.now = f.now.Add(tokenStep) {
		since := f.now.Sub(start)
		if since%tokenExchange == 0 {
			taken := f.now
			for _, c := range f.cores {
				f.cores[0].hub.collect(taken, c.self.ID, c.ownStats(taken, true))
			}
			for _, c := range f.cores {
				summary := f.cores[0].summary(taken, c.self.ID)
				apply = append(apply, func() { c.applySummary(f.now, taken, "h0", summary) })
			}
		}
		if since%tokenExchange == tokenExchangeDelay {
			for _, call := range apply {
				call()
			}
			apply = nil
		}
		for _, c := range f.cores {
			c.tick(f.now)
		}
		f.arrive()
		f.begin()
		f.end()
		check()
	}
}

func (f *tokenFleet) arrive() {
	memory := float64(f.capacity) * float64(len(f.cores[0].sortedEndpoints))
	for _, class := range f.classes {
		class.due += class.demand * memory / float64(class.tokens) * tokenStep.Seconds() / f.hold.Seconds()
		for ; class.due >= 1; class.due-- {
			c := f.cores[f.random.IntN(len(f.cores))]
			f.nextID++
			r := c.submit(f.now, f.nextID, class.id, class.tokens)
			f.owner[r] = c
		}
	}
}

// begin lets granted requests have their first token.
func (f *tokenFleet) begin() {
	for _, c := range f.cores {
		for _, e := range c.effects {
			if e.kind != effectGranted {
				continue
			}
			e.request.progress.first.Store(f.now.UnixNano())
			c.readProgress(f.now, e.request)
			f.ends[e.request] = f.now.Add(time.Duration(float64(f.hold) * (0.5 + f.random.Float64())))
			id := e.endpoint.spec.ID
			f.grants[id] = append(f.grants[id], tokenGrant{at: f.now, tokens: e.request.held})
			f.allowed[id] = f.allowedNow(id)
			for _, class := range f.classes {
				if class.id == e.lane.class.ID {
					class.servedAt = f.now
				}
			}
		}
		c.effects = c.effects[:0]
	}
}

func (f *tokenFleet) end() {
	for _, c := range f.cores {
		for _, e := range c.sortedEndpoints {
			e.lastHeard.Store(f.now.UnixNano())
			for i := range e.tiers {
				for r := e.tiers[i].newest; r != nil; {
					next := r.runNext
					if at, found := f.ends[r]; found && !f.now.Before(at) {
						delete(f.ends, r)
						c.release(f.now, r, winch.OutcomeDone)
					}
					r = next
				}
			}
		}
	}
}

// held returns what the hosts' requests hold at the engine, and what those of it that may overbook hold.
func (f *tokenFleet) held(id winch.EndpointID) (all, urgent winch.Tokens) {
	for _, c := range f.cores {
		e := c.endpoints[id]
		all += e.tokens.Own
		for r := e.tier(1).newest; r != nil; r = r.runNext {
			urgent += r.held
		}
	}
	return all, urgent
}

// allowedNow returns what the requests that may not overbook may hold at the engine after a grant: its capacity, what may end before hosts
// hear of it, and what they have granted there since all of them knew the same.
func (f *tokenFleet) allowedNow(id winch.EndpointID) winch.Tokens {
	since := winch.Tokens(0)
	for _, grant := range f.grants[id] {
		if f.now.Sub(grant.at) <= tokenLag {
			since += grant.tokens
		}
	}
	return 2*f.capacity + since
}

// TestHostsShareTheMemory guards against hosts that together hold far more than the memory of an engine because each of them takes it
// for free, and against a class of which nothing is served beside others of the same tier or above.
func TestHostsShareTheMemory(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newTokenFleet(t)
		memory := float64(f.capacity) * float64(len(f.cores[0].sortedEndpoints))
		sum, urgentSum, steps := 0.0, 0.0, 0.0
		// A request may have to wait for the end of the longest ones.
		patience := 5*time.Second + 3*f.hold
		f.run(2*patience, func() {
			for _, e := range f.cores[0].sortedEndpoints {
				all, urgent := f.held(e.spec.ID)
				sum, urgentSum = sum+float64(all), urgentSum+float64(urgent)
				if all-urgent > f.allowed[e.spec.ID] {
					t.Fatalf("%s: %d tokens held, %d of them urgent, capacity %d", e.spec.ID, all, urgent, f.capacity)
				}
			}
			steps++
			for _, class := range f.classes {
				if f.now.Sub(class.servedAt) > patience {
					t.Fatalf("nothing of %s was served for %s", class.id, patience)
				}
			}
		})
		mean, urgent := sum/steps/memory, urgentSum/steps/memory
		t.Logf("mean use %.2f, urgent %.2f, hold %s", mean, urgent, f.hold)
		ending := min(0.5, 2*tokenLag.Seconds()/f.hold.Seconds())
		if mean > 1/(1-ending)+urgent {
			t.Fatalf("%.2f of the memory is held on average, %.2f by urgent requests, where %.2f of it ends within the lag", mean, urgent, ending)
		}
		if mean < 0.5 {
			t.Fatalf("only %.2f of the memory is used in overload", mean)
		}
	})
}
