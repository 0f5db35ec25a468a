package peer

import (
	"bytes"
	"crypto/subtle"
	"fmt"
	"reflect"
	"slices"
	"time"

	"github.com/arbutuswinch/winch"
	"github.com/arbutuswinch/winch/release"
)

// maxKeptRecords bounds the records that are kept to update other hosts.
const maxKeptRecords = 512

// proof states that no revision newer than the given one is accepted before the freshness
// limit after asOf, a time of this host's clock. The same type holds the agreement of one
// data centre: at asOf, a majority of its hosts knew no newer revision.
type proof struct {
	asOf     time.Time
	revision winch.Revision
}

// keptRecord is a record with the time at which it was received.
type keptRecord struct {
	record     winch.ReleaseRecord
	receivedAt time.Time
}

// state is the configuration of a host and what it knows about newer revisions. It
// does no I/O. The caller must hold the lock, or read a copy: what the fields refer to is not modified.
type state struct {
	limits  limits
	started time.Time
	current *winch.Configuration
	// keyHashes are the hashes of sortedKeys, and sortedKeys the keys of current sorted by
	// hash. The search reads only the hashes.
	keyHashes  []winch.KeyHash
	sortedKeys []winch.Key
	// initialized is set once a committed configuration or a proof was received.
	initialized bool
	// maxKnown is the newest revision that is known to exist.
	maxKnown winch.Revision
	// accepted is the newest revision that is known to be recorded as accepted on the platform.
	accepted winch.Revision
	// records are the newest records up to current, without gaps.
	records []keptRecord
	// provenAt is the latest time for which there is a proof for current.
	provenAt time.Time
	// agreedAt is the latest time at which a majority of this data centre's hosts
	// knew no revision newer than current.
	agreedAt time.Time
}

// limits are the durations by which proofs, the grace, acceptance and the roster are judged.
type limits struct {
	freshness    time.Duration
	grace        time.Duration
	margin       time.Duration
	rosterMemory time.Duration
	// disabled is set by tests only, which show that each guard is needed.
	disabled disabledGuards
}

// disabledGuards names the safety checks to skip.
type disabledGuards struct {
	// proofExpiry makes proofs valid forever.
	proofExpiry bool
	// majority lets a single host stand for the majority of its data centre.
	majority bool
	// proofRevision accepts proofs for revisions that this host lacks.
	proofRevision bool
	// settlement accepts revisions without waiting for majorities.
	settlement bool
	// rosterRetention removes silent hosts from the roster even if the hub has no
	// connection to the platform.
	rosterRetention bool
	// knownRoster lets hubs that have not loaded the roster evaluate the majority of their data centre.
	knownRoster bool
	// learnerExclusion counts hosts that have had no proof since their start.
	learnerExclusion bool
	// echoedToken dates a report to its arrival instead of the summary that it echoes.
	echoedToken bool
}

func newState(limits limits, started time.Time) *state {
	return &state{limits: limits, started: started, current: release.Empty()}
}

// replaceIfNewer replaces the configuration if the given one is newer, and reports
// whether it did. The records that lead to it may be nil.
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
	sharesKeys := reflect.ValueOf(configuration.Keys).UnsafePointer() == reflect.ValueOf(s.current.Keys).UnsafePointer()
	s.current = configuration
	if !sharesKeys {
		s.indexKeys()
	}
	return true
}

// applyRecords applies the records that directly follow the current configuration,
// and reports whether there were any.
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

func (s *state) observeRevision(revision winch.Revision) { s.maxKnown = max(s.maxKnown, revision) }

func (s *state) indexKeys() {
	// Without capacity, so that the keys are appended to a new array.
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

// applyProof processes a proof. It ignores the zero proof, and proofs for revisions
// that this host lacks.
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

// applyAgreement processes an agreement of a majority of the data centre's hosts that they
// knew no newer revision. It ignores the zero value, and agreements about revisions that
// this host lacks.
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

// isLearner reports whether this host has had no proof since its start. It may lack
// revisions that its previous incarnation held, so it is not counted for majorities.
func (s *state) isLearner() bool {
	return s.provenAt.Before(s.started) && !s.limits.disabled.learnerExclusion
}

// hasFreshProof reports whether the last proof is younger than the freshness limit.
func (s *state) hasFreshProof(now time.Time) bool {
	return s.initialized && (now.Before(s.provenAt.Add(s.limits.freshness)) || s.limits.disabled.proofExpiry)
}

// withinGrace reports whether this host may accept keys by the isolation grace: its last
// proof is younger than the freshness limit plus the grace, and a majority of its data
// centre agreed within the last freshness limit.
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

// lapsedAt returns the time at which the last proof or the grace expired, whichever is later.
func (s *state) lapsedAt() time.Time {
	proofEnd := s.provenAt.Add(s.limits.freshness)
	graceEnd := s.agreedAt.Add(s.limits.freshness)
	if latestGraceEnd := proofEnd.Add(s.limits.grace); graceEnd.After(latestGraceEnd) {
		graceEnd = latestGraceEnd
	}
	if graceEnd.After(proofEnd) {
		return graceEnd
	}
	return proofEnd
}

// authorize returns the key with the hash. It does the same work for known and unknown
// keys, so that its timing does not reveal which keys exist.
func (s *state) authorize(now time.Time, hash winch.KeyHash) (winch.Key, error) {
	fresh := s.hasFreshProof(now)
	if !fresh && !s.withinGrace(now) {
		return winch.Key{}, fmt.Errorf("authorize key: %w", &winch.IsolationError{Since: s.lapsedAt()})
	}
	key, found := s.findKey(hash)
	organisation := s.current.Organisations[key.Organisation]
	if !found {
		return winch.Key{}, fmt.Errorf("authorize key: %w", winch.ErrUnauthorized)
	}
	if !fresh && organisation.StrictKeys {
		return winch.Key{}, fmt.Errorf("authorize key of a strict organisation: %w", &winch.IsolationError{Since: s.provenAt.Add(s.limits.freshness)})
	}
	return key, nil
}

// findKey does a binary search that does not stop at a match, so the number of steps
// is the same for known and unknown keys.
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

// recordsSince returns the records after a revision, and whether all of them are kept.
func (s *state) recordsSince(revision winch.Revision) ([]keptRecord, bool) {
	if revision >= s.current.Revision {
		return nil, true
	}
	if len(s.records) == 0 || s.records[0].record.Revision > revision+1 {
		return nil, false
	}
	return s.records[revision+1-s.records[0].record.Revision:], true
}
