package quarantine

import (
	"slices"
	"time"

	"github.com/arbutuswinch/winch"
)

// decide puts parts in quarantine until the remaining crashes convict no further part.
func (e *Evidence) decide(now time.Time) []Change {
	var changes []Change
	for {
		part, chain := e.mostAccused()
		if chain == nil {
			return changes
		}
		hold := Hold{Part: part, FirstCrash: chain[0].At, Until: now.Add(e.settings.Term), Term: e.settings.Term}
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
	for id, crash := range e.crashes {
		if slices.Contains(crash.Parts, hold.Part) {
			e.dropCrash(id)
		}
	}
}

func (e *Evidence) dropEarliestHold() {
	holds := e.Holds()
	earliest := slices.MinFunc(holds, func(a, b Hold) int { return a.Until.Compare(b.Until) })
	delete(e.holds, earliest.Part)
}

// mostAccused returns the part to put in quarantine with its crashes, or nil crashes if there is none.
func (e *Evidence) mostAccused() (winch.PrefixHash, []winch.EndpointCrash) {
	var best winch.PrefixHash
	var bestChain []winch.EndpointCrash
	for part, count := range e.accusations {
		if count < max(e.settings.MinCrashes, len(bestChain)) {
			continue
		}
		chain := e.chain(part)
		if countCrashes(chain) < e.settings.MinCrashes || !consecutive(chain) {
			continue
		}
		if len(chain) > len(bestChain) || len(chain) == len(bestChain) && moreSpecific(chain, part, best) {
			best, bestChain = part, chain
		}
	}
	return best, bestChain
}

// moreSpecific reports whether the part comes after the other one in the prompts.
func moreSpecific(chain []winch.EndpointCrash, part, other winch.PrefixHash) bool {
	parts := chain[len(chain)-1].Parts
	at, otherAt := slices.Index(parts, part), slices.Index(parts, other)
	return at > otherAt || at == otherAt && part > other
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

// sameCrash is the time within which two requests at one endpoint are taken to have broken in the same crash of it.
const sameCrash = time.Second

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
func consecutive(chain []winch.EndpointCrash) bool {
	return slices.ContainsFunc(chain[1:], func(crash winch.EndpointCrash) bool { return crash.SentAt.After(chain[0].At) })
}

// Merge adds what another host knows, and returns what changes.
func (e *Evidence) Merge(now time.Time, crashes []winch.EndpointCrash, outputs []Output, holds []Hold) []Change {
	var changes []Change
	for _, output := range outputs {
		changes = append(changes, e.mergeOutput(output)...)
	}
	for _, hold := range holds {
		changes = append(changes, e.mergeHold(now, hold)...)
	}
	for _, crash := range crashes {
		if !e.cleared(crash) {
			changes = append(changes, e.AddCrash(now, crash)...)
		}
	}
	return changes
}

func (e *Evidence) mergeOutput(output Output) []Change {
	if !output.At.After(e.outputs[output.Part].Add(clockTolerance)) {
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
	if e.outputs[received.Part].After(received.FirstCrash) || now.Sub(received.Until) > e.settings.Retention {
		return nil
	}
	own, held := e.holds[received.Part]
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

// Crashes returns the crashes that convict no part yet, sorted by time.
func (e *Evidence) Crashes() []winch.EndpointCrash {
	crashes := make([]winch.EndpointCrash, 0, len(e.crashes))
	for _, crash := range e.crashes {
		crashes = append(crashes, crash)
	}
	slices.SortFunc(crashes, func(a, b winch.EndpointCrash) int { return a.At.Compare(b.At) })
	return crashes
}

// Outputs returns the latest outputs with parts that are or were accused.
func (e *Evidence) Outputs() []Output {
	outputs := make([]Output, 0, len(e.outputs))
	for part, at := range e.outputs {
		outputs = append(outputs, Output{Part: part, At: at})
	}
	slices.SortFunc(outputs, func(a, b Output) int { return a.At.Compare(b.At) })
	return outputs
}
