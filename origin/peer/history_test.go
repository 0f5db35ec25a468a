package peer

import (
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"

	"github.com/arbutuswinch/winch"
	"github.com/arbutuswinch/winch/origin/keyvalue"
	"github.com/arbutuswinch/winch/platform/platformtest"
	"github.com/arbutuswinch/winch/platform/store"
)

// newHistory returns a history in the store, and what it knows of the store's eras.
func newHistory(t *testing.T, s *platformtest.Store, clock winch.Clock) (*keyvalue.History, winch.EraSource) {
	t.Helper()
	server := httptest.NewServer(s)
	t.Cleanup(server.Close)
	client, err := store.New(store.Options{Address: strings.TrimPrefix(server.URL, "http://")})
	assert.NilError(t, err)
	history, err := keyvalue.New(keyvalue.Options{Store: client, Clock: clock})
	assert.NilError(t, err)
	return history, client.Eras()
}

func assertSaved(t *testing.T, s *platformtest.Store, clock winch.Clock, want ...winch.SoftwareVersion) {
	t.Helper()
	history, _ := newHistory(t, s, clock)
	served, err := history.Load(t.Context(), clock.Now())
	assert.NilError(t, err)
	var got []winch.SoftwareVersion
	for _, each := range served {
		got = append(got, each.Software)
	}
	assert.DeepEqual(t, got, want)
}

func TestVersionsThatTheStoreLostAreSavedAgain(t *testing.T) {
	s := platformtest.NewStore()
	s.TellEra()
	h := &testHost{software: []winch.SoftwareVersion{"v1"}, readAt: time.Now()}
	h.group = &hostGroup{t: t, hosts: []*testHost{h}}
	history, eras := newHistory(t, s, h)
	k, err := New(Options{Membership: h, Endpoints: h, Configurations: h, Clock: h, Logger: hclog.NewNullLogger(), History: history, Eras: eras})
	assert.NilError(t, err)
	k.started = k.started.Add(-settleTime)
	steps := func(count int) {
		for range count {
			k.observe()
			k.stepHistory(t.Context())
		}
	}
	steps(2)
	assertSaved(t, s, h, "v1")
	older := s.Backup()
	h.list(0, "v2")
	steps(1)
	assertSaved(t, s, h, "v1", "v2")
	s.Return(older)
	assertSaved(t, s, h, "v1")
	// As an answer to another call of this host tells it.
	_, err = history.Load(t.Context(), h.Now())
	assert.NilError(t, err)
	steps(2)
	assertSaved(t, s, h, "v1", "v2")
	assert.Assert(t, k.historyLoaded.Load(), "streams are still taken up")
}
