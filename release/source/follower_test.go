package source

import (
	"context"
	"encoding/json"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"

	"github.com/arbutuswinch/winch"
)

var (
	keyHash = winch.HashKey("k")
	start   = time.Unix(1000, 0)
)

// fakeSource is a configuration source with settable responses.
type fakeSource struct {
	version winch.Version
	hasKey  bool
	err     error
	calls   int
	// duringFetch is called by Fetch.
	duringFetch func()
}

func (s *fakeSource) Fetch(_ context.Context, known winch.Version, _ winch.LongRead) ([]byte, winch.Version, error) {
	s.calls++
	if s.duringFetch != nil {
		s.duringFetch()
	}
	if s.err != nil || s.version == known {
		return nil, s.version, s.err
	}
	raw, err := json.Marshal(s.hasKey)
	return raw, s.version, err
}

func (s *fakeSource) Decode(raw []byte) (*winch.Configuration, error) {
	hasKey := false
	if err := json.Unmarshal(raw, &hasKey); err != nil {
		return nil, winch.ErrInvalid
	}
	configuration := &winch.Configuration{Keys: map[winch.KeyID]winch.Key{}}
	if hasKey {
		configuration.Keys["k"] = winch.Key{ID: "k", Organisation: "dealer", Hash: keyHash}
	}
	return configuration, nil
}

// fakeClock is a clock that tests set.
type fakeClock struct{ now time.Time }

func (c *fakeClock) Now() time.Time { return c.now }

func newFollower(t *testing.T, source *fakeSource) (*Follower, *fakeClock) {
	t.Helper()
	c := &fakeClock{now: start}
	f, err := New(Options{Source: source, Clock: c, Logger: hclog.NewNullLogger(), FreshnessLimit: 4 * time.Second, MaxRelayedAge: time.Second})
	assert.NilError(t, err)
	return f, c
}

func assertKey(t *testing.T, f *Follower, now time.Time, want error) {
	t.Helper()
	_, err := f.Authorize(now, keyHash)
	if want == nil {
		assert.NilError(t, err)
		return
	}
	assert.ErrorIs(t, err, want)
}

func TestFreshness(t *testing.T) {
	source := &fakeSource{version: 5, hasKey: true}
	f, c := newFollower(t, source)
	assert.Equal(t, f.Authority(c.now), winch.AuthorityNone)
	f.Step(t.Context())
	t.Run("a key is accepted until the freshness limit", func(t *testing.T) {
		assertKey(t, f, start.Add(4*time.Second), nil)
		assertKey(t, f, start.Add(4*time.Second+1), winch.ErrIsolated)
		assert.Equal(t, f.Authority(start.Add(5*time.Second)), winch.AuthorityOpen)
	})
	t.Run("evidence is dated to before the call", func(t *testing.T) {
		c.now = start.Add(2 * time.Second)
		source.duringFetch = func() { c.now = start.Add(3 * time.Second) }
		f.Step(t.Context())
		source.duringFetch = nil
		assert.Equal(t, f.ConfirmedAt(), start.Add(2*time.Second))
	})
	t.Run("a failed call provides no evidence", func(t *testing.T) {
		source.err = winch.ErrUnavailable
		f.Step(t.Context())
		assert.Equal(t, f.ConfirmedAt(), start.Add(2*time.Second))
		source.err = nil
	})
	t.Run("a withdrawn key is rejected immediately", func(t *testing.T) {
		changed := f.Changed()
		source.version, source.hasKey = 6, false
		f.Step(t.Context())
		assertKey(t, f, c.now, winch.ErrUnauthorized)
		<-changed
	})
	t.Run("an older version changes nothing", func(t *testing.T) {
		source.version, source.hasKey = 5, true
		c.now = c.now.Add(time.Second)
		before := f.ConfirmedAt()
		f.Step(t.Context())
		assertKey(t, f, c.now, winch.ErrUnauthorized)
		assert.Equal(t, f.ConfirmedAt(), before)
	})
	t.Run("a malformed configuration changes nothing", func(t *testing.T) {
		assert.ErrorIs(t, f.applyRelayed([]byte("{"), 9, c.now, "another"), winch.ErrInvalid)
		assertKey(t, f, c.now, winch.ErrUnauthorized)
	})
}

func TestHostThatIsBehind(t *testing.T) {
	host, err := New(Options{
		Source: &fakeSource{version: 5, hasKey: true}, Clock: &fakeClock{now: start}, Logger: hclog.NewNullLogger(),
		FreshnessLimit: 4 * time.Second, SupersededLimit: 2 * time.Second,
	})
	assert.NilError(t, err)
	host.Step(t.Context())
	assert.Equal(t, host.Authority(start.Add(3*time.Second)), winch.AuthorityFull)
	host.hearOfNewer(evidence{edition: edition{version: 6}}, "")
	for after, want := range map[time.Duration]winch.Authority{
		2 * time.Second:     winch.AuthorityFull,
		2*time.Second + 1:   winch.AuthorityNone,
		4 * time.Second:     winch.AuthorityNone,
		4*time.Second + 100: winch.AuthorityOpen, // Isolated: it has heard nothing since.
	} {
		t.Run(after.String(), func(t *testing.T) {
			assert.Equal(t, host.Authority(start.Add(after)), want)
			assert.Equal(t, host.Superseded(start.Add(after)), after <= 4*time.Second)
		})
	}
	t.Run("until the source shows that there is none", func(t *testing.T) {
		host.Step(t.Context())
		assert.Equal(t, host.Authority(start.Add(3*time.Second)), winch.AuthorityFull)
		host.hearOfNewer(evidence{edition: edition{version: 6}}, "")
	})
	t.Run("until it has the newer one", func(t *testing.T) {
		assert.NilError(t, host.applyRelayed([]byte("true"), 6, start, "another"))
		assert.Equal(t, host.Authority(start.Add(3*time.Second)), winch.AuthorityFull)
	})
}

func TestSourceThatIsSetBackLeavesOpenRoutesServed(t *testing.T) {
	source := &changingSource{fakeSource: &fakeSource{version: 9, hasKey: true}}
	host, err := New(Options{
		Source: source, Clock: &fakeClock{now: start}, Logger: hclog.NewNullLogger(), FreshnessLimit: 4 * time.Second, SupersededLimit: 2 * time.Second,
	})
	assert.NilError(t, err)
	host.Step(t.Context())
	source.version, source.hasKey = 5, false
	host.Step(t.Context())
	assert.Equal(t, source.changes, 2)
	host.Step(t.Context())
	assert.Equal(t, source.changes, 2, "the older copy was transferred again")
	assert.Assert(t, !host.isBehind())
	assert.Equal(t, host.Authority(start.Add(5*time.Second)), winch.AuthorityOpen)
}

// changingSource tells that the configuration has changed before it returns it.
type changingSource struct {
	*fakeSource
	changes int
}

func (s *changingSource) Fetch(ctx context.Context, known winch.Version, read winch.LongRead) ([]byte, winch.Version, error) {
	if s.version != known {
		s.changes++
		read.Changed()
	}
	return s.fakeSource.Fetch(ctx, known, read)
}

// TestRelayedConfigurationIsNotTransferredAgain guards against a large configuration that each host gets from the hub and then from the source.
func TestRelayedConfigurationIsNotTransferredAgain(t *testing.T) {
	hub, c := newFollower(t, &fakeSource{version: 9, hasKey: true})
	hub.Step(t.Context())
	source := &changingSource{fakeSource: &fakeSource{version: 9, hasKey: true}}
	host, err := New(Options{Source: source, Clock: c, Logger: hclog.NewNullLogger(), FreshnessLimit: 4 * time.Second, MaxRelayedAge: time.Second})
	assert.NilError(t, err)
	exchange(t, host, hub, c, 0)
	c.now = c.now.Add(2 * time.Second)
	host.Step(t.Context())
	assert.Equal(t, source.changes, 0)
	assert.Equal(t, host.ConfirmedAt(), c.now)
}

// TestUndecodableConfigurationStaysAFailure guards against reads that seem to have recovered, because the configuration that cannot be decoded
// has not changed.
func TestUndecodableConfigurationStaysAFailure(t *testing.T) {
	host, err := New(Options{Source: undecodableSource{&fakeSource{version: 5}}, Clock: &fakeClock{now: start}, Logger: hclog.NewNullLogger()})
	assert.NilError(t, err)
	for range 2 {
		assert.ErrorIs(t, host.read(t.Context(), start, time.Second), winch.ErrInvalid)
	}
}

// TestEvidenceForAnEditionThatIsMissingReplacesNoRead guards against a host that relies on its hub for a configuration that it does not get.
func TestEvidenceForAnEditionThatIsMissingReplacesNoRead(t *testing.T) {
	c := &fakeClock{now: start}
	source := &fakeSource{version: 5}
	host, err := New(Options{Source: source, Clock: c, Logger: hclog.NewNullLogger(), FreshnessLimit: 4 * time.Second, MaxRelayedAge: time.Second})
	assert.NilError(t, err)
	summary := []byte(`{"Version":9,"Digest":1,"AgeMS":0}`)
	assert.NilError(t, host.Section().Apply(c.now, c.now, "hub", summary))
	host.Step(t.Context())
	assert.Equal(t, source.calls, 1)
}

// exchange performs one exchange between the host and the hub; the summary arrives
// after the duration.
func exchange(t *testing.T, host, hub *Follower, c *fakeClock, duration time.Duration) {
	t.Helper()
	sent := c.now
	assert.NilError(t, hub.Section().Collect(c.now, "host", host.Section().Report(sent)))
	summary := hub.Section().Summary(c.now, "host")
	c.now = c.now.Add(duration)
	assert.NilError(t, host.Section().Apply(c.now, sent, "hub", summary))
}

func TestRelay(t *testing.T) {
	source := &fakeSource{version: 5, hasKey: true}
	hub, c := newFollower(t, source)
	failing := &fakeSource{err: winch.ErrUnavailable}
	host, err := New(Options{Source: failing, Clock: c, Logger: hclog.NewNullLogger(), FreshnessLimit: 4 * time.Second, MaxRelayedAge: time.Second})
	assert.NilError(t, err)
	hub.Step(t.Context())
	t.Run("a host that cannot reach the source gets the configuration and its age", func(t *testing.T) {
		c.now = c.now.Add(500 * time.Millisecond)
		exchange(t, host, hub, c, 100*time.Millisecond)
		assertKey(t, host, c.now, nil)
		assert.Assert(t, !host.ConfirmedAt().After(hub.ConfirmedAt()), "relayed evidence must not be younger than the hub's")
		assertKey(t, host, start.Add(4*time.Second+time.Millisecond), winch.ErrIsolated)
	})
	t.Run("the configuration is sent only once", func(t *testing.T) {
		exchange(t, host, hub, c, 0)
		wire, err := decodeEvidence(hub.Section().Summary(c.now, "host"))
		assert.NilError(t, err)
		assert.Equal(t, len(wire.Configuration), 0)
	})
	t.Run("recent relayed evidence replaces a read of the source", func(t *testing.T) {
		hub.Step(t.Context())
		exchange(t, host, hub, c, 0)
		calls := failing.calls
		host.Step(t.Context())
		assert.Equal(t, failing.calls, calls)
		c.now = c.now.Add(1100 * time.Millisecond)
		host.Step(t.Context())
		assert.Equal(t, failing.calls, calls+1)
	})
	t.Run("a host with a newer configuration sends it to the hub", func(t *testing.T) {
		failing.err, failing.version, failing.hasKey = nil, 8, false
		host.Step(t.Context())
		exchange(t, host, hub, c, 0)
		exchange(t, host, hub, c, 0)
		assertKey(t, hub, c.now, winch.ErrUnauthorized)
	})
	t.Run("a delayed report does not make evidence younger", func(t *testing.T) {
		source.err = winch.ErrUnavailable
		exchange(t, host, hub, c, 0)
		c.now = c.now.Add(time.Second)
		host.Step(t.Context())
		report := host.Section().Report(c.now)
		c.now = c.now.Add(5 * time.Second)
		assert.NilError(t, hub.Section().Collect(c.now, "host", report))
		assert.Assert(t, !hub.ConfirmedAt().After(host.ConfirmedAt()), "%s after %s", hub.ConfirmedAt(), host.ConfirmedAt())
	})
	t.Run("evidence of a host that has received no summary is ignored", func(t *testing.T) {
		newHost, err := New(Options{Source: &fakeSource{version: 9}, Clock: c, Logger: hclog.NewNullLogger()})
		assert.NilError(t, err)
		newHost.Step(t.Context())
		before := hub.ConfirmedAt()
		assert.NilError(t, hub.Section().Collect(c.now, "fresh", newHost.Section().Report(c.now)))
		assert.Equal(t, hub.ConfirmedAt(), before)
		exchange(t, newHost, hub, c, 0)
		exchange(t, newHost, hub, c, 0)
		lag := newHost.ConfirmedAt().Sub(hub.ConfirmedAt())
		assert.Assert(t, lag >= 0 && lag <= 2*time.Millisecond, "%s", lag)
	})
	t.Run("malformed evidence", func(t *testing.T) {
		assert.ErrorIs(t, host.Section().Apply(c.now, c.now, "hub", []byte("{")), winch.ErrInvalid)
		assert.ErrorIs(t, host.Section().Collect(c.now, "a", []byte(`{"Version":1,"AgeMS":-5}`)), winch.ErrInvalid)
	})
}

func TestHostThatReadsInStepWithTheHubUsesTheHubsEvidence(t *testing.T) {
	source := &fakeSource{version: 5, hasKey: true}
	hub, c := newFollower(t, source)
	own := &fakeSource{version: 5, hasKey: true}
	host, err := New(Options{Source: own, Clock: c, Logger: hclog.NewNullLogger(), FreshnessLimit: 4 * time.Second, MaxRelayedAge: time.Second})
	assert.NilError(t, err)
	for range 10 {
		hub.Step(t.Context())
		c.now = c.now.Add(5 * time.Millisecond)
		host.Step(t.Context())
		c.now = c.now.Add(300 * time.Millisecond)
		exchange(t, host, hub, c, 0)
		c.now = c.now.Add(295 * time.Millisecond)
	}
	assert.Equal(t, own.calls, 1)
}

// hangingSource is a source whose first read gets no response within its limit.
type hangingSource struct {
	*fakeSource
	hung bool
}

func (s *hangingSource) Fetch(ctx context.Context, known winch.Version, read winch.LongRead) ([]byte, winch.Version, error) {
	if s.hung {
		return s.fakeSource.Fetch(ctx, known, read)
	}
	s.hung = true
	ctx, cancel := context.WithTimeout(ctx, min(read.StallLimit, time.Second))
	defer cancel()
	<-ctx.Done()
	return nil, 0, ctx.Err()
}

type wallClock struct{}

func (wallClock) Now() time.Time { return time.Now() }

func TestConfigurationIsKnownInTimeWhenAReadHangs(t *testing.T) {
	const bound, pollEvery = 3 * time.Second, 1350 * time.Millisecond
	for phase := time.Duration(0); phase < pollEvery; phase += 150 * time.Millisecond {
		t.Run(phase.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				source := &hangingSource{fakeSource: &fakeSource{version: 6}}
				host, err := New(Options{Source: source, Clock: wallClock{}, Logger: hclog.NewNullLogger(), PollEvery: pollEvery, MaxRelayedAge: bound / 2})
				assert.NilError(t, err)
				assert.NilError(t, host.Section().Apply(time.Now(), time.Now(), "hub", []byte(`{"Version":5,"AgeMS":0,"Configuration":"dHJ1ZQ=="}`)))
				relayedAt, changed := time.Now(), host.Changed()
				time.Sleep(phase)
				ctx, cancel := context.WithCancel(t.Context())
				go func() { _ = host.Run(ctx) }()
				<-changed
				known := time.Since(relayedAt)
				cancel()
				synctest.Wait()
				assert.Assert(t, known < bound, "known after %s", known)
			})
		})
	}
}

func TestConfigurationOfUnknownAgeIsNoEvidence(t *testing.T) {
	unknown, c := newFollower(t, &fakeSource{})
	assert.NilError(t, unknown.applyRelayed([]byte("true"), 9, time.Time{}, "another"))
	assertOld := func(t *testing.T, f *Follower) {
		t.Helper()
		assert.Equal(t, f.state.edition.version, winch.Version(9))
		assert.Assert(t, f.ConfirmedAt().Before(c.now.Add(-time.Hour)), "%s", f.ConfirmedAt())
		assertKey(t, f, c.now, winch.ErrIsolated)
	}
	assertOld(t, unknown)
	t.Run("at a host to which the hub relays it", func(t *testing.T) {
		host, _ := newFollower(t, &fakeSource{})
		assert.NilError(t, host.Section().Apply(c.now, c.now, "hub", unknown.Section().Summary(c.now, "host")))
		assertOld(t, host)
	})
	t.Run("at the hub to which it is reported", func(t *testing.T) {
		hub, _ := newFollower(t, &fakeSource{})
		assert.NilError(t, hub.applyRelayed([]byte("true"), 9, c.now.Add(-10*time.Hour), "another"))
		assert.NilError(t, unknown.Section().Apply(c.now, c.now, "hub", hub.Section().Summary(c.now, "unknown")))
		unknown.state.confirmedAt = time.Time{}
		assert.NilError(t, hub.Section().Collect(c.now, "unknown", unknown.Section().Report(c.now)))
		assertOld(t, hub)
	})
	t.Run("nor is an age that no clock can have", func(t *testing.T) {
		for _, message := range []string{`{"Version":9,"AgeMS":9223372036854775807,"Configuration":"dHJ1ZQ=="}`, `{"Version":9,"AgeMS":9223372036854,"Configuration":"dHJ1ZQ=="}`} {
			host, _ := newFollower(t, &fakeSource{})
			assert.NilError(t, host.Section().Apply(c.now, c.now, "hub", []byte(message)))
			assertOld(t, host)
		}
		hub, _ := newFollower(t, &fakeSource{})
		assert.NilError(t, hub.applyRelayed([]byte("true"), 9, c.now.Add(-10*time.Hour), "another"))
		report := fmt.Sprintf(`{"Version":9,"AgeMS":1,"Origin":%d,"Stamp":%d,"AfterMS":-9223372036855}`, hub.origin, c.now.UnixNano())
		assert.NilError(t, hub.Section().Collect(c.now, "host", []byte(report)))
		assertOld(t, hub)
	})
}
