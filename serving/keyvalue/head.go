package keyvalue

import (
	"fmt"
	"time"

	"github.com/arbutuswinch/winch"
)

type operationKind int

const (
	acquire operationKind = iota
	finish
	forget
)

// operation is one change that a write of the head carries.
type operation struct {
	kind    operationKind
	id      claimID
	hash    [32]byte
	token   token
	now     time.Time
	expires time.Time
	// claim is the answer to keep, or the result of an acquisition.
	claim winch.Claim
	// sealed names the entry that holds the answer, when the head does not.
	sealed string
	err    error
	done   chan struct{}
}

// retryCopy returns the operation with a result of its own.
func (o *operation) retryCopy() *operation {
	copied := *o
	copied.err, copied.done = nil, make(chan struct{})
	return &copied
}

// record is a claim as it is kept.
type record struct {
	id       claimID
	hash     [32]byte
	owner    token
	expires  time.Time
	finished bool
	answer   winch.Claim
}

// sealedRef names a sealed entry. All of its claims expire by then.
type sealedRef struct {
	name    string
	expires time.Time
}

// head is a shard's newest claims and the names of its sealed entries.
type head struct {
	records map[claimID]record
	sealed  []sealedRef
}

// trace is what is remembered of a sealed claim.
type trace struct {
	entry   string
	hash    [32]byte
	expires time.Time
}

// copied returns the head without what has expired.
func (h head) copied(now time.Time) head {
	next := head{records: make(map[claimID]record, len(h.records)+1)}
	for id, kept := range h.records {
		if kept.expires.After(now) {
			next.records[id] = kept
		}
	}
	for _, ref := range h.sealed {
		if ref.expires.After(now) {
			next.sealed = append(next.sealed, ref)
		}
	}
	return next
}

// apply carries the operations out on a copy of the head and sets their results. It
// reports whether the head must be written, and whether an operation met a claim of
// somebody else, which is worth looking at afresh.
func (h head) apply(now time.Time, index map[claimID]trace, operations []*operation) (next head, changed, contested bool) {
	next = h.copied(now)
	for _, o := range operations {
		o.err = nil
		switch o.kind {
		case acquire:
			granted, written := next.acquire(now, index, o)
			changed = changed || written
			contested = contested || !granted
		case finish:
			changed = next.finish(o) || changed
		case forget:
			if next.records[o.id].owner == o.token {
				delete(next.records, o.id)
			}
			// The write is needed also when the claim is not there: it makes one that is on its way fail.
			changed = true
		}
	}
	return next, changed, contested
}

func (h head) acquire(now time.Time, index map[claimID]trace, o *operation) (granted, written bool) {
	if kept, found := h.records[o.id]; found {
		o.claim = kept.seenBy(o)
		return o.claim.State == winch.ClaimGranted, false
	}
	if old, found := index[o.id]; found && old.expires.After(now) {
		o.claim = winch.Claim{State: winch.ClaimFinished}
		if old.hash != o.hash {
			o.claim.State = winch.ClaimMismatch
		}
		o.sealed = old.entry
		return false, false
	}
	o.claim = winch.Claim{State: winch.ClaimGranted}
	h.records[o.id] = record{id: o.id, hash: o.hash, owner: o.token, expires: o.expires}
	return true, true
}

// seenBy returns what the record means for an acquisition.
func (r record) seenBy(o *operation) winch.Claim {
	switch {
	case r.owner == o.token && !r.finished:
		return winch.Claim{State: winch.ClaimGranted}
	case r.hash != o.hash:
		return winch.Claim{State: winch.ClaimMismatch}
	case r.finished:
		return r.answer
	}
	return winch.Claim{State: winch.ClaimPending}
}

func (h head) finish(o *operation) bool {
	kept, found := h.records[o.id]
	if found && kept.owner != o.token {
		o.err = fmt.Errorf("finish claim: %w", winch.ErrConflict)
		return false
	}
	if kept.finished {
		return false
	}
	h.records[o.id] = record{id: o.id, hash: o.hash, owner: o.token, expires: o.expires, finished: true, answer: o.claim}
	return true
}

// seal takes the finished claims out of the head. It returns them and when the last of them expires.
func (h head) seal() (rest head, taken []record, expires time.Time) {
	rest = head{records: map[claimID]record{}, sealed: h.sealed}
	for id, kept := range h.records {
		if !kept.finished {
			rest.records[id] = kept
			continue
		}
		taken = append(taken, kept)
		if kept.expires.After(expires) {
			expires = kept.expires
		}
	}
	return rest, taken, expires
}
