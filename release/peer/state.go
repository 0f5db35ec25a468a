package peer

import (
	"bytes"
	"crypto/subtle"
	"fmt"
	"slices"
	"time"

	"github.com/arbutuswinch/winch"
	"github.com/arbutuswinch/winch/release"
)

// keptRecords bounds the records that are kept to bring others up to date.
const keptRecords = 512

// proof says that as of an instant of this host's clock no newer revision could
// have been accepted.
type proof struct {
	asOf     time.Time
	revision winch.Revision
}

// keptRecord is a record with the instant at which it was learnt.
type keptRecord struct {
	record winch.ReleaseRecord
	learnt time.Time
}

// state is what a host knows. It does no I/O; the caller locks.
type state struct {
	limits  limits
	started time.Time
	current *winch.Configuration
	hashes  []winch.KeyHash
	owners  []winch.Key
	learnt  bool
	// known is the newest revision that was heard of.
	known    winch.Revision
	accepted winch.Revision
	records  []keptRecord
	// proven is the newest instant for which there is a proof for current.
	proven time.Time
	// agreed is the newest instant for which a majority of this data centre's
	// hosts knew nothing newer than current.
	agreed time.Time
}

// limits are the durations that decide how long knowledge may be used. The
// switches exist for tests, which show that each rule is needed.
type limits struct {
	freshness time.Duration
	grace     time.Duration
	margin    time.Duration
	roster    time.Duration
	unguarded guards
}

// guards are rules that a test may take out.
type guards struct {
	// freshness lets proofs last for ever.
	freshness bool
	// majority lets any hub speak for its data centre.
	majority bool
	// newer takes proofs for revisions that this host lacks.
	newer bool
	// settled accepts without waiting for majorities.
	settled bool
	// forget lets a hub that is cut off from the platform forget silent hosts.
	forget bool
	// roster lets hubs speak that do not know who counts.
	roster bool
	// learners lets hosts count that had no proof since their start.
	learners bool
	// echo takes a report as made when it arrives.
	echo bool
}

func newState(limits limits, started time.Time) *state {
	return &state{limits: limits, started: started, current: release.Empty()}
}

// learn takes a newer configuration, and the records that lead to it if known.
// Revisions only go up.
func (s *state) learn(now time.Time, configuration *winch.Configuration, records []winch.ReleaseRecord) bool {
	s.noteRevision(configuration.Revision)
	s.learnt = s.learnt || configuration.Revision > 0
	if configuration.Revision <= s.current.Revision {
		return false
	}
	if len(records) == 0 || records[0].Revision > s.current.Revision+1 {
		s.records = nil
	}
	for _, record := range records {
		if record.Revision > s.current.Revision {
			s.records = append(s.records, keptRecord{record: record, learnt: now})
		}
	}
	if excess := len(s.records) - keptRecords; excess > 0 {
		s.records = slices.Clone(s.records[excess:])
	}
	s.current = configuration
	s.index()
	return true
}

// follow applies the records that continue the current configuration.
func (s *state) follow(now time.Time, records []winch.ReleaseRecord) bool {
	next, taken := s.current, []winch.ReleaseRecord{}
	for _, record := range records {
		s.noteRevision(record.Revision)
		if record.Revision == next.Revision+1 {
			next = release.ApplyRecord(next, record)
			taken = append(taken, record)
		}
	}
	return s.learn(now, next, taken)
}

func (s *state) noteRevision(revision winch.Revision) { s.known = max(s.known, revision) }

func (s *state) index() {
	s.owners = s.owners[:0:0]
	for _, key := range s.current.Keys {
		s.owners = append(s.owners, key)
	}
	slices.SortFunc(s.owners, func(a, b winch.Key) int { return bytes.Compare(a.Hash[:], b.Hash[:]) })
	s.hashes = make([]winch.KeyHash, len(s.owners))
	for i, key := range s.owners {
		s.hashes[i] = key.Hash
	}
}

// prove takes a proof in. A zero one says nothing, and one for a revision that this host lacks is no use.
func (s *state) prove(p proof) {
	if p.asOf.IsZero() {
		return
	}
	s.noteRevision(p.revision)
	if p.revision > s.current.Revision && !s.limits.unguarded.newer {
		return
	}
	s.learnt = true
	if p.asOf.After(s.proven) {
		s.proven = p.asOf
	}
}

// agree takes in that a majority of the data centre knew nothing newer. A zero proof says nothing.
func (s *state) agree(p proof) {
	if p.asOf.IsZero() {
		return
	}
	s.noteRevision(p.revision)
	if p.revision > s.current.Revision && !s.limits.unguarded.newer {
		return
	}
	if p.asOf.After(s.agreed) {
		s.agreed = p.asOf
	}
}

// learner tells that this host has had no proof since its start. What its
// predecessors knew may be lost to it, so that it cannot speak for its data centre.
func (s *state) learner() bool {
	return s.proven.Before(s.started) && !s.limits.unguarded.learners
}

// fresh tells whether a proof holds now.
func (s *state) fresh(now time.Time) bool {
	return s.learnt && (now.Before(s.proven.Add(s.limits.freshness)) || s.limits.unguarded.freshness)
}

// withinGrace tells whether the data centre is cut off, but not for long.
func (s *state) withinGrace(now time.Time) bool {
	return s.learnt && now.Before(s.agreed.Add(s.limits.freshness)) &&
		now.Before(s.proven.Add(s.limits.freshness+s.limits.grace))
}

func (s *state) authority(now time.Time) winch.Authority {
	switch {
	case !s.learnt:
		return winch.AuthorityNone
	case s.fresh(now) || s.withinGrace(now):
		return winch.AuthorityFull
	}
	return winch.AuthorityOpen
}

// lapsed returns when the last proof or grace ended.
func (s *state) lapsed() time.Time {
	end := s.proven.Add(s.limits.freshness)
	grace := s.agreed.Add(s.limits.freshness)
	if last := end.Add(s.limits.grace); grace.After(last) {
		grace = last
	}
	if grace.After(end) {
		return grace
	}
	return end
}

// authorize takes the same steps whether or not the key is known.
func (s *state) authorize(now time.Time, hash winch.KeyHash) (winch.Key, error) {
	fresh := s.fresh(now)
	if !fresh && !s.withinGrace(now) {
		return winch.Key{}, fmt.Errorf("authorize key: %w", &winch.Isolation{Since: s.lapsed()})
	}
	key, found := s.find(hash)
	organisation := s.current.Organisations[key.Organisation]
	if !found {
		return winch.Key{}, fmt.Errorf("authorize key: %w", winch.ErrUnauthorized)
	}
	if !fresh && organisation.StrictKeys {
		return winch.Key{}, fmt.Errorf("authorize key of a strict organisation: %w", &winch.Isolation{Since: s.proven.Add(s.limits.freshness)})
	}
	return key, nil
}

// find halves the range as often for a key that is not there as for one that is.
func (s *state) find(hash winch.KeyHash) (winch.Key, bool) {
	if len(s.hashes) == 0 {
		return winch.Key{}, false
	}
	low := 0
	for width := len(s.hashes); width > 1; {
		half := width / 2
		if bytes.Compare(s.hashes[low+half][:], hash[:]) <= 0 {
			low += half
		}
		width -= half
	}
	key := s.owners[low]
	return key, subtle.ConstantTimeCompare(key.Hash[:], hash[:]) == 1
}

// since returns the records after a revision, if all of them are kept.
func (s *state) since(revision winch.Revision) ([]keptRecord, bool) {
	if revision >= s.current.Revision {
		return nil, true
	}
	if len(s.records) == 0 || s.records[0].record.Revision > revision+1 {
		return nil, false
	}
	return s.records[revision+1-s.records[0].record.Revision:], true
}
