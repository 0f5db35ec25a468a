package endpoint

import (
	"math"
	"time"

	"github.com/arbutuswinch/winch"
)

// The choice by prompts answers one load: prompts of very different lengths on engines that
// read them between the tokens of other requests. What delays a first token there, and the
// pauses of streams, is how much of prompts the engine has still to read, not how many
// requests run. So each host keeps account of the unread tokens that the hosts gave to each
// endpoint, less what the endpoint keeps of prompts that it read before, and keeps long
// prompts away from a part of the endpoints, which serves the classes with the shortest targets.

const (
	// partRetention is how long an endpoint is expected to keep a part of a prompt after its last use.
	partRetention = 30 * time.Second
	// partsKept bounds the parts that are remembered for one endpoint.
	partsKept = 4096
	// runningWeight is the work of a running request, in tokens of prompts to read.
	runningWeight = 60
	// rereadWeight is what a token costs besides that others keep, when it is read again.
	rereadWeight = 12
	// patienceShare is the part of the target for the first token that is spent on waiting
	// for an endpoint that keeps shared parts.
	patienceShare = 0.9
	// usualSpeed is how many tokens of prompts endpoints read in a second, until that is learnt.
	usualSpeed = 30_000
	// awayWeight is the cost of serving from another data centre, in tokens of prompts to read.
	awayWeight = 150
	// strangerWeight keeps quick classes on the endpoints that are set aside for them, and others
	// away from those, until their own are loaded, in tokens.
	strangerWeight = 40000
	// quickShare is the part of the endpoints that is set aside for quick classes.
	quickShare = 0.34
	// quickTargets is how many times the shortest target a quick class's may be.
	quickTargets = 1.5
)

// promptLoad is what an endpoint has still to read, in tokens.
type promptLoad struct {
	// unread are the tokens of this host's requests without a first token.
	unread winch.Tokens
	// others are those of the other hosts, as they told.
	others winch.Tokens
	// parts are the chains of prompt parts that were given to the endpoint, with the time of the last use.
	parts map[winch.PrefixHash]time.Time
	// quick says that the endpoint is set aside for quick classes.
	quick bool
}

// chain extends the hash of a chain of parts.
func chain(before, part winch.PrefixHash) winch.PrefixHash {
	return winch.PrefixHash(mix(uint64(before)*0x9e3779b97f4a7c15 ^ uint64(part)))
}

// kept returns the tokens of the request's prompt that the endpoint is expected to keep.
func (p *promptLoad) kept(now time.Time, parts []winch.PromptPart) winch.Tokens {
	kept, hash := winch.Tokens(0), winch.PrefixHash(0)
	for _, part := range parts {
		hash = chain(hash, part.ID)
		used, found := p.parts[hash]
		if !found || now.Sub(used) > partRetention {
			break
		}
		kept += part.Tokens
	}
	return kept
}

// use notes that the endpoint gets the request's prompt.
func (p *promptLoad) use(now time.Time, parts []winch.PromptPart) {
	if p.parts == nil {
		p.parts = map[winch.PrefixHash]time.Time{}
	}
	if len(p.parts) >= partsKept {
		p.forget(now)
	}
	hash := winch.PrefixHash(0)
	for _, part := range parts {
		hash = chain(hash, part.ID)
		p.parts[hash] = now
	}
}

func (p *promptLoad) forget(now time.Time) {
	for hash, used := range p.parts {
		if now.Sub(used) > partRetention || len(p.parts) > partsKept {
			delete(p.parts, hash)
		}
	}
}

// sharedChain is the hash of the parts that other requests have as well: all but the last.
func sharedChain(parts []winch.PromptPart) winch.PrefixHash {
	hash := winch.PrefixHash(0)
	for i := 0; i+1 < len(parts); i++ {
		hash = chain(hash, parts[i].ID)
	}
	return hash
}

// sharedTokens are the tokens of the parts that other requests have as well.
func sharedTokens(parts []winch.PromptPart) winch.Tokens {
	tokens := winch.Tokens(0)
	for i := 0; i+1 < len(parts); i++ {
		tokens += parts[i].Tokens
	}
	return tokens
}

// choosePrompts takes the endpoint that would have read the request's prompt first. Among
// like ones, all hosts prefer the same endpoint for the same shared parts.
func choosePrompts(c *core, now time.Time, l *lane, r *request) *endpoint {
	home := c.homeOf(now, l, r)
	var best *endpoint
	lowest := math.Inf(1)
	for _, e := range l.subset {
		if !c.eligible(now, l, r, e) {
			continue
		}
		if cost := c.promptCost(now, l, r, e, home); cost < lowest {
			best, lowest = e, cost
		}
	}
	return best
}

// homeOf returns the endpoint that all hosts prefer for the request's shared parts.
func (c *core) homeOf(now time.Time, l *lane, r *request) *endpoint {
	shared := sharedChain(r.work.Parts)
	if shared == 0 {
		return nil
	}
	var home *endpoint
	weight := uint64(0)
	for _, e := range l.subset {
		if !e.usable(now) || e.prompts.quick != l.quick && l.split {
			continue
		}
		if w := mix(uint64(shared) ^ e.hash); home == nil || w > weight {
			home, weight = e, w
		}
	}
	return home
}

// promptCost is the work before the request's first token at the endpoint, in tokens of
// prompts to read. Shared parts that others keep weigh more than the time to read them: that
// work is taken from all requests. They weigh no more than the request can wait for, so that
// a subject which asks for more than one endpoint reads is read by others as well.
func (c *core) promptCost(now time.Time, l *lane, r *request, e, home *endpoint) float64 {
	kept := c.keptAt(now, r, e, home)
	unread := max(0, r.work.InputTokens-kept)
	cost := float64(e.prompts.unread+e.prompts.others+unread)*e.factor + runningWeight*float64(e.running+e.others)
	if c.home != "" && e.spec.DataCentre != c.home {
		cost += awayWeight
	}
	if l.split && e.prompts.quick != l.quick {
		cost += strangerWeight
	}
	if e == home {
		cost--
	}
	missing := max(0, sharedTokens(r.work.Parts)-kept)
	return cost + min(rereadWeight*float64(missing), c.patience(l))
}

// patience is the work for which a request waits rather than have shared parts read again.
func (c *core) patience(l *lane) float64 {
	speed := c.speeds[l.key.group].value
	if speed == 0 {
		speed = usualSpeed
	}
	return patienceShare * speed * l.class.FirstTokenTarget.Seconds()
}

// keptAt is what the endpoint is expected to keep of the request's prompt.
func (c *core) keptAt(now time.Time, r *request, e, home *endpoint) winch.Tokens {
	kept := e.prompts.kept(now, r.work.Parts)
	if e == home {
		kept = max(kept, sharedTokens(r.work.Parts))
	}
	return kept
}

// noteGiven takes a request into the account of the endpoint's unread tokens.
func (c *core) noteGiven(now time.Time, r *request, e *endpoint) {
	r.toRead = max(0, r.work.InputTokens-e.prompts.kept(now, r.work.Parts))
	r.ahead = e.prompts.unread + e.prompts.others + r.toRead
	e.prompts.unread += r.toRead
	e.prompts.use(now, r.work.Parts)
}

// noteRead notes that the endpoint has read the request's prompt, or never will.
func (e *endpoint) noteRead(r *request) {
	e.prompts.unread -= r.toRead
	r.toRead = 0
}

// setAside settles which endpoints serve quick classes. Every host comes to the same
// result from the same list: steady endpoints go before cheap ones, then by their hashes.
func (c *core) setAside(now time.Time) {
	for _, l := range c.sorted {
		l.split = false
	}
	if !c.features.prompts {
		return
	}
	for _, l := range c.sorted {
		if l.quick {
			c.setAsideFor(now, l)
		}
	}
}

func (c *core) setAsideFor(now time.Time, l *lane) {
	usable := make([]*endpoint, 0, len(l.ring))
	for _, supply := range []bool{false, true} {
		for _, e := range l.ring {
			if e.cheap == supply && e.serving && !now.Before(e.health.ejectedUntil) {
				usable = append(usable, e)
			}
		}
	}
	count := int(math.Round(quickShare * float64(len(usable))))
	for i, e := range usable {
		e.prompts.quick = i < count
	}
	split := count > 0 && count < len(usable)
	for _, competitor := range l.competitors {
		competitor.split = split
	}
}

// isEngines tells whether the lane's endpoints are model engines.
func (l *lane) isEngines() bool {
	return len(l.endpoints) > 0 && l.endpoints[0].spec.Kind == winch.EndpointEngine
}

// setQuick settles which classes are quick: those with the shortest targets, where others
// share their engines.
func (l *lane) setQuick() {
	shortest, longest := time.Duration(math.MaxInt64), time.Duration(0)
	for _, competitor := range l.competitors {
		if target := competitor.class.FirstTokenTarget; target > 0 {
			shortest, longest = min(shortest, target), max(longest, target)
		}
	}
	bound := time.Duration(float64(shortest) * quickTargets)
	target := l.class.FirstTokenTarget
	l.quick = l.isEngines() && target > 0 && target <= bound && longest > bound
}
