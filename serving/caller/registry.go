package caller

import (
	"context"
	"sync"

	"github.com/arbutuswinch/winch"
)

// registry holds the open requests.
type registry struct {
	mutex   sync.Mutex
	entries map[*request]*entry
	// idle is closed when the last request ends, once somebody waits for that.
	idle chan struct{}
}

type entry struct {
	cancel context.CancelCauseFunc
	// keyed and hash are set once the caller is known.
	keyed bool
	hash  winch.KeyHash
}

func newRegistry() *registry { return &registry{entries: map[*request]*entry{}} }

func (r *registry) add(req *request, cancel context.CancelCauseFunc) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.entries[req] = &entry{cancel: cancel}
}

// identify notes whose request it is.
func (r *registry) identify(req *request) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if known := r.entries[req]; known != nil {
		known.keyed, known.hash = req.keyed && !req.local, req.hash
	}
}

func (r *registry) remove(req *request) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	delete(r.entries, req)
	if len(r.entries) == 0 && r.idle != nil {
		close(r.idle)
		r.idle = nil
	}
}

func (r *registry) count() int64 {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return int64(len(r.entries))
}

// hashes returns the keys in use.
func (r *registry) hashes() map[winch.KeyHash]error {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	found := map[winch.KeyHash]error{}
	for _, known := range r.entries {
		if known.keyed {
			found[known.hash] = nil
		}
	}
	return found
}

// cancel ends the requests whose key has an error, and returns their number.
func (r *registry) cancel(errors map[winch.KeyHash]error) int {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	count := 0
	for _, known := range r.entries {
		if err := errors[known.hash]; known.keyed && err != nil {
			known.cancel(err)
			count++
		}
	}
	return count
}

// cancelAll ends all requests, and returns their number.
func (r *registry) cancelAll(cause error) int {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for _, known := range r.entries {
		known.cancel(cause)
	}
	return len(r.entries)
}

// empty returns a channel that is closed when no request is open.
func (r *registry) empty() <-chan struct{} {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if len(r.entries) == 0 {
		done := make(chan struct{})
		close(done)
		return done
	}
	if r.idle == nil {
		r.idle = make(chan struct{})
	}
	return r.idle
}
