package platform

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/arbutuswinch/winch"
)

const (
	sectionName winch.SectionName = "Endpoints"
	// historyLimit is the number of recent lists to which a summary can refer as its base.
	historyLimit = 16
)

// listVersion is a list of endpoints with its hash.
type listVersion struct {
	hash      uint64
	endpoints []winch.OrderedEndpoint
}

// hashOf returns the list's hash, which is the same on every host. It is never zero, since
// zero stands for no list.
func hashOf(endpoints []winch.OrderedEndpoint) uint64 {
	digest := xxhash.New()
	for _, e := range endpoints {
		_, _ = fmt.Fprintf(digest, "%q%q%q%q%q%q%q%d\n", e.ID, e.Address, e.Pool, e.Model, e.Supply, e.Software, e.State, e.LeavesAt.UnixNano())
	}
	return max(digest.Sum64(), 1)
}

// The methods below implement winch.Section: each host reports the hash of its list to the
// hub of the data centre, which answers with the changes to that list.

// Name returns the section's name.
func (e *Endpoints) Name() winch.SectionName { return sectionName }

// Report returns the hash of this host's list, for the hub.
func (e *Endpoints) Report(time.Time) []byte {
	e.mu.Lock()
	defer e.mu.Unlock()
	encoded, err := json.Marshal(wireReport{Hash: e.hash})
	if err != nil {
		return nil
	}
	return encoded
}

// Collect records the hash of the list that a host has.
func (e *Endpoints) Collect(_ time.Time, from winch.HostID, report []byte) error {
	wire := wireReport{}
	if err := json.Unmarshal(report, &wire); err != nil {
		return fmt.Errorf("decode endpoint report of %s: %w: %w", from, winch.ErrInvalid, err)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.hostHashes[from] = wire.Hash
	return nil
}

// Summary returns the changes since the list that the host has, or the whole list when
// that list is not in the history. It returns nil if the host has the current list, or if
// there is no list yet.
func (e *Endpoints) Summary(_ time.Time, to winch.HostID) []byte {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.current == nil || e.hostHashes[to] == e.hash {
		return nil
	}
	summary := wireSummary{Hash: e.hash}
	base := []winch.OrderedEndpoint{}
	for _, older := range e.history {
		if older.hash == e.hostHashes[to] {
			summary.Base, base = older.hash, older.endpoints
		}
	}
	summary.Changed, summary.Removed = diffEndpoints(base, e.current)
	encoded, err := json.Marshal(summary)
	if err != nil {
		return nil
	}
	return encoded
}

// diffEndpoints returns the endpoints that are new or changed, and the ids of those that were removed.
func diffEndpoints(before, after []winch.OrderedEndpoint) (changed []wireEndpoint, removed []string) {
	old := map[winch.EndpointID]winch.OrderedEndpoint{}
	for _, endpoint := range before {
		old[endpoint.ID] = endpoint
	}
	for _, endpoint := range after {
		if previous, found := old[endpoint.ID]; !found || !equalEndpoints(previous, endpoint) {
			changed = append(changed, encodeEndpoint(endpoint))
		}
		delete(old, endpoint.ID)
	}
	for id := range old {
		removed = append(removed, string(id))
	}
	return changed, removed
}

func equalEndpoints(a, b winch.OrderedEndpoint) bool {
	if !a.LeavesAt.Equal(b.LeavesAt) {
		return false
	}
	a.LeavesAt, b.LeavesAt = time.Time{}, time.Time{}
	return a == b
}

// Apply applies the hub's summary. Changes to a list that this host does not have are
// ignored: the host's next report shows the hub which list it has.
func (e *Endpoints) Apply(_, _ time.Time, hub winch.HostID, summary []byte) error {
	if len(summary) == 0 || hub == e.options.Membership.Self().ID {
		return nil
	}
	wire := wireSummary{}
	if err := json.Unmarshal(summary, &wire); err != nil {
		return fmt.Errorf("decode endpoint summary of %s: %w: %w", hub, winch.ErrInvalid, err)
	}
	current, hash := e.snapshot()
	if wire.Base != 0 && wire.Base != hash {
		return nil
	}
	// A summary without a base holds the whole list.
	if wire.Base == 0 {
		current = nil
	}
	e.replace(merge(current, wire, e.options.DataCentre))
	return nil
}

func (e *Endpoints) snapshot() ([]winch.OrderedEndpoint, uint64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.current, e.hash
}

// merge returns the current list with the summary's changes applied.
func merge(current []winch.OrderedEndpoint, wire wireSummary, centre winch.DataCentreID) []winch.OrderedEndpoint {
	replaced := map[string]bool{}
	merged := []winch.OrderedEndpoint{}
	for _, id := range wire.Removed {
		replaced[id] = true
	}
	for _, endpoint := range wire.Changed {
		replaced[endpoint.ID] = true
		merged = append(merged, decodeEndpoint(endpoint, centre))
	}
	for _, endpoint := range current {
		if !replaced[string(endpoint.ID)] {
			merged = append(merged, endpoint)
		}
	}
	return merged
}
