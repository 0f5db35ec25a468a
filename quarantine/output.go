package quarantine

import (
	"slices"
	"time"

	"github.com/arbutuswinch/winch"
)

// AddOutput records that an endpoint has begun to answer a request with the parts.
func (e *Evidence) AddOutput(at time.Time, parts []winch.PrefixHash) []Change {
	e.addRecent(at, parts)
	if len(e.crashCounts) == 0 && len(e.holds) == 0 {
		return nil
	}
	var changes []Change
	for _, part := range parts {
		hold, held := e.holds[part]
		if !e.matters(part) || !at.After(e.outputs[part]) {
			continue
		}
		e.setOutput(part, at)
		e.seenOutputs[part] = at
		if held && at.After(hold.FirstCrash) {
			delete(e.holds, part)
			changes = append(changes, Change{Kind: Released, Hold: hold})
		}
	}
	return changes
}

func (e *Evidence) addRecent(at time.Time, parts []winch.PrefixHash) {
	if len(e.recent) >= maxRecent {
		e.pruneRecent(at)
	}
	for _, part := range parts {
		if _, known := e.recent[part]; known || len(e.recent) < maxRecent {
			e.recent[part] = at
		}
	}
}

func (e *Evidence) pruneRecent(now time.Time) {
	for part, at := range e.recent {
		if now.Sub(at) > recentKept {
			delete(e.recent, part)
		}
	}
}

// recallOutputs takes over the outputs that this host saw before it knew that anyone suspects the parts.
func (e *Evidence) recallOutputs(parts ...winch.PrefixHash) {
	for _, part := range parts {
		if at, found := e.recent[part]; found && at.After(e.outputs[part]) {
			e.setOutput(part, at)
			e.seenOutputs[part] = at
		}
	}
}

func (e *Evidence) setOutput(part winch.PrefixHash, at time.Time) {
	if _, known := e.outputs[part]; !known && len(e.outputs) >= maxOutputs {
		oldest := slices.MinFunc(e.Outputs(), func(a, b Output) int { return a.At.Compare(b.At) })
		e.dropOutput(oldest.Part)
	}
	e.outputs[part] = at
}

func (e *Evidence) dropOutput(part winch.PrefixHash) {
	delete(e.outputs, part)
	delete(e.seenOutputs, part)
}
