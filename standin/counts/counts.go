// Package counts counts calls by service and kind.
//
// # Usage
//
//	table := counts.New()
//	table.Add("keyvalue", "put")
//	calls := table.Snapshot()["keyvalue"]["put"]
package counts

import "sync"

// Service names a stand-in service.
type Service string

// Kind names a kind of call or of refusal. Whether a refused call also counts under its kind of call depends
// on the service.
type Kind string

// Table holds the number of calls and refusals by service and kind. It is safe for concurrent use.
type Table struct {
	mu     sync.Mutex
	counts map[Service]map[Kind]int64
}

// New returns an empty table.
func New() *Table { return &Table{counts: map[Service]map[Kind]int64{}} }

// Add counts one call.
func (t *Table) Add(service Service, kind Kind) {
	t.mu.Lock()
	defer t.mu.Unlock()
	kinds := t.counts[service]
	if kinds == nil {
		kinds = map[Kind]int64{}
		t.counts[service] = kinds
	}
	kinds[kind]++
}

// Snapshot returns a copy of all counts.
func (t *Table) Snapshot() map[Service]map[Kind]int64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make(map[Service]map[Kind]int64, len(t.counts))
	for service, kinds := range t.counts {
		inner := make(map[Kind]int64, len(kinds))
		for kind, count := range kinds {
			inner[kind] = count
		}
		out[service] = inner
	}
	return out
}
