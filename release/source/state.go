package source

import (
	"time"

	"github.com/arbutuswinch/winch"
)

// state is the configuration in force and the evidence for it. It does no I/O.
type state struct {
	decoded
	// confirmedAt is the last time at which the edition in force was known to be the newest.
	confirmedAt time.Time
	// news is of the newest edition of which this host has heard.
	news news
	// heardAt is when this host heard last of a newer edition than its own.
	heardAt time.Time
	// rejected is the last edition that could not be decoded.
	rejected edition
	// expected is what the source had when it was read last, or what was put in force since.
	expected reading
}

// reading is the result of a read of the source.
type reading struct {
	edition edition
	// err is set if the configuration could not be decoded.
	err error
}

// news is what this host has heard of an edition.
type news struct {
	evidence
	// holder is the host that told last that it has the edition. If it is empty, any edition from this one on may be the newest.
	holder winch.HostID
	// heldSince is when a host told first that it has the edition, and heldAt when one did last.
	heldSince, heldAt time.Time
}

// behind reports whether this host has heard of an edition that it does not have. One that cannot be decoded does not count, nor does
// one that was replaced by such a one.
func (s *state) behind() bool {
	return s.news.edition.newerThan(s.edition) && !s.hasRejected(s.news.edition)
}

func (s *state) hasRejected(e edition) bool {
	return !s.rejected.isNone() && (e.digest == s.rejected.digest || !e.isWrittenAfter(s.rejected))
}

// superseded reports whether this host is behind and has heard so within the limit. One that hears nothing is isolated, and cannot
// know how long the newer edition has been in force elsewhere.
func (s *state) superseded(now time.Time, limit time.Duration) bool {
	return s.behind() && now.Sub(s.heardAt) <= limit
}

// hear processes evidence that an edition exists, which the host from has if it is not empty.
func (s *state) hear(now time.Time, heard evidence, from winch.HostID) {
	if heard.edition.newerThan(s.edition) {
		s.heardAt = now
	}
	switch {
	case heard.edition.newerThan(s.news.edition):
		s.news = news{evidence: heard}
	case heard.edition.same(s.news.edition):
		s.news.edition.version = max(s.news.edition.version, heard.edition.version)
		s.news.confirmed = latest(s.news.confirmed, heard.confirmed)
	default:
		return
	}
	if from == "" {
		return
	}
	if s.news.holder == "" {
		s.news.heldSince = now
	}
	s.news.holder, s.news.heldAt = from, now
}

// settle processes a read of the source that was sent at the given time. It returns the time at which the read proves its result to be the
// newest, or zero if it does not. It ends news of a newer edition that no host had within the limit: they may be wrong, or the source may
// have been set back.
func (s *state) settle(read reading, sent time.Time, limit time.Duration) time.Time {
	s.expected = read
	if read.err != nil {
		s.rejected = read.edition
	} else {
		s.rejected = edition{}
	}
	contradicted := s.news.edition.newerThan(read.edition)
	switch {
	case (contradicted || read.err != nil) && (s.news.holder == "" || sent.Sub(s.news.heldAt) > limit):
		s.news = news{}
	case contradicted && read.err == nil && s.behind() && sent.After(s.news.heldSince):
		// The edition was in the source before the read began, so the source has come back from an older copy. What it has proves
		// nothing of this host's configuration.
		s.confirmedAt = time.Time{}
		return time.Time{}
	}
	return sent
}

// decoded is a configuration with what is needed to use it. It is built before the lock of the state is taken, since requests need that lock.
type decoded struct {
	configuration *winch.Configuration
	raw           []byte
	edition       edition
	byHash        map[winch.KeyHash]winch.Key
}

// newDecoded returns the configuration with an index of its keys. Raw is its stored form, whose entry in the store has the version.
func newDecoded(configuration *winch.Configuration, raw []byte, version winch.Version) decoded {
	d := decoded{
		configuration: configuration, raw: raw, edition: editionOf(configuration.Revision, raw, version),
		byHash: make(map[winch.KeyHash]winch.Key, len(configuration.Keys)),
	}
	for _, key := range configuration.Keys {
		d.byHash[key.Hash] = key
	}
	return d
}

// replaceIfNewer processes a configuration that was the newest at the time confirmed. It
// reports whether the configuration replaced the one in force.
func (s *state) replaceIfNewer(next decoded, confirmed time.Time) bool {
	if !next.edition.newerThan(s.edition) {
		s.confirm(next.edition, confirmed)
		return false
	}
	s.confirmedAt = s.evidenceFor(next.edition, confirmed)
	s.decoded = next
	s.expected = reading{edition: next.edition}
	return true
}

// evidenceFor returns the newest time at which no edition newer than next is known to have existed, if evidence from elsewhere is of
// the time confirmed, or zero if there is none.
func (s *state) evidenceFor(next edition, confirmed time.Time) time.Time {
	if next.same(s.news.edition) {
		confirmed = latest(confirmed, s.news.confirmed)
	}
	if !confirmed.IsZero() {
		return confirmed
	}
	// Evidence for an edition that was written before next also shows that there was none after next at its time. An older edition with a
	// later version was read from an older copy of the store, and shows nothing.
	if next.isWrittenAfter(s.edition) {
		confirmed = s.confirmedAt
	}
	if next.newerThan(s.news.edition) && next.isWrittenAfter(s.news.edition) {
		confirmed = latest(confirmed, s.news.confirmed)
	}
	return confirmed
}

// confirm processes evidence that the edition was the newest at the time confirmed. It ignores evidence for editions other than the one in
// force, and evidence from before the news that there is a newer one.
func (s *state) confirm(newest edition, confirmed time.Time) {
	if !newest.same(s.edition) {
		return
	}
	s.edition.version = max(s.edition.version, newest.version)
	if s.behind() {
		if s.news.holder != "" || !confirmed.After(s.heardAt) {
			return
		}
		s.news = news{}
	}
	s.confirmedAt = latest(s.confirmedAt, confirmed)
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// authority returns which requests may be served. Evidence is valid for the duration limit for keys and, if a newer edition is known to
// exist, for the duration superseded for all requests.
func (s *state) authority(now time.Time, limit, superseded time.Duration) winch.Authority {
	switch {
	case s.edition.isNone(), s.superseded(now, limit) && now.Sub(s.confirmedAt) > superseded:
		return winch.AuthorityNone
	case now.Sub(s.confirmedAt) > limit:
		return winch.AuthorityOpen
	}
	return winch.AuthorityFull
}

// authorize returns the key with the hash. The limits are those of authority. Before
// the first configuration, Since of the error is not a meaningful time.
func (s *state) authorize(now time.Time, hash winch.KeyHash, limit, superseded time.Duration) (winch.Key, error) {
	if s.authority(now, limit, superseded) != winch.AuthorityFull {
		return winch.Key{}, &winch.IsolationError{Since: s.confirmedAt.Add(limit)}
	}
	key, found := s.byHash[hash]
	if !found {
		return winch.Key{}, winch.ErrUnauthorized
	}
	return key, nil
}
