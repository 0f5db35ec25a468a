package keyvalue

import (
	"context"
	"errors"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// storeModel runs the store against a map of expected versions, with a reader that keeps its
// own copy of the versions by watches.
type storeModel struct {
	store           *Store
	now             time.Time
	versions        map[string]Version
	lastVersion     Version
	watched         map[string]Version
	watchedRevision Version
}

func (m *storeModel) expectation(t *rapid.T, key string) Version {
	return rapid.SampledFrom([]Version{ExpectAny, ExpectAbsent, m.versions[key], m.versions[key] + 1}).Draw(t, "expect")
}

func (m *storeModel) matches(key string, expect Version) bool {
	return expect == ExpectAny || expect == m.versions[key]
}

func (m *storeModel) put(t *rapid.T) {
	key := rapid.SampledFrom([]string{"p/a", "p/b", "q"}).Draw(t, "key")
	expect := m.expectation(t, key)
	entry, err := m.store.Put(m.now, key, nil, expect, "")
	if !m.matches(key, expect) {
		assert.Assert(t, errors.Is(err, ErrConflict))
		assert.Equal(t, entry.Version, m.versions[key])
		return
	}
	assert.NilError(t, err)
	assert.Assert(t, entry.Version > m.lastVersion, "versions increase across all keys")
	m.lastVersion, m.versions[key] = entry.Version, entry.Version
}

func (m *storeModel) remove(t *rapid.T) {
	key := rapid.SampledFrom([]string{"p/a", "p/b"}).Draw(t, "key")
	expect := m.expectation(t, key)
	entry, err := m.store.Delete(m.now, key, expect)
	if !m.matches(key, expect) {
		assert.Assert(t, errors.Is(err, ErrConflict))
		return
	}
	assert.NilError(t, err)
	m.lastVersion = entry.Version
	delete(m.versions, key)
}

// follow applies the result of a watch to the copy, which must then equal the expected versions.
func (m *storeModel) follow(t *rapid.T) {
	entries, revision, err := m.store.Watch(context.Background(), "p/", m.watchedRevision, 0)
	assert.NilError(t, err)
	m.watchedRevision = revision
	for _, entry := range entries {
		m.watched[entry.Key] = entry.Version
		if entry.Deleted {
			delete(m.watched, entry.Key)
		}
	}
	for _, key := range []string{"p/a", "p/b"} {
		assert.Equal(t, m.watched[key], m.versions[key], key)
	}
}

func TestStoreModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &storeModel{store: NewStore(), now: time.Unix(1000, 0), versions: map[string]Version{}, watched: map[string]Version{}}
		t.Repeat(map[string]func(*rapid.T){"put": m.put, "delete": m.remove, "follow": m.follow})
	})
}
