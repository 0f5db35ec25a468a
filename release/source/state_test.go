package source

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/arbutuswinch/winch"
)

const (
	testFreshness  = 4 * time.Second
	testSuperseded = 2 * time.Second
)

// newState returns a state whose configuration has the revision, digest and version, and was the newest at start.
func newState(e edition) *state {
	s := &state{decoded: decoded{configuration: &winch.Configuration{}}}
	s.replaceIfNewer(decoded{configuration: &winch.Configuration{Revision: e.revision}, edition: e}, start)
	return s
}

func assertAuthority(t *testing.T, s *state, now time.Time, want winch.Authority) {
	t.Helper()
	assert.Equal(t, s.authority(now, testFreshness, testSuperseded), want)
}

// TestOlderCopyIsNoEvidenceBesideNews guards against a host that goes on by an older copy of the source although another host has a newer
// revision.
func TestOlderCopyIsNoEvidenceBesideNews(t *testing.T) {
	older, newer := edition{revision: 3, digest: 1, version: 120}, edition{revision: 5, digest: 2, version: 110}
	heardAt := start.Add(time.Second)
	newBehind := func() *state {
		s := newState(older)
		s.hear(heardAt, evidence{edition: newer, confirmed: start.Add(-time.Second)}, "hub")
		return s
	}
	t.Run("a read before the news leaves what it has proved", func(t *testing.T) {
		s := newBehind()
		s.settle(reading{edition: older}, heardAt, testFreshness)
		s.confirm(older, heardAt)
		assert.Assert(t, s.behind())
		assertAuthority(t, s, heardAt, winch.AuthorityFull)
		assertAuthority(t, s, start.Add(testSuperseded+1), winch.AuthorityNone)
	})
	t.Run("a read after the news shows that the source was set back", func(t *testing.T) {
		s := newBehind()
		s.settle(reading{edition: older}, heardAt.Add(1), testFreshness)
		s.confirm(older, heardAt.Add(1))
		assertAuthority(t, s, heardAt.Add(1), winch.AuthorityNone)
	})
	t.Run("the newer one has the evidence of the others alone", func(t *testing.T) {
		s := newBehind()
		assert.Assert(t, s.replaceIfNewer(decoded{configuration: &winch.Configuration{}, edition: newer}, time.Time{}))
		assert.Equal(t, s.confirmedAt, start.Add(-time.Second))
	})
	t.Run("nor does it count for a newer one of unknown age", func(t *testing.T) {
		s := newState(older)
		assert.Assert(t, s.replaceIfNewer(decoded{configuration: &winch.Configuration{}, edition: newer}, time.Time{}))
		assert.Assert(t, s.confirmedAt.IsZero())
	})
	t.Run("nor does what was heard of an older one", func(t *testing.T) {
		s := &state{decoded: decoded{configuration: &winch.Configuration{}}}
		s.hear(heardAt, evidence{edition: older, confirmed: heardAt}, "hub")
		assert.Assert(t, s.replaceIfNewer(decoded{configuration: &winch.Configuration{}, edition: newer}, time.Time{}))
		assert.Assert(t, s.confirmedAt.IsZero())
	})
	t.Run("until no host has had the newer one for the limit", func(t *testing.T) {
		s := newBehind()
		now := heardAt.Add(testFreshness + 1)
		s.settle(reading{edition: older}, now, testFreshness)
		s.confirm(older, now)
		assert.Assert(t, !s.behind())
		assertAuthority(t, s, now, winch.AuthorityFull)
	})
}

// TestEvidenceCountsForWhatWasWrittenLater guards against a host that refuses keys after a change whose age it was not told.
func TestEvidenceCountsForWhatWasWrittenLater(t *testing.T) {
	s := newState(edition{revision: 3, digest: 1, version: 110})
	assert.Assert(t, s.replaceIfNewer(decoded{configuration: &winch.Configuration{}, edition: edition{revision: 5, digest: 2, version: 120}}, time.Time{}))
	assert.Equal(t, s.confirmedAt, start)
}

// TestNewsEndWithALaterProof guards against a host that cannot reach the source and refuses keys for good after wrong news.
func TestNewsEndWithALaterProof(t *testing.T) {
	own := edition{revision: 3, digest: 1, version: 110}
	s := newState(own)
	s.hear(start.Add(time.Second), evidence{edition: own.successor()}, "")
	s.confirm(own, start.Add(time.Second))
	assert.Assert(t, s.behind())
	assert.Equal(t, s.confirmedAt, start)
	s.confirm(own, start.Add(2*time.Second))
	assert.Assert(t, !s.behind())
	assert.Equal(t, s.confirmedAt, start.Add(2*time.Second))
}

// TestRejectedEditionIsNotWaitedFor guards against a host that refuses all requests because of a configuration that it cannot decode.
func TestRejectedEditionIsNotWaitedFor(t *testing.T) {
	own, other := edition{revision: 3, digest: 1, version: 110}, edition{revision: 5, digest: 2, version: 120}
	readAt := start.Add(time.Second)
	// reject returns a state that has heard of the other edition, and has read one that it cannot decode.
	reject := func(rejected edition) *state {
		s := newState(own)
		s.hear(start, evidence{edition: other}, "hub")
		assert.Assert(t, s.behind())
		s.settle(reading{edition: rejected, err: winch.ErrInvalid}, readAt, testFreshness)
		return s
	}
	for name, rejected := range map[string]edition{
		"the one it has heard of":                      {digest: 2, version: 120},
		"the one it has heard of, written once more":   {digest: 2, version: 115},
		"one that was written after that":              {digest: 3, version: 125},
		"the one it has heard of, with another number": {revision: 4, digest: 2, version: 115},
	} {
		t.Run(name, func(t *testing.T) {
			s := reject(rejected)
			assert.Assert(t, !s.behind())
			assertAuthority(t, s, readAt, winch.AuthorityFull)
		})
	}
	t.Run("a newer one is", func(t *testing.T) {
		s := reject(edition{digest: 2, version: 120})
		s.hear(readAt, evidence{edition: edition{revision: 7, digest: 3, version: 130}}, "hub")
		assert.Assert(t, s.behind())
	})
	t.Run("so is another one once the source has one that can be decoded", func(t *testing.T) {
		s := reject(edition{digest: 3, version: 125})
		s.settle(reading{edition: own}, start, testFreshness)
		assert.Assert(t, s.behind())
	})
}
