package peer

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/arbutuswinch/winch"
)

type recorder struct{ reports []winch.LoadReport }

func (r *recorder) ObserveLoad(_ time.Time, report winch.LoadReport) {
	r.reports = append(r.reports, report)
}
func (r *recorder) ObserveCache(time.Time, winch.CacheEvent) {}

func newExchange(t *testing.T, limit int) (*Exchange, *recorder) {
	t.Helper()
	observer := &recorder{}
	exchange, err := New(Options{Observer: observer, MaxReports: limit})
	assert.NilError(t, err)
	return exchange, observer
}

func TestExchange(t *testing.T) {
	now := time.Unix(1000, 0)
	reader, _ := newExchange(t, 0)
	hub, atHub := newExchange(t, 0)
	other, atOther := newExchange(t, 0)
	reader.ObserveLoad(now, winch.LoadReport{
		Endpoint: "e1", AsOf: now.Add(-2 * time.Second), Running: 4, Waiting: 1, State: winch.EndpointLeaving,
		Models: []winch.LoadedModel{{Model: "m", Adapter: "fairs"}},
	})
	assert.NilError(t, hub.Collect(now, "reader", reader.Report(now)))
	assert.NilError(t, other.Apply(now, now, "hub", hub.Summary(now, "other")))
	for name, observer := range map[string]*recorder{"hub": atHub, "other": atOther} {
		t.Run(name+" receives the report", func(t *testing.T) {
			assert.Equal(t, len(observer.reports), 1)
			got := observer.reports[0]
			assert.Equal(t, got.AsOf, now.Add(-2*time.Second))
			assert.Equal(t, got.Running+got.Waiting, 5)
			assert.Equal(t, got.State, winch.EndpointLeaving)
			assert.Equal(t, got.Models[0].Adapter, winch.AdapterID("fairs"))
		})
	}
	t.Run("a report is not sent twice, nor back to the host that read it", func(t *testing.T) {
		assert.Equal(t, len(hub.Summary(now, "other")), 0)
		assert.Equal(t, len(hub.Summary(now, "reader")), 0)
	})
}

func TestSummaryIsBounded(t *testing.T) {
	now := time.Unix(1000, 0)
	hub, _ := newExchange(t, 40)
	for i := range 400 {
		hub.ObserveLoad(now, winch.LoadReport{Endpoint: winch.EndpointID(fmt.Sprintf("engine-%03d", i)), AsOf: now, Running: 20})
	}
	seen := map[winch.EndpointID]bool{}
	for range 10 {
		summary := hub.Summary(now, "other")
		assert.Assert(t, len(summary) < 1500, "%d bytes", len(summary))
		reports, err := decode(now, summary)
		assert.NilError(t, err)
		for _, report := range reports {
			seen[report.Endpoint] = true
		}
	}
	assert.Equal(t, len(seen), 400)
}

func FuzzDecode(f *testing.F) {
	f.Add([]byte(`{"Endpoints":["e"],"Ages":[1],"Running":[1],"Waiting":[0],"Sets":[{"Models":["m"],"Adapters":[""],"Versions":["1"]}],"Held":[0]}`))
	f.Add([]byte(`{"Endpoints":["e"]}`))
	f.Fuzz(func(t *testing.T, encoded []byte) {
		reports, err := decode(time.Unix(1000, 0), encoded)
		if err != nil {
			assert.ErrorIs(t, err, winch.ErrInvalid)
		}
		for _, report := range reports {
			assert.Assert(t, report.Running >= 0)
		}
	})
}
