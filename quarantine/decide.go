package quarantine

import (
	"cmp"
	"slices"
	"time"

	"github.com/arbutuswinch/winch"
)

// Decide puts parts in quarantine until the remaining crashes are explained by no further part. It is called for each crash, and must be
// called from time to time, because of Settings.Settle.
func (e *Evidence) Decide(now time.Time) []Change {
	var changes []Change
	for {
		part, chain := e.mostSuspected(now)
		if chain == nil {
			return changes
		}
		hold := Hold{
			Part: part, FirstCrash: chain[0].At, Until: now.Add(e.settings.Term), Term: e.settings.Term, Grounds: e.addGrounds(nil, groundsOf(chain)),
		}
		e.hold(hold)
		changes = append(changes, Change{Kind: Held, Hold: hold, Crashes: chain})
	}
}

// hold adds the quarantine and removes the crashes that it explains.
func (e *Evidence) hold(hold Hold) {
	if len(e.holds) >= maxHolds {
		e.dropEarliestHold()
	}
	e.holds[hold.Part] = hold
	for _, crash := range e.Crashes() {
		if slices.Contains(crash.Parts, hold.Part) {
			e.dropCrash(crash.Request)
			e.explain(crash.Endpoint, crash.At)
		}
	}
}

func (e *Evidence) dropEarliestHold() {
	holds := e.Holds()
	earliest := slices.MinFunc(holds, func(a, b Hold) int { return a.Until.Compare(b.Until) })
	delete(e.holds, earliest.Part)
}

// mostSuspected returns the part to put in quarantine with its crashes, or nil crashes if there is none.
func (e *Evidence) mostSuspected(now time.Time) (winch.PrefixHash, []winch.EndpointCrash) {
	best, bestCount := winch.PrefixHash(0), 0
	var bestChain []winch.EndpointCrash
	for part, records := range e.crashCounts {
		if records < max(e.settings.MinCrashes, bestCount) {
			continue
		}
		chain := e.chain(part)
		count := countCrashes(chain)
		if count < e.settings.MinCrashes || !e.consecutive(chain) || now.Sub(chain[0].At) < e.settings.Settle {
			continue
		}
		if count > bestCount || count == bestCount && moreSpecific(chain, part, best) {
			best, bestCount, bestChain = part, count, chain
		}
	}
	return best, bestChain
}

// moreSpecific reports whether the part comes after the other one in the prompts of the chain. Of parts that are in no
// prompt together it prefers the larger number, so that all hosts choose the same.
func moreSpecific(chain []winch.EndpointCrash, part, other winch.PrefixHash) bool {
	for _, crash := range chain {
		if at := slices.Index(crash.Parts, other); at >= 0 {
			return slices.Index(crash.Parts, part) > at
		}
	}
	return part > other
}

// chain returns the crashes in which the part was present and that are not cleared by output, sorted by time.
func (e *Evidence) chain(part winch.PrefixHash) []winch.EndpointCrash {
	var chain []winch.EndpointCrash
	for _, crash := range e.crashes {
		if crash.At.After(e.outputs[part]) && slices.Contains(crash.Parts, part) {
			chain = append(chain, crash)
		}
	}
	slices.SortFunc(chain, func(a, b winch.EndpointCrash) int { return a.At.Compare(b.At) })
	return chain
}

// countCrashes returns how many crashes of endpoints the chain has; one crash may have hit several requests.
func countCrashes(chain []winch.EndpointCrash) int {
	latest, count := map[winch.EndpointID]time.Time{}, 0
	for _, crash := range chain {
		if at, found := latest[crash.Endpoint]; !found || crash.At.Sub(at) > sameCrash {
			count++
		}
		latest[crash.Endpoint] = crash.At
	}
	return count
}

// consecutive reports whether a request was sent after the first crash and crashed its endpoint as well. Crashes at one
// time may have one cause that has nothing to do with the requests.
func (e *Evidence) consecutive(chain []winch.EndpointCrash) bool {
	first := chain[0]
	return slices.ContainsFunc(chain[1:], func(crash winch.EndpointCrash) bool {
		if e.seen[first.Request] && e.seen[crash.Request] {
			return crash.SentAt.After(first.At)
		}
		return crash.SentAt.Sub(first.At) > messageDelay
	})
}

// State is what a host tells the others.
type State struct {
	Crashes   []winch.EndpointCrash
	Outputs   []Output
	Holds     []Hold
	Explained []Explained
	Refuted   []Refuted
}

// seenOutputsTold is the age up to which a host tells of its own outputs. Of a part that is in use there are newer ones.
const seenOutputsTold = 3 * time.Second

// Seen returns what this host has seen itself, and the parts in quarantine.
func (e *Evidence) Seen(now time.Time) State {
	seen := State{Holds: e.Holds(), Refuted: e.Refuted()}
	for _, crash := range e.Crashes() {
		if e.seen[crash.Request] {
			seen.Crashes = append(seen.Crashes, crash)
		}
	}
	for part, at := range e.seenOutputs {
		if now.Sub(at) <= seenOutputsTold {
			seen.Outputs = append(seen.Outputs, Output{Part: part, At: at})
		}
	}
	for _, explained := range e.Explained() {
		if now.Sub(explained.At) <= seenOutputsTold {
			seen.Explained = append(seen.Explained, explained)
		}
	}
	return seen
}

// State returns what this host knows.
func (e *Evidence) State() State {
	return State{Crashes: e.Crashes(), Outputs: e.Outputs(), Holds: e.Holds(), Explained: e.Explained(), Refuted: e.Refuted()}
}

// Merge adds what another host knows, and returns what changes.
func (e *Evidence) Merge(now time.Time, received State) []Change {
	var changes []Change
	for _, refuted := range received.Refuted {
		if now.Sub(refuted.At) <= refutedTold {
			changes = append(changes, e.refute(refuted.Request, refuted.At)...)
		}
	}
	for _, output := range received.Outputs {
		changes = append(changes, e.mergeOutput(output)...)
	}
	for _, hold := range received.Holds {
		changes = append(changes, e.mergeHold(now, hold)...)
	}
	for _, explained := range received.Explained {
		e.explain(explained.Endpoint, explained.At)
	}
	for _, crash := range received.Crashes {
		if !e.cleared(crash) {
			changes = append(changes, e.addCrash(now, crash)...)
		}
	}
	return changes
}

func (e *Evidence) mergeOutput(output Output) []Change {
	if !output.At.After(e.outputs[output.Part].Add(outputTolerance)) {
		return nil
	}
	e.setOutput(output.Part, output.At)
	hold, held := e.holds[output.Part]
	if !held || !output.At.After(hold.FirstCrash) {
		return nil
	}
	delete(e.holds, output.Part)
	return []Change{{Kind: Released, Hold: hold}}
}

func (e *Evidence) mergeHold(now time.Time, received Hold) []Change {
	e.recallOutputs(received.Part)
	if e.outputs[received.Part].After(received.FirstCrash) || now.Sub(received.Until) > e.settings.Retention {
		return nil
	}
	own, held := e.holds[received.Part]
	hasGrounds := len(received.Grounds) > 0
	received.Grounds = e.addGrounds(own.Grounds, received.Grounds)
	if hasGrounds && countEndpoints(received.Grounds) < e.settings.MinCrashes {
		return nil
	}
	own.Grounds = received.Grounds
	if !held {
		e.hold(received)
		return []Change{{Kind: Held, Hold: received}}
	}
	if received.FirstCrash.Before(own.FirstCrash) {
		own.FirstCrash = received.FirstCrash
	}
	if received.Until.After(own.Until.Add(clockTolerance)) {
		own.Until, own.Term = received.Until, max(own.Term, received.Term)
	}
	e.holds[own.Part] = own
	return nil
}

// Crashes returns the crashes that no part in quarantine explains, sorted by time.
func (e *Evidence) Crashes() []winch.EndpointCrash {
	crashes := make([]winch.EndpointCrash, 0, len(e.crashes))
	for _, crash := range e.crashes {
		crashes = append(crashes, crash)
	}
	slices.SortFunc(crashes, func(a, b winch.EndpointCrash) int { return a.At.Compare(b.At) })
	return crashes
}

// Outputs returns the latest outputs with parts that are or were suspected.
func (e *Evidence) Outputs() []Output {
	outputs := make([]Output, 0, len(e.outputs))
	for part, at := range e.outputs {
		outputs = append(outputs, Output{Part: part, At: at})
	}
	slices.SortFunc(outputs, func(a, b Output) int { return a.At.Compare(b.At) })
	return outputs
}

// Explained returns the crashes under parts in quarantine, sorted by endpoint.
func (e *Evidence) Explained() []Explained {
	explained := make([]Explained, 0, len(e.explained))
	for endpoint, at := range e.explained {
		explained = append(explained, Explained{Endpoint: endpoint, At: at})
	}
	slices.SortFunc(explained, func(a, b Explained) int { return cmp.Compare(a.Endpoint, b.Endpoint) })
	return explained
}
