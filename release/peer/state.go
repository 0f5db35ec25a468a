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

// maxKeptRecords bounds the records that are kept to bring others up to date.
const maxKeptRecords = 512

// proof says that as of an instant of this host's clock no newer revision could
// have been accepted.
type proof struct {
	asOf     time.Time
	revision winch.Revision
}

// keptRecord is a record with the instant at which it was learnt.
type keptRecord struct {
	record     winch.ReleaseRecord
	receivedAt time.Time
}

// state is what a host knows. It does no I/O; the caller locks.
type state struct {
	limits      limits
	started     time.Time
	current     *winch.Configuration
	keyHashes   []winch.KeyHash
	sortedKeys  []winch.Key
	initialized bool
	// highestKnown is the newest revision that was heard of.
	highestKnown winch.Revision
	accepted     winch.Revision
	records      []keptRecord
	// provenAt is the newest instant for which there is a proof for current.
	provenAt time.Time
	// agreedAt is the newest instant for which a majority of this data centre's
	// hosts knew nothing newer than current.
	agreedAt time.Time
}

// limits are the durations that decide how long knowledge may be used. The
// switches exist for tests, which show that each rule is needed.
type limits struct {
	freshness    time.Duration
	grace        time.Duration
	margin       time.Duration
	rosterMemory time.Duration
	disabled     disabledGuards
}

// disabledGuards are rules that a test may take out.
type disabledGuards struct {
	// proofExpiry lets proofs last for ever.
	proofExpiry bool
	// majority lets any hub speak for its data centre.
	majority bool
	// proofRevision takes proofs for revisions that this host lacks.
	proofRevision bool
	// settlement accepts without waiting for majorities.
	settlement bool
	// rosterRetention lets a hub that is cut off from the platform forget silent hosts.
	rosterRetention bool
	// knownRoster lets hubs speak that do not know who counts.
	knownRoster bool
	// learnerExclusion lets hosts count that had no proof since their start.
	learnerExclusion bool
	// echoedToken takes a report as made when it arrives.
	echoedToken bool
}

func newState(limits limits, started time.Time) *state {
	return &state{limits: limits, started: started, current: release.Empty()}
}

// replaceIfNewer takes a newer configuration, and the records that lead to it if known.
// Revisions only go up.
func (s *state) replaceIfNewer(now time.Time, configuration *winch.Configuration, records []winch.ReleaseRecord) bool {
	s.observeRevision(configuration.Revision)
	s.initialized = s.initialized || configuration.Revision > 0
	if configuration.Revision <= s.current.Revision {
		return false
	}
	if len(records) == 0 || records[0].Revision > s.current.Revision+1 {
		s.records = nil
	}
	for _, record := range records {
		if record.Revision > s.current.Revision {
			s.records = append(s.records, keptRecord{record: record, receivedAt: now})
		}
	}
	if excess := len(s.records) - maxKeptRecords; excess > 0 {
		s.records = slices.Clone(s.records[excess:])
	}
	s.current = configuration
	s.indexKeys()
	return true
}

// applyRecords applies the records that continue the current configuration.
func (s *state) applyRecords(now time.Time, records []winch.ReleaseRecord) bool {
	next, applied := s.current, []winch.ReleaseRecord{}
	for _, record := range records {
		s.observeRevision(record.Revision)
		if record.Revision == next.Revision+1 {
			next = release.ApplyRecord(next, record)
			applied = append(applied, record)
		}
	}
	return s.replaceIfNewer(now, next, applied)
}

func (s *state) observeRevision(revision winch.Revision) {
	s.highestKnown = max(s.highestKnown, revision)
}

func (s *state) indexKeys() {
	s.sortedKeys = s.sortedKeys[:0:0]
	for _, key := range s.current.Keys {
		s.sortedKeys = append(s.sortedKeys, key)
	}
	slices.SortFunc(s.sortedKeys, func(a, b winch.Key) int { return bytes.Compare(a.Hash[:], b.Hash[:]) })
	s.keyHashes = make([]winch.KeyHash, len(s.sortedKeys))
	for i, key := range s.sortedKeys {
		s.keyHashes[i] = key.Hash
	}
}

// applyProof takes a proof in. A zero one says nothing, and one for a revision that this host lacks is no use.
func (s *state) applyProof(p proof) {
	if p.asOf.IsZero() {
		return
	}
	s.observeRevision(p.revision)
	if p.revision > s.current.Revision && !s.limits.disabled.proofRevision {
		return
	}
	s.initialized = true
	if p.asOf.After(s.provenAt) {
		s.provenAt = p.asOf
	}
}

// applyAgreement takes in that a majority of the data centre knew nothing newer. A zero proof says nothing.
func (s *state) applyAgreement(p proof) {
	if p.asOf.IsZero() {
		return
	}
	s.observeRevision(p.revision)
	if p.revision > s.current.Revision && !s.limits.disabled.proofRevision {
		return
	}
	if p.asOf.After(s.agreedAt) {
		s.agreedAt = p.asOf
	}
}

// isLearner tells that this host has had no proof since its start. What its
// predecessors knew may be lost to it, so that it cannot speak for its data centre.
func (s *state) isLearner() bool {
	return s.provenAt.Before(s.started) && !s.limits.disabled.learnerExclusion
}

// hasFreshProof tells whether a proof holds now.
func (s *state) hasFreshProof(now time.Time) bool {
	return s.initialized && (now.Before(s.provenAt.Add(s.limits.freshness)) || s.limits.disabled.proofExpiry)
}

// withinGrace tells whether the data centre is cut off, but not for long.
func (s *state) withinGrace(now time.Time) bool {
	return s.initialized && now.Before(s.agreedAt.Add(s.limits.freshness)) &&
		now.Before(s.provenAt.Add(s.limits.freshness+s.limits.grace))
}

func (s *state) authority(now time.Time) winch.Authority {
	switch {
	case !s.initialized:
		return winch.AuthorityNone
	case s.hasFreshProof(now) || s.withinGrace(now):
		return winch.AuthorityFull
	}
	return winch.AuthorityOpen
}

// lapsedAt returns when the last proof or grace ended.
func (s *state) lapsedAt() time.Time {
	end := s.provenAt.Add(s.limits.freshness)
	grace := s.agreedAt.Add(s.limits.freshness)
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
	fresh := s.hasFreshProof(now)
	if !fresh && !s.withinGrace(now) {
		return winch.Key{}, fmt.Errorf("authorize key: %w", &winch.Isolation{Since: s.lapsedAt()})
	}
	key, found := s.findKey(hash)
	organisation := s.current.Organisations[key.Organisation]
	if !found {
		return winch.Key{}, fmt.Errorf("authorize key: %w", winch.ErrUnauthorized)
	}
	if !fresh && organisation.StrictKeys {
		return winch.Key{}, fmt.Errorf("authorize key of a strict organisation: %w", &winch.Isolation{Since: s.provenAt.Add(s.limits.freshness)})
	}
	return key, nil
}

// findKey halves the range as often for a key that is not there as for one that is.
func (s *state) findKey(hash winch.KeyHash) (winch.Key, bool) {
	if len(s.keyHashes) == 0 {
		return winch.Key{}, false
	}
	low := 0
	for width := len(s.keyHashes); width > 1; {
		half := width / 2
		if bytes.Compare(s.keyHashes[low+half][:], hash[:]) <= 0 {
			low += half
		}
		width -= half
	}
	key := s.sortedKeys[low]
	return key, subtle.ConstantTimeCompare(key.Hash[:], hash[:]) == 1
}

// recordsSince returns the records after a revision, if all of them are kept.
func (s *state) recordsSince(revision winch.Revision) ([]keptRecord, bool) {
	if revision >= s.current.Revision {
		return nil, true
	}
	if len(s.records) == 0 || s.records[0].record.Revision > revision+1 {
		return nil, false
	}
	return s.records[revision+1-s.records[0].record.Revision:], true
}
