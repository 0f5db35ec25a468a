package source

import (
	"context"
	"encoding/json"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"

	"github.com/arbutuswinch/winch"
)

var (
	secret = winch.HashKey("k")
	start  = time.Unix(1000, 0)
)

// operator is a source whose answers tests set.
type operator struct {
	version winch.Version
	keyed   bool
	err     error
	calls   int
	// during runs while a call is under way.
	during func()
}

func (o *operator) Fetch(_ context.Context, known winch.Version) ([]byte, winch.Version, error) {
	o.calls++
	if o.during != nil {
		o.during()
	}
	if o.err != nil || o.version == known {
		return nil, o.version, o.err
	}
	raw, err := json.Marshal(o.keyed)
	return raw, o.version, err
}

func (o *operator) Decode(raw []byte) (*winch.Configuration, error) {
	keyed := false
	if err := json.Unmarshal(raw, &keyed); err != nil {
		return nil, winch.ErrInvalid
	}
	configuration := &winch.Configuration{Keys: map[winch.KeyID]winch.Key{}}
	if keyed {
		configuration.Keys["k"] = winch.Key{ID: "k", Organisation: "dealer", Hash: secret}
	}
	return configuration, nil
}

// clock is moved by tests.
type clock struct{ now time.Time }

func (c *clock) Now() time.Time { return c.now }

func newFollower(t *testing.T, source *operator) (*Follower, *clock) {
	t.Helper()
	c := &clock{now: start}
	f, err := New(Options{Source: source, Clock: c, Logger: hclog.NewNullLogger(), FreshnessLimit: 4 * time.Second, Relayed: time.Second})
	assert.NilError(t, err)
	return f, c
}

func assertKey(t *testing.T, f *Follower, now time.Time, want error) {
	t.Helper()
	_, err := f.Authorize(now, secret)
	if want == nil {
		assert.NilError(t, err)
		return
	}
	assert.ErrorIs(t, err, want)
}

func TestFreshness(t *testing.T) {
	source := &operator{version: 5, keyed: true}
	f, c := newFollower(t, source)
	assert.Equal(t, f.Authority(c.now), winch.AuthorityNone)
	f.Step(t.Context())
	t.Run("a key is honoured while the evidence is young", func(t *testing.T) {
		assertKey(t, f, start.Add(4*time.Second), nil)
		assertKey(t, f, start.Add(4*time.Second+1), winch.ErrIsolated)
		assert.Equal(t, f.Authority(start.Add(5*time.Second)), winch.AuthorityOpen)
	})
	t.Run("evidence counts from before the call", func(t *testing.T) {
		c.now = start.Add(2 * time.Second)
		source.during = func() { c.now = start.Add(3 * time.Second) }
		f.Step(t.Context())
		source.during = nil
		assert.Equal(t, f.ConfirmedAt(), start.Add(2*time.Second))
	})
	t.Run("a failed call is no evidence", func(t *testing.T) {
		source.err = winch.ErrUnavailable
		f.Step(t.Context())
		assert.Equal(t, f.ConfirmedAt(), start.Add(2*time.Second))
		source.err = nil
	})
	t.Run("a withdrawn key is refused at once", func(t *testing.T) {
		changed := f.Changed()
		source.version, source.keyed = 6, false
		f.Step(t.Context())
		assertKey(t, f, c.now, winch.ErrUnauthorized)
		<-changed
	})
	t.Run("an older version changes nothing", func(t *testing.T) {
		source.version, source.keyed = 5, true
		c.now = c.now.Add(time.Second)
		before := f.ConfirmedAt()
		f.Step(t.Context())
		assertKey(t, f, c.now, winch.ErrUnauthorized)
		assert.Equal(t, f.ConfirmedAt(), before)
	})
	t.Run("a configuration that cannot be read changes nothing", func(t *testing.T) {
		assert.ErrorIs(t, f.take([]byte("{"), 9, c.now, "source"), winch.ErrInvalid)
		assertKey(t, f, c.now, winch.ErrUnauthorized)
	})
}

// exchange plays one exchange of the host with the hub, which takes a while.
func exchange(t *testing.T, host, hub *Follower, c *clock, took time.Duration) {
	t.Helper()
	sent := c.now
	assert.NilError(t, hub.Section().Collect(c.now, "host", host.Section().Report(sent)))
	summary := hub.Section().Summary(c.now, "host")
	c.now = c.now.Add(took)
	assert.NilError(t, host.Section().Apply(c.now, sent, "hub", summary))
}

func TestRelay(t *testing.T) {
	source := &operator{version: 5, keyed: true}
	hub, c := newFollower(t, source)
	away := &operator{err: winch.ErrUnavailable}
	host, err := New(Options{Source: away, Clock: c, Logger: hclog.NewNullLogger(), FreshnessLimit: 4 * time.Second, Relayed: time.Second})
	assert.NilError(t, err)
	hub.Step(t.Context())
	t.Run("a host that the source turns away learns the configuration, with its age", func(t *testing.T) {
		c.now = c.now.Add(500 * time.Millisecond)
		exchange(t, host, hub, c, 100*time.Millisecond)
		assertKey(t, host, c.now, nil)
		assert.Assert(t, !host.ConfirmedAt().After(hub.ConfirmedAt()), "evidence must not grow younger on its way")
		assertKey(t, host, start.Add(4*time.Second+time.Millisecond), winch.ErrIsolated)
	})
	t.Run("the configuration is sent once only", func(t *testing.T) {
		exchange(t, host, hub, c, 0)
		wire, err := decodeEvidence(hub.Section().Summary(c.now, "host"))
		assert.NilError(t, err)
		assert.Equal(t, len(wire.Configuration), 0)
	})
	t.Run("young evidence spares a reading", func(t *testing.T) {
		hub.Step(t.Context())
		exchange(t, host, hub, c, 0)
		calls := away.calls
		host.Step(t.Context())
		assert.Equal(t, away.calls, calls)
		c.now = c.now.Add(1100 * time.Millisecond)
		host.Step(t.Context())
		assert.Equal(t, away.calls, calls+1)
	})
	t.Run("a host with a newer one tells the hub", func(t *testing.T) {
		away.err, away.version, away.keyed = nil, 8, false
		host.Step(t.Context())
		exchange(t, host, hub, c, 0)
		exchange(t, host, hub, c, 0)
		assertKey(t, hub, c.now, winch.ErrUnauthorized)
	})
	t.Run("a report that comes late makes evidence no younger", func(t *testing.T) {
		source.err = winch.ErrUnavailable
		exchange(t, host, hub, c, 0)
		c.now = c.now.Add(time.Second)
		host.Step(t.Context())
		report := host.Section().Report(c.now)
		c.now = c.now.Add(5 * time.Second)
		assert.NilError(t, hub.Section().Collect(c.now, "host", report))
		assert.Assert(t, !hub.ConfirmedAt().After(host.ConfirmedAt()), "%s after %s", hub.ConfirmedAt(), host.ConfirmedAt())
	})
	t.Run("evidence of a host that the hub has not answered yet does not count", func(t *testing.T) {
		fresh, err := New(Options{Source: &operator{version: 9}, Clock: c, Logger: hclog.NewNullLogger()})
		assert.NilError(t, err)
		fresh.Step(t.Context())
		before := hub.ConfirmedAt()
		assert.NilError(t, hub.Section().Collect(c.now, "fresh", fresh.Section().Report(c.now)))
		assert.Equal(t, hub.ConfirmedAt(), before)
		exchange(t, fresh, hub, c, 0)
		exchange(t, fresh, hub, c, 0)
		lost := fresh.ConfirmedAt().Sub(hub.ConfirmedAt())
		assert.Assert(t, lost >= 0 && lost <= 2*time.Millisecond, "%s", lost)
	})
	t.Run("malformed evidence", func(t *testing.T) {
		assert.ErrorIs(t, host.Section().Apply(c.now, c.now, "hub", []byte("{")), winch.ErrInvalid)
		assert.ErrorIs(t, host.Section().Collect(c.now, "a", []byte(`{"Version":1,"AgeMS":-5}`)), winch.ErrInvalid)
	})
}
