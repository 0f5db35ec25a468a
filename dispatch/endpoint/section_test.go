package endpoint

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/arbutuswinch/winch"
)

func TestSection(t *testing.T) {
	configuration := twoClasses(1, 4)
	first, second := newDispatcher(t, configuration, nil), newDispatcher(t, configuration, nil)
	first.core.self, second.core.self = winch.Host{ID: "h1", DataCentre: "a"}, winch.Host{ID: "h2", DataCentre: "a"}
	for i := range 3 {
		mustAcquire(t, first, workOf(interactive, i))
	}
	now := time.Now()
	assert.NilError(t, second.Section().Collect(now, "h1", first.Section().Report(now)))
	assert.NilError(t, first.Section().Apply(now, now, "h2", second.Section().Summary(now, "h1")))
	assert.NilError(t, second.Section().Apply(now, now, "h2", second.Section().Summary(now, "h2")))
	t.Run("hosts share the slots", func(t *testing.T) {
		assert.Equal(t, second.core.sortedEndpoints[0].others, 3)
		assert.Equal(t, first.core.sortedEndpoints[0].others, 0)
		assert.Equal(t, second.core.availableSlots(now, second.core.sortedEndpoints[0]), 1)
	})
	t.Run("expired statistics are dropped", func(t *testing.T) {
		later := now.Add(4 * time.Second)
		second.runStep(func() { second.core.tick(later) })
		assert.Equal(t, second.core.availableSlots(later, second.core.sortedEndpoints[0]), 4)
	})
	t.Run("other data centres learn of free slots", func(t *testing.T) {
		far := newDispatcher(t, configuration, nil)
		assert.NilError(t, far.Section().ApplyDigest(now, now, "a", first.Section().Digest(now, "b")))
		assert.Equal(t, far.core.remotes["a"].freeSlots[group{model: chat}], 1)
	})
	t.Run("the hub returns the queues of other hosts", func(t *testing.T) {
		found := false
		for _, status := range second.Queues(now) {
			found = found || status.Host == "h1" && status.Class == interactive && status.Running == 3
		}
		assert.Assert(t, found)
	})
}

func TestChargesOfOtherHosts(t *testing.T) {
	tc := newTestCore(twoClasses(1, 4))
	a := tc.account(1, "large")
	applySum := func(from winch.HostID, charged int64) float64 {
		tc.now = tc.now.Add(time.Second)
		sum := newStats()
		sum.charged[a.key] = charged
		tc.applySummary(tc.now, tc.now, from, sum)
		return a.served
	}
	t.Run("the first sum is a baseline", func(t *testing.T) { assert.Equal(t, applySum("h1", 5000), 0.0) })
	t.Run("growth is charged", func(t *testing.T) { assert.Equal(t, applySum("h1", 5300), 300.0) })
	t.Run("a new hub's first sum is a baseline", func(t *testing.T) { assert.Equal(t, applySum("h2", 90_000), 300.0) })
	t.Run("a lower sum is a baseline", func(t *testing.T) {
		assert.Equal(t, applySum("h2", 100), 300.0)
		assert.Equal(t, applySum("h2", 150), 350.0)
	})
}

// newBusyStats returns the statistics of a busy host.
func newBusyStats(endpoints, classes, organisations int) sharedStats {
	stats := newStats()
	for i := range endpoints {
		stats.endpoints[winch.EndpointID(fmt.Sprintf("a-chat-%03d", i))] = endpointStats{Running: 12, Limit: 15.5}
	}
	for i := range classes {
		key := laneKey{class: winch.ClassID(fmt.Sprintf("class-%d", i)), group: group{model: "chat-large"}}
		stats.lanes[key] = laneStats{Queued: 10, Running: 20, Movable: 12, Urgent: 2, OldestWait: 1234 * time.Millisecond}
	}
	for i := range organisations {
		stats.charged[accountKey{tier: 1, organisation: winch.OrganisationID(fmt.Sprintf("org-%04d", i))}] = 12_345_678
	}
	return stats
}

func TestReportSize(t *testing.T) {
	for _, size := range []struct{ endpoints, classes, organisations, limit int }{
		{5, 4, 4, 600}, {5, 4, 10, 800}, {64, 12, 14, 2500}, {400, 54, 64, 12000},
	} {
		t.Run(fmt.Sprintf("%d endpoints %d classes %d organisations", size.endpoints, size.classes, size.organisations), func(t *testing.T) {
			encoded := encodeStats(newBusyStats(size.endpoints, size.classes, size.organisations))
			t.Logf("%d bytes", len(encoded))
			assert.Assert(t, len(encoded) <= size.limit, "%d bytes", len(encoded))
			decoded, err := decodeStats(encoded)
			assert.NilError(t, err)
			assert.Equal(t, len(decoded.endpoints)+len(decoded.lanes)+len(decoded.charged), size.endpoints+size.classes+size.organisations)
		})
	}
}

func FuzzDecodeStats(f *testing.F) {
	f.Add(encodeStats(newBusyStats(2, 2, 2)))
	f.Add([]byte(`{"Lanes":{"Classes":["a"],"Groups":["m"],"Rows":[[1,2,3,4,-5]]}}`))
	f.Add([]byte(`{"Remotes":[{"DataCentre":"b","Groups":["/r"],"Rooms":[1]}]}`))
	f.Fuzz(func(t *testing.T, encoded []byte) {
		decoded, err := decodeStats(encoded)
		if err != nil {
			assert.ErrorIs(t, err, winch.ErrInvalid)
			return
		}
		for _, l := range decoded.lanes {
			assert.Assert(t, l.Queued >= 0 && l.Running >= 0)
		}
	})
}

func TestSummaryOfManyEndpoints(t *testing.T) {
	hosts := make([]winch.Host, 44)
	for i := range hosts {
		hosts[i] = winch.Host{ID: winch.HostID(fmt.Sprintf("host-%02d", i)), DataCentre: "a"}
	}
	hubCore := newTestCore(twoClasses(400, 16))
	hubCore.self = hosts[0]
	hubCore.setHosts(hosts, nil)
	report := newBusyStats(0, 0, 0)
	for _, e := range hubCore.sortedEndpoints {
		report.endpoints[e.spec.ID] = endpointStats{Running: 1, Limit: 16}
	}
	hubCore.hub.collect(hubCore.now, "host-01", report)
	t.Run("the summary contains the endpoints that the host uses", func(t *testing.T) {
		other := newTestCore(twoClasses(400, 16))
		other.self = hosts[7]
		other.setHosts(hosts, nil)
		sum := hubCore.summary(hubCore.now, "host-07")
		assert.Equal(t, len(sum.endpoints), 64)
		for _, e := range other.sortedLanes[0].subset {
			assert.Equal(t, sum.endpoints[e.spec.ID].Running, 1)
		}
		t.Logf("%d bytes", len(encodeStats(sum)))
	})
	t.Run("the summary of a host with a wider aperture contains more", func(t *testing.T) {
		wide := newStats()
		wide.aperture = 128
		hubCore.hub.collect(hubCore.now, "host-07", wide)
		assert.Equal(t, len(hubCore.summary(hubCore.now, "host-07").endpoints), 128)
	})
}

func TestNegativeDurationsEncodeAsZero(t *testing.T) {
	// Statistics recorded by a concurrent call just after the time passed to the encoder have a
	// negative age or wait.
	encoded := encodeStats(sharedStats{
		lanes:   map[laneKey]laneStats{{class: "urgent", group: group{model: "m"}}: {Queued: 1, OldestWait: -time.Second}},
		remotes: map[winch.DataCentreID]remoteStats{"b": {Age: -time.Second}},
	})
	decoded, err := decodeStats(encoded)
	assert.NilError(t, err)
	assert.Equal(t, decoded.remotes["b"].Age, time.Duration(0))
	assert.Equal(t, decoded.lanes[laneKey{class: "urgent", group: group{model: "m"}}].OldestWait, time.Duration(0))
}
