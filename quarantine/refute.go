package quarantine

import (
	"slices"
	"time"

	"github.com/arbutuswinch/winch"
)

// RefuteCrashes records that the endpoints under these requests have not ended: what looked like crashes were lost connections. It
// returns what changes.
func (e *Evidence) RefuteCrashes(now time.Time, requests []winch.RequestID) []Change {
	var changes []Change
	for _, request := range requests {
		changes = append(changes, e.refute(request, now)...)
	}
	return changes
}

// refute drops a crash, and releases the parts for which too few are left.
func (e *Evidence) refute(request winch.RequestID, at time.Time) []Change {
	if _, known := e.refuted[request]; known {
		return nil
	}
	if len(e.refuted) >= maxRefuted {
		oldest := slices.MinFunc(e.Refuted(), func(a, b Refuted) int { return a.At.Compare(b.At) })
		delete(e.refuted, oldest.Request)
	}
	e.refuted[request] = at
	if _, found := e.crashes[request]; found {
		e.dropCrash(request)
	}
	return e.dropGround(request)
}

func (e *Evidence) dropGround(request winch.RequestID) []Change {
	var changes []Change
	for part, hold := range e.holds {
		left := slices.DeleteFunc(slices.Clone(hold.Grounds), func(ground Ground) bool { return ground.Request == request })
		if len(left) == len(hold.Grounds) {
			continue
		}
		hold.Grounds = left
		e.holds[part] = hold
		if countEndpoints(left) < e.settings.MinCrashes {
			delete(e.holds, part)
			changes = append(changes, Change{Kind: Released, Hold: hold})
		}
	}
	return changes
}

func countEndpoints(grounds []Ground) int {
	endpoints := map[winch.EndpointID]bool{}
	for _, ground := range grounds {
		endpoints[ground.Endpoint] = true
	}
	return len(endpoints)
}

// addGrounds returns the crashes of both lists that are not refuted, at most maxGrounds.
func (e *Evidence) addGrounds(known, received []Ground) []Ground {
	grounds := slices.Clone(known)
	for _, ground := range received {
		_, refuted := e.refuted[ground.Request]
		if !refuted && len(grounds) < maxGrounds && !slices.Contains(grounds, ground) {
			grounds = append(grounds, ground)
		}
	}
	return grounds
}

func groundsOf(chain []winch.EndpointCrash) []Ground {
	grounds := make([]Ground, 0, len(chain))
	for _, crash := range chain {
		grounds = append(grounds, Ground{Request: crash.Request, Endpoint: crash.Endpoint})
	}
	return grounds
}

// Refuted returns the supposed crashes that did not happen.
func (e *Evidence) Refuted() []Refuted {
	refuted := make([]Refuted, 0, len(e.refuted))
	for request, at := range e.refuted {
		refuted = append(refuted, Refuted{Request: request, At: at})
	}
	return refuted
}
