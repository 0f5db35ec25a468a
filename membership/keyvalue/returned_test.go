package keyvalue

import (
	"fmt"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"

	"github.com/arbutuswinch/winch"
	"github.com/arbutuswinch/winch/platform/platformtest"
	"github.com/arbutuswinch/winch/platform/store"
)

// newHost returns the registry of a host with a client of its own.
func newHost(t *testing.T, s *platformtest.Store, id winch.HostID) *Registry {
	t.Helper()
	server := httptest.NewServer(s)
	t.Cleanup(server.Close)
	client, err := store.New(store.Options{Address: strings.TrimPrefix(server.URL, "http://")})
	assert.NilError(t, err)
	r, err := New(Options{
		Store: client, Eras: client.Eras(), Logger: hclog.NewNullLogger(),
		Self: winch.Host{ID: id, DataCentre: "all", PeerAddress: "10.1.0.9:7340"},
	})
	assert.NilError(t, err)
	return r
}

func assertRegistered(t *testing.T, s *platformtest.Store, want map[winch.HostID]bool) {
	t.Helper()
	for id, registered := range want {
		assert.Equal(t, s.Has(hostPrefix+string(id)), registered, "%s", id)
	}
}

func TestSecretIsStoredAgainAfterTheStoreCameBack(t *testing.T) {
	s := platformtest.NewStore()
	s.TellEra()
	empty := s.Backup()
	a := newHost(t, s, "a")
	a.keepRegistered(t.Context())
	s.Return(empty)
	a.keepRegistered(t.Context())
	assert.Assert(t, !s.Has(secretKey), "a host that has not read a secret creates none")
	secret, err := a.Secret(t.Context())
	assert.NilError(t, err)
	s.Return(empty)
	a.keepRegistered(t.Context())
	stored, err := newHost(t, s, "b").Secret(t.Context())
	assert.NilError(t, err)
	assert.Equal(t, stored, secret)
}

// TestHostIsRegisteredAgainAfterTheStoreCameBack lets another host get the lease that the store has lost.
func TestHostIsRegisteredAgainAfterTheStoreCameBack(t *testing.T) {
	for _, tells := range []bool{false, true} {
		t.Run(fmt.Sprintf("store tells its era %v", tells), func(t *testing.T) {
			s := platformtest.NewStore()
			if tells {
				s.TellEra()
			}
			empty := s.Backup()
			a, b := newHost(t, s, "a"), newHost(t, s, "b")
			a.keepRegistered(t.Context())
			s.Set("another", nil)
			assertHosts(t, a, 1)
			s.Return(empty)
			b.keepRegistered(t.Context())
			assert.Equal(t, a.lease, b.lease, "the lease that was lost is given out again")
			if !tells {
				// Only answers with a revision show that the store came back.
				assertHosts(t, a, 1)
			}
			a.keepRegistered(t.Context())
			assertRegistered(t, s, map[winch.HostID]bool{"a": true, "b": true})
			assert.Assert(t, a.lease != b.lease)
			t.Run("and a lease that the copy has is kept", func(t *testing.T) {
				kept := b.lease
				s.Return(s.Backup())
				b.keepRegistered(t.Context())
				assert.Equal(t, b.lease, kept)
			})
			t.Run("and a host that stops leaves the entry of the other", func(t *testing.T) {
				s.Return(empty)
				c, d := newHost(t, s, "c"), newHost(t, s, "d")
				c.keepRegistered(t.Context())
				s.Return(empty)
				d.keepRegistered(t.Context())
				assert.Equal(t, c.lease, d.lease)
				assert.NilError(t, c.remove(t.Context()))
				assertRegistered(t, s, map[winch.HostID]bool{"d": true})
			})
		})
	}
}
