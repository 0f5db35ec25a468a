package origin

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/arbutuswinch/winch"
)

const (
	model  winch.ModelID = "pool"
	memory               = 10 * time.Second
)

var start = time.Unix(1000, 0)

// after returns the time some seconds after the start.
func after(seconds float64) time.Time {
	return start.Add(time.Duration(seconds * float64(time.Second)))
}

func endpoint(id winch.EndpointID, software winch.SoftwareVersion) winch.EndpointStatus {
	return winch.EndpointStatus{State: winch.EndpointReady, Endpoint: winch.Endpoint{ID: id, Models: []winch.ModelID{model}, Software: software}}
}

func begin(endpoint winch.EndpointID, software winch.SoftwareVersion, at time.Time) winch.StreamOrigin {
	return winch.StreamOrigin{Model: model, Endpoint: endpoint, Software: software, At: at}
}

func assertSoftware(t *testing.T, b *Book, stream winch.RequestID, want winch.SoftwareVersion) {
	t.Helper()
	known, found := b.Lookup(stream)
	assert.Assert(t, found, stream)
	assert.Equal(t, known.Software, want)
}

func assertUntold(t *testing.T, b *Book, want int) {
	t.Helper()
	assert.Equal(t, len(b.TakeUntold()), want)
}

func TestStreamsAreToldOnlyWhileThereAreSeveralVersions(t *testing.T) {
	b := New()
	b.ObserveList(after(0), after(0), []winch.EndpointStatus{endpoint("a", "v1"), endpoint("b", "v1")}, memory)
	b.Record("s1", begin("a", "v1", after(1)), memory)
	b.Keep("s2", begin("", "v1", after(1)))
	assertUntold(t, b, 0)
	t.Run("this host's streams are told once a second one is listed", func(t *testing.T) {
		b.ObserveList(after(2), after(2), []winch.EndpointStatus{endpoint("a", "v1"), endpoint("b", "v2")}, memory)
		assertUntold(t, b, 1)
		assertUntold(t, b, 0)
	})
	t.Run("new ones are told at once", func(t *testing.T) {
		b.Record("s3", begin("b", "v2", after(3)), memory)
		b.Record("s3", begin("b", "v2", after(3)), memory)
		assertUntold(t, b, 1)
	})
	t.Run("until the other one has not served for as long as a stream lasts", func(t *testing.T) {
		b.ObserveList(after(14), after(14), []winch.EndpointStatus{endpoint("b", "v2")}, memory)
		only, single := b.OnlyVersion(after(14), model, memory)
		assert.Assert(t, single)
		assert.Equal(t, only, winch.SoftwareVersion("v2"))
		b.Record("s4", begin("b", "v2", after(14)), memory)
		assertUntold(t, b, 0)
	})
}

func TestOnlyVersion(t *testing.T) {
	t.Run("none is known", func(t *testing.T) {
		_, single := New().OnlyVersion(after(0), model, memory)
		assert.Assert(t, !single)
	})
	t.Run("an endpoint without a version counts", func(t *testing.T) {
		b := New()
		b.ObserveList(after(0), after(0), []winch.EndpointStatus{endpoint("a", "v1"), endpoint("b", "")}, memory)
		_, single := b.OnlyVersion(after(0), model, memory)
		assert.Assert(t, !single)
	})
	t.Run("a stream whose endpoint may have started again does not", func(t *testing.T) {
		b := New()
		b.ObserveList(after(0), after(0), []winch.EndpointStatus{endpoint("a", "v1")}, memory)
		b.Record("s1", begin("a", "", after(1)), memory)
		_, single := b.OnlyVersion(after(1), model, memory)
		assert.Assert(t, single)
	})
	t.Run("of an old list that is still in use", func(t *testing.T) {
		b := New()
		for second := range 60 {
			b.ObserveList(after(float64(second)), after(0), []winch.EndpointStatus{endpoint("a", "v1")}, memory)
			b.Prune(after(float64(second)), memory)
		}
		_, single := b.OnlyVersion(after(60), model, memory)
		assert.Assert(t, single)
	})
	t.Run("another host has seen a second one", func(t *testing.T) {
		b := New()
		b.ObserveList(after(0), after(0), []winch.EndpointStatus{endpoint("a", "v1")}, memory)
		b.ObserveServed(model, "v2", after(-3))
		_, single := b.OnlyVersion(after(0), model, memory)
		assert.Assert(t, !single)
	})
}

func TestEndpointThatStartedAgainWithAnotherVersion(t *testing.T) {
	b := New()
	b.ObserveList(after(0), after(0), []winch.EndpointStatus{endpoint("a", "v1"), endpoint("b", "v2")}, memory)
	b.Record("long before", begin("a", "v1", after(0.1)), memory)
	b.ObserveList(after(5), after(5), []winch.EndpointStatus{endpoint("a", "v1"), endpoint("b", "v2")}, memory)
	record := func(stream winch.RequestID, known winch.StreamOrigin, connected float64) {
		known.ConnectedAt = after(connected)
		b.Record(stream, known, memory)
	}
	record("just before", begin("a", "v1", after(4)), 3.9)
	record("after", begin("a", "v1", after(5.5)), 5.4)
	record("elsewhere", begin("b", "v2", after(5.5)), 5.4)
	record("on an older connection", begin("a", "v1", after(5.5)), 1)
	record("went on at another endpoint", begin("", "v1", after(5.5)), 5.4)
	confirmed := begin("a", "v1", after(5.5))
	confirmed.StartedAt = after(-100)
	record("confirmed", confirmed, 5.4)
	b.TakeUntold()
	b.ObserveList(after(6), after(6), []winch.EndpointStatus{endpoint("a", "v2"), endpoint("b", "v2")}, memory)
	assertSoftware(t, b, "long before", "v1")
	assertSoftware(t, b, "just before", "")
	assertSoftware(t, b, "after", "")
	assertSoftware(t, b, "elsewhere", "v2")
	assertSoftware(t, b, "on an older connection", "v1")
	assertSoftware(t, b, "went on at another endpoint", "v1")
	assertSoftware(t, b, "confirmed", "v1")
	assertUntold(t, b, 2)
}

func TestVersionOfARunThatWasNotListedYet(t *testing.T) {
	b := New()
	listed := func(software winch.SoftwareVersion, startedAt float64) []winch.EndpointStatus {
		a := endpoint("a", software)
		a.StartedAt = after(startedAt)
		return []winch.EndpointStatus{a, endpoint("b", "v2")}
	}
	b.ObserveList(after(5), after(5), listed("v1", 0), memory)
	for stream, startedAt := range map[winch.RequestID]float64{"listed next": 6, "never listed": 7} {
		known := begin("a", "", after(8))
		known.StartedAt = after(startedAt)
		b.Record(stream, known, memory)
	}
	b.TakeUntold()
	b.ObserveList(after(9), after(9), listed("v3", 6), memory)
	assertSoftware(t, b, "listed next", "v3")
	assertSoftware(t, b, "never listed", "")
	assertUntold(t, b, 1)
}

func TestEndpointIsToBeAskedOnlyIfItMayHaveStartedAgain(t *testing.T) {
	ask := func(connected float64, software ...winch.SoftwareVersion) bool {
		b := New()
		b.ObserveList(after(5), after(5), []winch.EndpointStatus{endpoint("a", "v1"), endpoint("b", software[0])}, memory)
		known := begin("a", "v1", after(6))
		known.ConnectedAt = after(connected)
		return b.Record("s", known, memory)
	}
	assert.Assert(t, ask(5.9, "v2"), "its connection is newer than the list")
	assert.Assert(t, ask(4, "v2"), "it may not have registered when the list was read")
	assert.Assert(t, !ask(3, "v2"), "its connection is older")
	assert.Assert(t, !ask(5.9, "v1"), "one version only")
}

func TestBounds(t *testing.T) {
	t.Run("the oldest streams are dropped", func(t *testing.T) {
		b := New()
		for i := range maxRecords + 10 {
			b.Keep(winch.RequestID(fmt.Sprint(i)), begin("", "v1", after(float64(i)/1000)))
		}
		assert.Equal(t, b.Len(), maxRecords)
		_, found := b.Lookup("9")
		assert.Assert(t, !found)
		_, found = b.Lookup("10")
		assert.Assert(t, found)
	})
	t.Run("streams that are recorded again are kept, and those that end are forgotten", func(t *testing.T) {
		b := New()
		b.Record("goes on", begin("a", "v1", after(0)), memory)
		b.Record("ended", begin("a", "v1", after(0)), memory)
		b.Record("goes on", begin("b", "v1", after(8)), memory)
		b.Prune(after(11), memory)
		assert.Equal(t, b.Len(), 1)
		assertSoftware(t, b, "goes on", "v1")
		b.Prune(after(19), memory)
		assert.Equal(t, b.Len(), 0)
	})
	t.Run("versions that callers and hosts name are bounded", func(t *testing.T) {
		b := New()
		for i := range maxVersions + 10 {
			b.ObserveServed(model, winch.SoftwareVersion(fmt.Sprint(i)), after(0))
		}
		assert.Equal(t, len(b.Served(after(0), model, memory)), maxVersions)
	})
}
