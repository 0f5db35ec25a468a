package planner

import (
	"fmt"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"

	"github.com/arbutuswinch/winch"
)

const pool winch.ModelID = "pool"

// site plays three data centres whose platform starts what is ordered, unless cheap
// endpoints are not to be had there.
type site struct {
	t       *testing.T
	planner *Prompts
	now     time.Time
	rate    float64
	max     int
	started map[winch.PoolID][]time.Time
	dry     map[winch.DataCentreID]bool
}

var centres = []winch.DataCentreID{"a", "b", "c"}

const startTime = 4 * time.Second

func newSite(t *testing.T, limit int) *site {
	t.Helper()
	s := &site{t: t, now: time.Unix(1000, 0), max: limit, started: map[winch.PoolID][]time.Time{}, dry: map[winch.DataCentreID]bool{}}
	planner, err := NewPrompts(PromptsOptions{Configurations: s, Queues: s, Endpoints: s, Logger: hclog.NewNullLogger()})
	assert.NilError(t, err)
	s.planner = planner
	return s
}

func (s *site) Current() *winch.Configuration {
	return &winch.Configuration{Scalings: map[winch.ModelID]winch.Scaling{
		pool: {Model: pool, Min: 1, Max: s.max, StartTime: startTime, DataCentres: centres},
	}}
}
func (s *site) Authorize(time.Time, winch.KeyHash) (winch.Key, error) { return winch.Key{}, nil }
func (s *site) Authority(time.Time) winch.Authority                   { return winch.AuthorityFull }
func (s *site) Changed() <-chan struct{}                              { return nil }

func (s *site) Queues(time.Time) []winch.QueueStatus {
	return []winch.QueueStatus{{Model: pool, PromptRate: s.rate, PromptSpeed: 40_000}}
}

func (s *site) state(started time.Time) winch.EndpointState {
	if s.now.Sub(started) < startTime {
		return winch.EndpointStarting
	}
	return winch.EndpointReady
}

func (s *site) in(centre winch.DataCentreID) []winch.OrderedEndpoint {
	endpoints := []winch.OrderedEndpoint{}
	for _, supply := range []winch.Supply{winch.SupplyCheap, winch.SupplySteady} {
		id := winch.ScalingPool(pool, centre, supply)
		for i, started := range s.started[id] {
			endpoints = append(endpoints, winch.OrderedEndpoint{ID: winch.EndpointID(fmt.Sprint(id, i)), DataCentre: centre, Pool: id, Supply: supply, State: s.state(started)})
		}
	}
	return endpoints
}

func (s *site) Endpoints() []winch.EndpointStatus {
	statuses := []winch.EndpointStatus{}
	for _, centre := range centres {
		for _, e := range s.in(centre) {
			statuses = append(statuses, winch.EndpointStatus{State: e.State, Endpoint: winch.Endpoint{ID: e.ID, DataCentre: centre, Models: []winch.ModelID{pool}}})
		}
	}
	return statuses
}

// run plays the time in half seconds.
func (s *site) run(wait time.Duration) {
	for end := s.now.Add(wait); s.now.Before(end); s.now = s.now.Add(500 * time.Millisecond) {
		for _, centre := range centres {
			total := 0
			for _, order := range s.planner.Plan(s.now, centre, s.in(centre)) {
				total += order.Count
				s.order(centre, order)
			}
			assert.Assert(s.t, total <= s.max, "%d ordered in %s", total, centre)
		}
	}
}

func (s *site) order(centre winch.DataCentreID, order winch.PoolOrder) {
	have := s.started[order.Pool]
	for len(have) < order.Count && (order.Supply == winch.SupplySteady || !s.dry[centre]) {
		have = append(have, s.now)
	}
	if len(have) > order.Count {
		have = have[:order.Count]
	}
	s.started[order.Pool] = have
}

// reclaim takes all cheap endpoints of a data centre away.
func (s *site) reclaim(centre winch.DataCentreID) {
	s.dry[centre] = true
	s.started[winch.ScalingPool(pool, centre, winch.SupplyCheap)] = nil
}

func (s *site) count(supply winch.Supply) int {
	count := 0
	for _, centre := range centres {
		count += len(s.started[winch.ScalingPool(pool, centre, supply)])
	}
	return count
}

func (s *site) ready() int {
	count := 0
	for _, status := range s.Endpoints() {
		if status.State == winch.EndpointReady {
			count++
		}
	}
	return count
}

func TestCheapCarryTheWork(t *testing.T) {
	s := newSite(t, 8)
	for _, centre := range centres {
		s.started[winch.ScalingPool(pool, centre, winch.SupplySteady)] = make([]time.Time, 4)
	}
	s.rate = 100_000
	s.run(30 * time.Second)
	assert.Equal(t, s.count(winch.SupplyCheap), 24)
	assert.Equal(t, s.count(winch.SupplySteady), 0)
}

func TestReclaim(t *testing.T) {
	t.Run("of one data centre is borne by the others", func(t *testing.T) {
		s := newSite(t, 8)
		s.rate = 150_000
		s.run(20 * time.Second)
		s.reclaim("a")
		s.run(8 * time.Second)
		assert.Equal(t, s.count(winch.SupplySteady), 0)
	})
	t.Run("of two data centres under load is stood in for", func(t *testing.T) {
		s := newSite(t, 6)
		s.rate = 400_000
		s.run(20 * time.Second)
		s.reclaim("a")
		s.reclaim("b")
		s.run(6 * time.Second)
		assert.Assert(t, s.ready() > 6, "%d ready", s.ready())
		t.Run("until cheap ones are to be had", func(t *testing.T) {
			s.dry = map[winch.DataCentreID]bool{}
			s.run(30 * time.Second)
			assert.Equal(t, s.count(winch.SupplySteady), 0)
			assert.Equal(t, s.count(winch.SupplyCheap), 18)
		})
	})
	t.Run("without load nothing is ordered", func(t *testing.T) {
		s := newSite(t, 6)
		s.run(20 * time.Second)
		s.reclaim("a")
		s.reclaim("b")
		s.run(6 * time.Second)
		assert.Equal(t, s.count(winch.SupplySteady), 0)
	})
}
