package source

import (
	"fmt"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"

	"github.com/arbutuswinch/winch"
	"github.com/arbutuswinch/winch/httpjson"
	"github.com/arbutuswinch/winch/platform/operator"
	"github.com/arbutuswinch/winch/platform/platformtest"
	"github.com/arbutuswinch/winch/platform/store"
)

// largeRoutes is a number of routes whose configuration is larger than inlineLimit.
const largeRoutes = 300

// site is a store with the configuration, and hosts that follow it with a clock in common.
type site struct {
	store   *platformtest.Store
	address string
	clock   *fakeClock
	// client is that of the newest host.
	client *store.Client
	// routes is the number of additional routes of each configuration.
	routes int
	writes int
}

// eachSite runs the test with a store that tells its era and with one that does not.
func eachSite(t *testing.T, test func(t *testing.T, s *site)) {
	t.Helper()
	for name, tellsEra := range map[string]bool{"era told": true, "era not told": false} {
		t.Run(name, func(t *testing.T) {
			s := &site{store: platformtest.NewStore(), clock: &fakeClock{now: start}}
			if tellsEra {
				s.store.TellEra()
			}
			server := httptest.NewServer(s.store)
			t.Cleanup(server.Close)
			s.address = strings.TrimPrefix(server.URL, "http://")
			test(t, s)
		})
	}
}

// newHost returns the follower of a new process. The content of other hosts is at the address peer.
func (s *site) newHost(t *testing.T, peer string) *Follower {
	t.Helper()
	client, err := store.New(store.Options{Address: s.address})
	assert.NilError(t, err)
	s.client = client
	host, err := New(Options{
		Source: operator.New(client), Clock: s.clock, Logger: hclog.NewNullLogger(), Self: "self", Membership: oneHost{address: peer},
		FreshnessLimit: 4 * time.Second, SupersededLimit: 2 * time.Second,
	})
	assert.NilError(t, err)
	host.Connect("s")
	return host
}

// configure writes the configuration with the revision as the operator does.
func (s *site) configure(revision int) {
	s.store.Set(platformtest.ConfigurationKey, platformtest.DeskConfigurationWithRoutes(revision, fmt.Sprintf("r%d", revision), s.routes))
}

// writeOthers makes other writes, so that the store's revision rises.
func (s *site) writeOthers(count int) {
	for range count {
		s.writes++
		s.store.Set(fmt.Sprintf("%sother-%d", platformtest.EndpointPrefix, s.writes), []byte("{}"))
	}
}

// stepAfter makes each host read the source after the duration.
func (s *site) stepAfter(t *testing.T, wait time.Duration, hosts ...*Follower) {
	t.Helper()
	s.clock.now = s.clock.now.Add(wait)
	for _, host := range hosts {
		host.Step(t.Context())
	}
}

// loseRevision5 returns a host that has revision 5 in force, which the store has lost: it came back with revision 1.
func (s *site) loseRevision5(t *testing.T) *Follower {
	t.Helper()
	s.configure(1)
	backup := s.store.Backup()
	s.writeOthers(10)
	s.configure(5)
	host := s.newHost(t, "")
	s.stepAfter(t, 0, host)
	assertInForce(t, host, 5, start)
	s.store.Return(backup)
	return host
}

func assertInForce(t *testing.T, f *Follower, revision winch.Revision, confirmed time.Time) {
	t.Helper()
	assert.Equal(t, f.Current().Revision, revision)
	assert.Assert(t, !f.ConfirmedAt().After(confirmed), "confirmed %s after the newest proof", f.ConfirmedAt().Sub(confirmed))
	assert.Assert(t, confirmed.Sub(f.ConfirmedAt()) <= 2*time.Millisecond, "confirmed %s before the newest proof", confirmed.Sub(f.ConfirmedAt()))
}

// serveContent returns the address at which other hosts fetch the configuration of the host.
func serveContent(t *testing.T, host *Follower) string {
	t.Helper()
	server := httptest.NewServer(httpjson.RequireSecret("s", host.Handler()))
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

// TestConfigurationIsWrittenAgainAfterAReturn guards against hosts that refuse all keys, because what the operator has written again has a
// lower version in the store than before.
func TestConfigurationIsWrittenAgainAfterAReturn(t *testing.T) {
	eachSite(t, func(t *testing.T, s *site) {
		host := s.loseRevision5(t)
		s.stepAfter(t, time.Second, host)
		s.configure(5)
		s.stepAfter(t, time.Second, host)
		assertInForce(t, host, 5, s.clock.now)
		t.Run("and stays confirmed while nothing changes", func(t *testing.T) {
			s.stepAfter(t, 10*time.Second, host)
			assertInForce(t, host, 5, s.clock.now)
			assert.Equal(t, host.Authority(s.clock.now), winch.AuthorityFull)
		})
	})
}

// TestNewerConfigurationAfterAReturn guards against hosts that ignore a new configuration, because its version in the store is lower.
func TestNewerConfigurationAfterAReturn(t *testing.T) {
	eachSite(t, func(t *testing.T, s *site) {
		host := s.loseRevision5(t)
		s.configure(7)
		s.stepAfter(t, time.Second, host)
		assertInForce(t, host, 7, s.clock.now)
	})
}

// TestOlderConfigurationAfterAReturn guards against hosts that go back to an older configuration, or take it for a proof that theirs is
// still the newest: a newer one may have been lost with it.
func TestOlderConfigurationAfterAReturn(t *testing.T) {
	eachSite(t, func(t *testing.T, s *site) {
		host := s.loseRevision5(t)
		changed := host.Changed()
		assertUnchanged := func(t *testing.T) {
			t.Helper()
			assertInForce(t, host, 5, start)
			select {
			case <-changed:
				t.Fatal("another configuration was in force in between")
			default:
			}
		}
		t.Run("as the store came back with it", func(t *testing.T) {
			s.stepAfter(t, time.Second, host)
			assertUnchanged(t)
		})
		t.Run("written again with a higher version", func(t *testing.T) {
			s.writeOthers(20)
			s.configure(3)
			s.stepAfter(t, time.Second, host)
			s.stepAfter(t, time.Second, host)
			assertUnchanged(t)
		})
		t.Run("relayed by a hub that began after the return", func(t *testing.T) {
			hub := s.newHost(t, "")
			s.stepAfter(t, time.Second, hub)
			assert.NilError(t, host.Section().Apply(s.clock.now, s.clock.now, "hub", hub.Section().Summary(s.clock.now, "self")))
			assertUnchanged(t)
		})
		t.Run("until keys are refused", func(t *testing.T) {
			assert.Equal(t, host.Authority(start.Add(4*time.Second+1)), winch.AuthorityOpen)
			assert.Assert(t, !host.Superseded(s.clock.now))
		})
	})
}

// TestNewProcessAfterAReturn guards against new processes that serve by the older copy although other hosts have a newer revision.
func TestNewProcessAfterAReturn(t *testing.T) {
	t.Run("gets it within the exchange", func(t *testing.T) {
		eachSite(t, func(t *testing.T, s *site) {
			hub := s.loseRevision5(t)
			s.writeOthers(20)
			s.configure(3)
			host := s.newHost(t, "")
			s.stepAfter(t, time.Second, host)
			assertInForce(t, host, 3, s.clock.now)
			exchange(t, host, hub, s.clock, 0)
			assertInForce(t, host, 5, start)
			t.Run("and the hub keeps it", func(t *testing.T) {
				exchange(t, host, hub, s.clock, 0)
				assertInForce(t, hub, 5, start)
			})
		})
	})
	t.Run("gets a large one from the hub", func(t *testing.T) {
		eachSite(t, func(t *testing.T, s *site) {
			s.routes = largeRoutes
			hub := s.loseRevision5(t)
			s.writeOthers(20)
			s.configure(3)
			host := s.newHost(t, serveContent(t, hub))
			s.stepAfter(t, time.Second, host)
			exchange(t, host, hub, s.clock, 0)
			assert.Assert(t, host.Superseded(s.clock.now))
			host.catchUp(t.Context())
			assertInForce(t, host, 5, start)
		})
	})
	t.Run("refuses requests meanwhile", func(t *testing.T) {
		eachSite(t, func(t *testing.T, s *site) {
			s.routes = largeRoutes
			hub := s.loseRevision5(t)
			s.writeOthers(20)
			s.configure(3)
			host := s.newHost(t, "127.0.0.1:1")
			s.stepAfter(t, time.Second, host)
			for range 4 {
				exchange(t, host, hub, s.clock, 0)
				s.stepAfter(t, 600*time.Millisecond, host)
			}
			assert.Assert(t, host.Superseded(s.clock.now))
			assert.Equal(t, host.Authority(s.clock.now), winch.AuthorityNone)
		})
	})
}

// TestNewProcessHearsBeforeItReads guards against a new process that takes the older copy for the newest configuration, although it has heard
// of a newer one before it read the source.
func TestNewProcessHearsBeforeItReads(t *testing.T) {
	eachSite(t, func(t *testing.T, s *site) {
		s.routes = largeRoutes
		hub := s.loseRevision5(t)
		host := s.newHost(t, "127.0.0.1:1")
		exchange(t, host, hub, s.clock, 0)
		s.stepAfter(t, time.Second, host)
		assert.Equal(t, host.Current().Revision, winch.Revision(1))
		assert.Assert(t, host.Superseded(s.clock.now))
		assert.Equal(t, host.Authority(s.clock.now), winch.AuthorityNone)
	})
}

// TestTwoReturnsInARow guards against a rule that holds for one return only.
func TestTwoReturnsInARow(t *testing.T) {
	eachSite(t, func(t *testing.T, s *site) {
		host := s.loseRevision5(t)
		s.configure(3)
		backup := s.store.Backup()
		s.configure(7)
		s.stepAfter(t, time.Second, host)
		assertInForce(t, host, 7, s.clock.now)
		confirmed := s.clock.now
		s.store.Return(backup)
		s.stepAfter(t, time.Second, host)
		assertInForce(t, host, 7, confirmed)
		s.configure(7)
		s.stepAfter(t, time.Second, host)
		assertInForce(t, host, 7, s.clock.now)
		s.configure(8)
		s.stepAfter(t, time.Second, host)
		assertInForce(t, host, 8, s.clock.now)
	})
}

// matchKnownVersion returns a host that has read revision 5, whose version in the store stands for revision 7 now.
func (s *site) matchKnownVersion(t *testing.T) *Follower {
	t.Helper()
	s.configure(1)
	backup := s.store.Backup()
	s.configure(5)
	host := s.newHost(t, "")
	s.stepAfter(t, 0, host)
	s.writeOthers(20)
	s.listEndpoints(t)
	s.stepAfter(t, time.Second, host)
	assertInForce(t, host, 5, s.clock.now)
	s.store.Return(backup)
	s.configure(7)
	return host
}

// TestKnownVersionIsMatchedByAnotherWrite guards against hosts that miss a configuration, because its version in the store is by chance that
// of the one they have.
func TestKnownVersionIsMatchedByAnotherWrite(t *testing.T) {
	eachSite(t, func(t *testing.T, s *site) {
		host := s.matchKnownVersion(t)
		s.stepAfter(t, time.Second, host)
		assertInForce(t, host, 7, s.clock.now)
	})
}

// listEndpoints reads the list of endpoints with the client of the newest host, as each host does once a second.
func (s *site) listEndpoints(t *testing.T) {
	t.Helper()
	_, _, err := s.client.List(t.Context(), platformtest.EndpointPrefix)
	assert.NilError(t, err)
}

// TestConditionIsMatchedByAnotherWrite is TestKnownVersionIsMatchedByAnotherWrite for a configuration that is only transferred if it has
// changed.
func TestConditionIsMatchedByAnotherWrite(t *testing.T) {
	eachSite(t, func(t *testing.T, s *site) {
		s.routes = largeRoutes
		s.writeOthers(1)
		host := s.matchKnownVersion(t)
		// The conditional read tells no revision. Without the era, the list shows that the store has come back, after which one read may fail.
		s.listEndpoints(t)
		s.stepAfter(t, time.Second, host)
		assert.Assert(t, host.Current().Revision == 7 || host.ConfirmedAt().Before(s.clock.now), "revision 5 is confirmed by another write")
		s.stepAfter(t, time.Second, host)
		assertInForce(t, host, 7, s.clock.now)
	})
}
