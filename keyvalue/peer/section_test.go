package peer

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/arbutuswinch/winch"
	"github.com/arbutuswinch/winch/keyvalue/era"
)

const settle = 1500 * time.Millisecond

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func newSection(t *testing.T, self winch.HostID) *Section {
	t.Helper()
	tracker, err := era.New(era.Options{})
	assert.NilError(t, err)
	return New(Options{Self: self, Tracker: tracker, Settle: settle})
}

// read lets the host get an answer of the service that tells only a revision.
func read(t *testing.T, s *Section, revision winch.StoreRevision) winch.Era {
	t.Helper()
	reading, err := s.options.Tracker.Answered(s.options.Tracker.Begin(), era.Answer{Revision: revision})
	assert.NilError(t, err)
	return reading.Era
}

// report lets the host report to the hub.
func report(t *testing.T, now time.Time, host, hub *Section) {
	t.Helper()
	assert.NilError(t, hub.Collect(now, host.options.Self, host.Report(now)))
	assert.NilError(t, host.Apply(now, now, hub.options.Self, hub.Summary(now, host.options.Self)))
}

// beHub lets the host be the hub for the duration.
func beHub(t *testing.T, s *Section, now time.Time, length time.Duration) {
	t.Helper()
	for _, at := range []time.Time{now, now.Add(length)} {
		report(t, at, s, s)
	}
}

func assertHeard(t *testing.T, s *Section, want bool) {
	t.Helper()
	assert.Equal(t, s.Heard(), want)
}

// TestNewHostLearnsOfTheEra guards against a host that begins anew and takes what the service gives out again for new.
func TestNewHostLearnsOfTheEra(t *testing.T) {
	t.Run("that others know", func(t *testing.T) {
		hub, fresh := newSection(t, "hub"), newSection(t, "fresh")
		read(t, hub, 100)
		read(t, hub, 90)
		report(t, start, fresh, hub)
		assert.Equal(t, fresh.options.Tracker.Position(), hub.options.Tracker.Position())
		assert.Equal(t, read(t, fresh, 91), winch.Era(1))
	})
	t.Run("that nobody knows yet, by the revision that others have seen", func(t *testing.T) {
		hub, fresh := newSection(t, "hub"), newSection(t, "fresh")
		read(t, hub, 100)
		report(t, start, fresh, hub)
		assert.Equal(t, read(t, fresh, 90), winch.Era(1))
	})
	t.Run("as the hub", func(t *testing.T) {
		hub, host := newSection(t, "hub"), newSection(t, "host")
		read(t, host, 100)
		read(t, host, 90)
		report(t, start, host, hub)
		assert.Equal(t, hub.options.Tracker.Newest(), winch.Era(1))
	})
}

// TestHostHasHeard guards against a host that acts on the word of one that has just begun as well.
func TestHostHasHeard(t *testing.T) {
	t.Run("from a hub that has", func(t *testing.T) {
		hub, fresh := newSection(t, "hub"), newSection(t, "fresh")
		report(t, start, fresh, hub)
		assertHeard(t, fresh, false)
		beHub(t, hub, start, settle)
		report(t, start.Add(settle), fresh, hub)
		assertHeard(t, fresh, true)
	})
	t.Run("as the hub for long enough", func(t *testing.T) {
		hub := newSection(t, "hub")
		beHub(t, hub, start, settle-1)
		assertHeard(t, hub, false)
		beHub(t, hub, start, settle)
		assertHeard(t, hub, true)
	})
	t.Run("not as the hub now and then", func(t *testing.T) {
		hub, other := newSection(t, "hub"), newSection(t, "other")
		beHub(t, hub, start, settle-1)
		report(t, start, hub, other)
		beHub(t, hub, start.Add(settle), settle-1)
		assertHeard(t, hub, false)
	})
}

func TestMalformedMessages(t *testing.T) {
	for _, message := range []string{`{`, `{"Position":-1}`, `{"Position":"1"}`} {
		s := newSection(t, "a")
		assert.ErrorIs(t, s.Collect(start, "b", []byte(message)), winch.ErrInvalid)
		assert.ErrorIs(t, s.Apply(start, start, "b", []byte(message)), winch.ErrInvalid)
		assertHeard(t, s, false)
	}
	t.Run("none", func(t *testing.T) {
		s := newSection(t, "a")
		assert.NilError(t, s.Apply(start, start, "b", nil))
		assertHeard(t, s, false)
	})
}
