package source

import (
	"time"

	"github.com/arbutuswinch/winch"
)

// state is the configuration in force and the evidence for it. It does no I/O.
type state struct {
	decoded
	version winch.Version
	// confirmedAt is the last time at which the version was known to be the newest.
	confirmedAt time.Time
	// known is the newest version of which this host has heard, and holder a host that has it. With the holder empty, any version
	// from known on may be the newest.
	known  evidence
	holder winch.HostID
	// heardAt is when this host heard last of a newer version than its own.
	heardAt time.Time
	// rejected is the newest version that could not be decoded.
	rejected winch.Version
}

// behind reports whether this host has heard of a version that it does not have. One that cannot be decoded does not count.
func (s *state) behind() bool { return s.known.version > max(s.version, s.rejected) }

// superseded reports whether this host is behind and has heard so within the limit. One that hears nothing is isolated, and cannot
// know how long the newer version has been in force elsewhere.
func (s *state) superseded(now time.Time, limit time.Duration) bool {
	return s.behind() && now.Sub(s.heardAt) <= limit
}

// hear processes evidence that a version exists, which the host from has if it is not empty.
func (s *state) hear(now time.Time, newer evidence, from winch.HostID) {
	if newer.version > s.version {
		s.heardAt = now
	}
	if newer.version > s.known.version {
		s.known, s.holder = newer, from
		return
	}
	if newer.version == s.known.version {
		s.known.confirmed = latest(s.known.confirmed, newer.confirmed)
		if s.holder == "" {
			s.holder = from
		}
	}
}

// settle processes a read of the source that returned the version as the newest. It ends what was only heard of a newer one, by a host that
// does not have it: such news may be wrong, or the source may have been set back.
func (s *state) settle(newest winch.Version) {
	if s.holder == "" && s.known.version > newest {
		s.known.version = newest
	}
}

// decoded is a configuration with what is needed to use it. It is built before the lock of the state is taken, since requests need that lock.
type decoded struct {
	configuration *winch.Configuration
	raw           []byte
	byHash        map[winch.KeyHash]winch.Key
}

// newDecoded returns the configuration with an index of its keys. Raw is its encoded form.
func newDecoded(configuration *winch.Configuration, raw []byte) decoded {
	d := decoded{configuration: configuration, raw: raw, byHash: make(map[winch.KeyHash]winch.Key, len(configuration.Keys))}
	for _, key := range configuration.Keys {
		d.byHash[key.Hash] = key
	}
	return d
}

// replaceIfNewer processes a configuration that was the newest at the time confirmed. It
// reports whether the configuration replaced the one in force.
func (s *state) replaceIfNewer(next decoded, version winch.Version, confirmed time.Time) bool {
	if version <= s.version {
		s.confirm(version, confirmed)
		return false
	}
	// Earlier evidence for this or an older version also shows that no newer one existed at its time.
	confirmed = latest(confirmed, s.confirmedAt)
	if s.known.version <= version {
		confirmed = latest(confirmed, s.known.confirmed)
	}
	s.decoded, s.version, s.confirmedAt = next, version, confirmed
	return true
}

// confirm processes evidence that the version was the newest at the time confirmed. It
// ignores evidence for versions other than the one in force.
func (s *state) confirm(version winch.Version, confirmed time.Time) {
	if version == s.version && confirmed.After(s.confirmedAt) {
		s.confirmedAt = confirmed
	}
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// authority returns which requests may be served. Evidence is valid for the duration limit for keys and, if a newer version is known to
// exist, for the duration superseded for all requests.
func (s *state) authority(now time.Time, limit, superseded time.Duration) winch.Authority {
	switch {
	case s.version == 0, s.superseded(now, limit) && now.Sub(s.confirmedAt) > superseded:
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
