package peer

import (
	"context"
	"errors"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/arbutuswinch/winch"
)

var start = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)

// pair is the data centre "a" with two hosts; hub is its hub. The membership also lists a
// data centre "b", which takes no part.
type pair struct {
	clock     *fakeClock
	log       *fakeLog
	hub, host *Distributor
}

func newPair(t *testing.T) *pair { return newPairWithLimits(t, defaultFreshness, defaultWatchWait) }

func newPairWithLimits(t *testing.T, freshness, watchWait time.Duration) *pair {
	t.Helper()
	p := &pair{clock: &fakeClock{now: start}, log: newFakeLog()}
	hosts := []winch.Host{{ID: "h1", DataCentre: "a"}, {ID: "h2", DataCentre: "a"}}
	for i, into := range []**Distributor{&p.hub, &p.host} {
		distributor, err := New(Options{
			Membership: &fakeMembership{
				self: hosts[i], centres: []winch.DataCentreID{"a", "b"},
				hosts: func(winch.DataCentreID) []winch.Host { return hosts },
			},
			Log: p.log, Clock: p.clock, Incarnation: winch.Incarnation("start of " + hosts[i].ID),
			FreshnessLimit: freshness, WatchWait: watchWait,
		})
		assert.NilError(t, err)
		*into = distributor
	}
	return p
}

// exchange sends the host's report to the hub, and the summary back.
func (p *pair) exchange(t *testing.T) {
	t.Helper()
	now := p.clock.Now()
	assert.NilError(t, p.hub.Section().Collect(now, "h2", p.host.Section().Report(now)))
	assert.NilError(t, p.host.Section().Apply(now, now, "h1", p.hub.Section().Summary(now, "h2")))
}

func (p *pair) readLog(t *testing.T) {
	t.Helper()
	_, err := p.hub.readHead(context.Background(), winch.ReleaseHead{})
	assert.NilError(t, err)
	assert.NilError(t, p.hub.syncRoster(context.Background(), true))
}

func (p *pair) commit(t *testing.T, note winch.Note) {
	t.Helper()
	_, err := p.log.Commit(context.Background(), nil, note)
	assert.NilError(t, err)
}

func keyNote(id string) winch.Note {
	return winch.Note{ID: winch.NoteID("add-" + id), Added: winch.Items{
		Organisations: []winch.Organisation{{ID: "o-" + winch.OrganisationID(id), Weight: 1}},
		Keys:          []winch.Key{{ID: winch.KeyID(id), Organisation: "o-" + winch.OrganisationID(id), Hash: winch.HashKey(id)}},
	}}
}

func withdrawNote(id string) winch.Note {
	return winch.Note{ID: winch.NoteID("withdraw-" + id), Withdrawn: winch.ItemIDs{Keys: []winch.KeyID{winch.KeyID(id)}}}
}

func assertKey(t *testing.T, d *Distributor, now time.Time, secret string, want error) {
	t.Helper()
	_, err := d.Authorize(now, winch.HashKey(secret))
	if want == nil {
		assert.NilError(t, err)
		return
	}
	assert.ErrorIs(t, err, want)
}

func TestDistribution(t *testing.T) {
	p := newPair(t)
	t.Run("no configuration yet", func(t *testing.T) {
		assert.Equal(t, p.host.Authority(start), winch.AuthorityNone)
		assertKey(t, p.host, start, "k", winch.ErrIsolated)
	})
	p.commit(t, keyNote("k"))
	p.readLog(t)
	p.exchange(t)
	t.Run("a key reaches the host", func(t *testing.T) {
		assert.Equal(t, p.host.Current().Revision, winch.Revision(1))
		assertKey(t, p.host, p.clock.Now(), "k", nil)
		assertKey(t, p.host, p.clock.Now(), "other", winch.ErrUnauthorized)
	})
	changed := p.host.Changed()
	p.commit(t, withdrawNote("k"))
	p.readLog(t)
	p.exchange(t)
	t.Run("a withdrawal reaches the host", func(t *testing.T) {
		assertKey(t, p.host, p.clock.Now(), "k", winch.ErrUnauthorized)
		<-changed
	})
	t.Run("a host far behind gets a snapshot", func(t *testing.T) {
		p.hub.state.records = nil
		p.host.state = newState(p.host.state.limits, start)
		p.exchange(t)
		p.exchange(t)
		assert.Equal(t, p.host.Current().Revision, winch.Revision(2))
	})
	t.Run("no proof for the freshness limit", func(t *testing.T) {
		p.clock.advance(defaultFreshness)
		assert.Equal(t, p.host.Authority(p.clock.Now()), winch.AuthorityOpen)
		assertKey(t, p.host, p.clock.Now(), "k", winch.ErrIsolated)
	})
}

// assertKeyAcceptedThroughout stops reading the platform, and checks that the key is
// accepted at every exchange until twice the freshness limit.
func assertKeyAcceptedThroughout(t *testing.T, freshness, watchWait time.Duration) {
	t.Helper()
	const period = 200 * time.Millisecond
	p := newPairWithLimits(t, freshness, watchWait)
	p.commit(t, keyNote("k"))
	p.readLog(t)
	for elapsed := time.Duration(0); elapsed < 2*freshness; elapsed += period {
		p.exchange(t)
		p.clock.now = p.clock.now.Add(period)
		assertKey(t, p.host, p.clock.Now(), "k", nil)
	}
}

func TestPlatformBecomesUnavailable(t *testing.T) {
	t.Run("keys stay accepted at the default limits", func(t *testing.T) {
		assertKeyAcceptedThroughout(t, defaultFreshness, defaultWatchWait)
	})
	t.Run("keys stay accepted at short limits", func(t *testing.T) {
		assertKeyAcceptedThroughout(t, 2*time.Second, 500*time.Millisecond)
	})
}

func TestIsolationSince(t *testing.T) {
	p := newPair(t)
	p.commit(t, keyNote("k"))
	p.readLog(t)
	proven := p.clock.Now()
	p.exchange(t)
	p.clock.now = proven.Add(time.Hour)
	_, err := p.host.Authorize(p.clock.Now(), winch.HashKey("k"))
	var isolation *winch.IsolationError
	assert.Assert(t, errors.As(err, &isolation))
	assert.ErrorIs(t, err, winch.ErrIsolated)
	assert.Assert(t, isolation.Since.Equal(proven.Add(defaultFreshness)), "since %s", isolation.Since)
}
