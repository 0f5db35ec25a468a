package keyvalue

import (
	"context"
	"strings"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"

	"github.com/arbutuswinch/winch"
)

// fakeStore is a key-value service in memory, in which tests can end leases.
type fakeStore struct {
	winch.LeasedKeyValue
	entries   map[string]winch.Entry
	leases    map[winch.LeaseID][]string
	lastLease winch.LeaseID
	err       error
}

func newFakeStore() *fakeStore {
	return &fakeStore{entries: map[string]winch.Entry{}, leases: map[winch.LeaseID][]string{}}
}

func (s *fakeStore) Grant(context.Context, time.Duration) (winch.LeaseID, error) {
	s.lastLease++
	s.leases[s.lastLease] = nil
	return s.lastLease, s.err
}

func (s *fakeStore) Renew(_ context.Context, lease winch.LeaseID) error {
	if _, found := s.leases[lease]; !found {
		return winch.ErrNotFound
	}
	return s.err
}

func (s *fakeStore) End(_ context.Context, lease winch.LeaseID) error {
	for _, key := range s.leases[lease] {
		delete(s.entries, key)
	}
	delete(s.leases, lease)
	return s.err
}

func (s *fakeStore) PutLeased(ctx context.Context, key string, value []byte, expect winch.Version, lease winch.LeaseID) (winch.Version, error) {
	s.leases[lease] = append(s.leases[lease], key)
	return s.Put(ctx, key, value, expect)
}

func (s *fakeStore) Put(_ context.Context, key string, value []byte, expect winch.Version) (winch.Version, error) {
	if _, found := s.entries[key]; found && expect == winch.VersionAbsent {
		return 0, winch.ErrConflict
	}
	s.entries[key] = winch.Entry{Key: key, Value: value, Version: 1}
	return 1, s.err
}

func (s *fakeStore) Get(_ context.Context, key string) (winch.Entry, error) {
	entry, found := s.entries[key]
	if !found {
		return winch.Entry{}, winch.ErrNotFound
	}
	return entry, s.err
}

func (s *fakeStore) List(_ context.Context, prefix string) ([]winch.Entry, winch.Version, error) {
	listed := []winch.Entry{}
	for key, entry := range s.entries {
		if strings.HasPrefix(key, prefix) {
			listed = append(listed, entry)
		}
	}
	return listed, 1, s.err
}

func newRegistry(t *testing.T, s *fakeStore, id winch.HostID) *Registry {
	t.Helper()
	r, err := New(Options{Store: s, Self: winch.Host{ID: id, DataCentre: "all", PeerAddress: "10.1.0.9:7340"}, Logger: hclog.NewNullLogger()})
	assert.NilError(t, err)
	return r
}

func assertHosts(t *testing.T, r *Registry, want int) {
	t.Helper()
	hosts, err := r.List(t.Context())
	assert.NilError(t, err)
	assert.Equal(t, len(hosts), want)
}

func TestRegistration(t *testing.T) {
	s := newFakeStore()
	r := newRegistry(t, s, "a")
	r.keepRegistered(t.Context())
	assertHosts(t, r, 1)
	t.Run("is renewed without writing the entry again", func(t *testing.T) {
		lease := r.lease
		r.keepRegistered(t.Context())
		assert.Equal(t, r.lease, lease)
	})
	t.Run("is repeated when the lease has ended", func(t *testing.T) {
		assert.NilError(t, s.End(t.Context(), r.lease))
		assertHosts(t, r, 0)
		r.keepRegistered(t.Context())
		assertHosts(t, r, 1)
	})
	t.Run("is kept while the store is unavailable", func(t *testing.T) {
		lease := r.lease
		s.err = winch.ErrUnavailable
		r.keepRegistered(t.Context())
		assert.Equal(t, r.lease, lease)
		s.err = nil
	})
	t.Run("is removed when Run ends", func(t *testing.T) {
		ended, cancel := context.WithCancel(t.Context())
		cancel()
		assert.NilError(t, r.Run(ended))
		assertHosts(t, r, 0)
	})
	t.Run("is skipped if it cannot be decoded", func(t *testing.T) {
		s.entries["hosts/x"] = winch.Entry{Key: "hosts/x", Value: []byte("{")}
		s.entries["hosts/y"] = winch.Entry{Key: "hosts/y", Value: []byte(`{"Host":"y"}`)}
		assertHosts(t, r, 0)
	})
}

func TestSecret(t *testing.T) {
	s := newFakeStore()
	first, err := newRegistry(t, s, "a").Secret(t.Context())
	assert.NilError(t, err)
	assert.Assert(t, len(first) >= 20)
	second, err := newRegistry(t, s, "b").Secret(t.Context())
	assert.NilError(t, err)
	assert.Equal(t, second, first)
	s.err = winch.ErrUnavailable
	_, err = newRegistry(t, s, "c").Secret(t.Context())
	assert.ErrorIs(t, err, winch.ErrUnavailable)
}

func TestSecretThatTheStoreHasLostIsStoredAgain(t *testing.T) {
	s := newFakeStore()
	r := newRegistry(t, s, "a")
	first, err := r.Secret(t.Context())
	assert.NilError(t, err)
	delete(s.entries, secretKey)
	again, err := r.Secret(t.Context())
	assert.NilError(t, err)
	assert.Equal(t, again, first)
	assert.Equal(t, string(s.entries[secretKey].Value), first)
	t.Run("unless another one is stored", func(t *testing.T) {
		s.entries[secretKey] = winch.Entry{Key: secretKey, Value: []byte("another")}
		for range 2 {
			other, err := r.Secret(t.Context())
			assert.NilError(t, err)
			assert.Equal(t, other, "another")
		}
	})
}
