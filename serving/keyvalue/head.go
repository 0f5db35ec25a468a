package keyvalue

import (
	"fmt"
	"time"

	"github.com/arbutuswinch/winch"
)

type operationKind int

const (
	opAcquire operationKind = iota
	opFinish
	opRemove
)

// operation is one change of a claim.
type operation struct {
	kind    operationKind
	id      claimID
	hash    [32]byte
	token   claimToken
	now     time.Time
	expires time.Time
	// claim is the response to store, or the result of an acquisition.
	claim winch.Claim
	// sealedKey is the key of the sealed entry with the claim, if it is not in the head.
	sealedKey string
	err       error
	done      chan struct{}
}

// copyForRetry returns a copy of the operation without result.
func (o *operation) copyForRetry() *operation {
	copied := *o
	copied.err, copied.done = nil, make(chan struct{})
	return &copied
}

// claimRecord is a claim as it is stored.
type claimRecord struct {
	id       claimID
	hash     [32]byte
	token    claimToken
	expires  time.Time
	finished bool
	result   winch.Claim
}

// sealedRef references a sealed entry. None of its claims expires later than expires.
type sealedRef struct {
	key     string
	expires time.Time
}

// head holds a shard's newest claims and the references to its sealed entries.
type head struct {
	records map[claimID]claimRecord
	sealed  []sealedRef
}

// sealedClaim holds what the in-memory index knows of a claim in a sealed entry.
type sealedClaim struct {
	entryKey string
	hash     [32]byte
	expires  time.Time
}

// withoutExpired returns a copy of the head without expired claims and references.
func (h head) withoutExpired(now time.Time) head {
	next := head{records: make(map[claimID]claimRecord, len(h.records)+1)}
	for id, record := range h.records {
		if record.expires.After(now) {
			next.records[id] = record
		}
	}
	for _, ref := range h.sealed {
		if ref.expires.After(now) {
			next.sealed = append(next.sealed, ref)
		}
	}
	return next
}

// apply applies the operations to a copy of the head and sets their results. It reports
// whether the head must be written, and whether an acquisition was denied. If h was cached,
// the claim that caused the denial may have been removed since, so the caller should read
// the head again.
func (h head) apply(now time.Time, index map[claimID]sealedClaim, operations []*operation) (next head, changed, denied bool) {
	next = h.withoutExpired(now)
	for _, o := range operations {
		o.err = nil
		switch o.kind {
		case opAcquire:
			granted, written := next.acquire(now, index, o)
			changed = changed || written
			denied = denied || !granted
		case opFinish:
			changed = next.finish(o) || changed
		case opRemove:
			if next.records[o.id].token == o.token {
				delete(next.records, o.id)
			}
			// The write is needed even if the claim is absent: it makes a delayed write of the
			// claim fail.
			changed = true
		}
	}
	return next, changed, denied
}

// acquire grants the claim if neither the head nor a sealed entry has it. It reports whether
// the claim was granted and whether it changed the head.
func (h head) acquire(now time.Time, index map[claimID]sealedClaim, o *operation) (granted, written bool) {
	if record, found := h.records[o.id]; found {
		o.claim = record.resultFor(o)
		return o.claim.State == winch.ClaimGranted, false
	}
	if sealed, found := index[o.id]; found && sealed.expires.After(now) {
		o.claim = winch.Claim{State: winch.ClaimFinished}
		if sealed.hash != o.hash {
			o.claim.State = winch.ClaimMismatch
		}
		o.sealedKey = sealed.entryKey
		return false, false
	}
	o.claim = winch.Claim{State: winch.ClaimGranted}
	h.records[o.id] = claimRecord{id: o.id, hash: o.hash, token: o.token, expires: o.expires}
	return true, true
}

// resultFor returns the result of an acquisition that found this record.
func (r claimRecord) resultFor(o *operation) winch.Claim {
	switch {
	// An earlier try of this acquisition wrote the claim, and the response to it was lost.
	case r.token == o.token && !r.finished:
		return winch.Claim{State: winch.ClaimGranted}
	case r.hash != o.hash:
		return winch.Claim{State: winch.ClaimMismatch}
	case r.finished:
		return r.result
	}
	return winch.Claim{State: winch.ClaimPending}
}

// finish stores the response. A claim that has expired meanwhile is stored again. A claim that
// is already finished was written by an earlier try whose response was lost. It reports
// whether it changed the head.
func (h head) finish(o *operation) bool {
	record, found := h.records[o.id]
	if found && record.token != o.token {
		o.err = fmt.Errorf("finish claim: %w", winch.ErrConflict)
		return false
	}
	if record.finished {
		return false
	}
	h.records[o.id] = claimRecord{id: o.id, hash: o.hash, token: o.token, expires: o.expires, finished: true, result: o.claim}
	return true
}

// seal splits the head into the finished claims and the rest. It also returns the time at
// which the last finished claim expires.
func (h head) seal() (remaining head, finished []claimRecord, expires time.Time) {
	remaining = head{records: map[claimID]claimRecord{}, sealed: h.sealed}
	for id, record := range h.records {
		if !record.finished {
			remaining.records[id] = record
			continue
		}
		finished = append(finished, record)
		if record.expires.After(expires) {
			expires = record.expires
		}
	}
	return remaining, finished, expires
}
