package registry

import (
	"slices"
	"time"

	"github.com/arbutuswinch/winch"
)

// statementHold is how long after the beginning of an era a listed statement of an endpoint does not replace a later one. Endpoints write
// more often than that, so that the later one is listed again by then.
const statementHold = 5 * time.Second

// precedes reports whether an endpoint made the first statement before the second one.
func precedes(first, second winch.EndpointStatus) bool {
	if first.StartedAt.IsZero() || second.StartedAt.IsZero() {
		return false
	}
	if !first.StartedAt.Equal(second.StartedAt) {
		return first.StartedAt.Before(second.StartedAt)
	}
	return first.Sequence > 0 && first.Sequence < second.Sequence
}

// keepLaterStatements returns the list, sorted by ID, in which the statements in use replace those that their endpoints made earlier: a store that has
// come back from an older copy lists what endpoints said before, until they write again. In calm times the list counts. It is called with the lock.
func (f *Follower) keepLaterStatements(at time.Time, statuses []winch.EndpointStatus) []winch.EndpointStatus {
	f.holds = false
	if f.eraSince.IsZero() || at.Sub(f.eraSince) >= statementHold {
		return statuses
	}
	kept := statuses
	for i, status := range statuses {
		known, found := slices.BinarySearchFunc(f.current, status, compareID)
		if !found || !precedes(status, f.current[known]) {
			continue
		}
		if !f.holds {
			kept, f.holds = slices.Clone(statuses), true
		}
		kept[i] = f.current[known]
	}
	return kept
}
