package source

import (
	"time"

	"github.com/arbutuswinch/winch"
)

// state is the configuration in force with the evidence for it. It does no I/O.
type state struct {
	configuration *winch.Configuration
	raw           []byte
	version       winch.Version
	byHash        map[winch.KeyHash]winch.Key
	// confirmedAt is when the version was known to be the newest.
	confirmedAt time.Time
}

// replaceIfNewer takes in a configuration that was the newest at the instant confirmed. It
// reports whether it replaces the one in force.
func (s *state) replaceIfNewer(configuration *winch.Configuration, raw []byte, version winch.Version, confirmed time.Time) bool {
	if version <= s.version {
		s.confirm(version, confirmed)
		return false
	}
	s.configuration, s.raw, s.version, s.confirmedAt = configuration, raw, version, confirmed
	s.byHash = make(map[winch.KeyHash]winch.Key, len(configuration.Keys))
	for _, key := range configuration.Keys {
		s.byHash[key.Hash] = key
	}
	return true
}

// confirm takes in evidence that the version was the newest at the instant.
func (s *state) confirm(version winch.Version, confirmed time.Time) {
	if version == s.version && confirmed.After(s.confirmedAt) {
		s.confirmedAt = confirmed
	}
}

// authority tells what may be served, when evidence counts for the limit.
func (s *state) authority(now time.Time, limit time.Duration) winch.Authority {
	switch {
	case s.version == 0:
		return winch.AuthorityNone
	case now.Sub(s.confirmedAt) > limit:
		return winch.AuthorityOpen
	}
	return winch.AuthorityFull
}

// authorize finds the key, when evidence counts for the limit.
func (s *state) authorize(now time.Time, hash winch.KeyHash, limit time.Duration) (winch.Key, error) {
	if s.authority(now, limit) != winch.AuthorityFull {
		return winch.Key{}, &winch.Isolation{Since: s.confirmedAt.Add(limit)}
	}
	key, found := s.byHash[hash]
	if !found {
		return winch.Key{}, winch.ErrUnauthorized
	}
	return key, nil
}
