package keyvalue

import (
	"context"
	"errors"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// modelled runs the store against a map of expected versions, with a reader that keeps its
// own copy of the versions by watches.
type modelled struct {
	store    *Store
	now      time.Time
	versions map[string]Version
	last     Version
	followed map[string]Version
	seen     Version
}

func (m *modelled) expectation(t *rapid.T, key string) Version {
	return rapid.SampledFrom([]Version{ExpectAny, ExpectAbsent, m.versions[key], m.versions[key] + 1}).Draw(t, "expect")
}

func (m *modelled) fits(key string, expect Version) bool {
	return expect == ExpectAny || expect == m.versions[key]
}

func (m *modelled) put(t *rapid.T) {
	key := rapid.SampledFrom([]string{"p/a", "p/b", "q"}).Draw(t, "key")
	expect := m.expectation(t, key)
	entry, err := m.store.Put(m.now, key, nil, expect, "")
	if !m.fits(key, expect) {
		assert.Assert(t, errors.Is(err, ErrConflict))
		assert.Equal(t, entry.Version, m.versions[key])
		return
	}
	assert.NilError(t, err)
	assert.Assert(t, entry.Version > m.last, "versions grow over all keys")
	m.last, m.versions[key] = entry.Version, entry.Version
}

func (m *modelled) remove(t *rapid.T) {
	key := rapid.SampledFrom([]string{"p/a", "p/b"}).Draw(t, "key")
	expect := m.expectation(t, key)
	entry, err := m.store.Delete(m.now, key, expect)
	if !m.fits(key, expect) {
		assert.Assert(t, errors.Is(err, ErrConflict))
		return
	}
	assert.NilError(t, err)
	m.last = entry.Version
	delete(m.versions, key)
}

// follow applies the result of a watch to the copy, which must then equal the expected versions.
func (m *modelled) follow(t *rapid.T) {
	entries, revision, err := m.store.Watch(context.Background(), "p/", m.seen, 0)
	assert.NilError(t, err)
	m.seen = revision
	for _, entry := range entries {
		m.followed[entry.Key] = entry.Version
		if entry.Deleted {
			delete(m.followed, entry.Key)
		}
	}
	for _, key := range []string{"p/a", "p/b"} {
		assert.Equal(t, m.followed[key], m.versions[key], key)
	}
}

func TestStoreModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &modelled{store: NewStore(), now: time.Unix(1000, 0), versions: map[string]Version{}, followed: map[string]Version{}}
		t.Repeat(map[string]func(*rapid.T){"put": m.put, "delete": m.remove, "follow": m.follow})
	})
}
