package planner

import (
	"fmt"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"

	"github.com/arbutuswinch/winch"
)

const testModel winch.ModelID = "pool"

// simulation simulates three data centres. The platform starts all ordered endpoints,
// except cheap ones in data centres where they are unavailable.
type simulation struct {
	t           *testing.T
	planner     *PrefillPlanner
	now         time.Time
	rate        float64
	max         int
	started     map[winch.PoolID][]time.Time
	unavailable map[winch.DataCentreID]bool
	// coldTime is how long endpoints are cold once they are ready, and allColdUntil when all cease to be cold that have turned cold later.
	coldTime     time.Duration
	allColdUntil time.Time
}

var centres = []winch.DataCentreID{"a", "b", "c"}

const startTime = 4 * time.Second

func newSimulation(t *testing.T, limit int) *simulation {
	t.Helper()
	s := &simulation{t: t, now: time.Unix(1000, 0), max: limit, started: map[winch.PoolID][]time.Time{}, unavailable: map[winch.DataCentreID]bool{}}
	planner, err := NewPrefillPlanner(PrefillOptions{Configurations: s, Queues: s, Endpoints: s, Logger: hclog.NewNullLogger()})
	assert.NilError(t, err)
	s.planner = planner
	return s
}

func (s *simulation) Current() *winch.Configuration {
	return &winch.Configuration{ColdStarts: map[winch.ModelID]winch.ColdStart{testModel: {Duration: s.coldTime, Rate: 11}}, Scalings: map[winch.ModelID]winch.Scaling{
		testModel: {Model: testModel, Min: 1, Max: s.max, StartTime: startTime, DataCentres: centres},
	}}
}
func (s *simulation) Authorize(time.Time, winch.KeyHash) (winch.Key, error) { return winch.Key{}, nil }
func (s *simulation) Authority(time.Time) winch.Authority                   { return winch.AuthorityFull }
func (s *simulation) ReadAt() time.Time                                     { return time.Time{} }
func (s *simulation) Changed() <-chan struct{}                              { return nil }

func (s *simulation) Queues(time.Time) []winch.QueueStatus {
	return []winch.QueueStatus{{Model: testModel, PromptRate: s.rate, PromptSpeed: 40_000}}
}

func (s *simulation) state(started time.Time) winch.EndpointState {
	if s.now.Sub(started) < startTime {
		return winch.EndpointStarting
	}
	return winch.EndpointReady
}

func (s *simulation) endpointsIn(centre winch.DataCentreID) []winch.OrderedEndpoint {
	endpoints := []winch.OrderedEndpoint{}
	for _, supply := range []winch.Supply{winch.SupplyCheap, winch.SupplySteady} {
		id := winch.ScalingPool(testModel, centre, supply)
		for i, started := range s.started[id] {
			endpoints = append(endpoints, winch.OrderedEndpoint{ID: winch.EndpointID(fmt.Sprint(id, i)), DataCentre: centre, Pool: id, Supply: supply, State: s.state(started)})
		}
	}
	return endpoints
}

func (s *simulation) Endpoints() []winch.EndpointStatus {
	statuses := []winch.EndpointStatus{}
	for _, centre := range centres {
		for _, e := range s.endpointsIn(centre) {
			statuses = append(statuses, winch.EndpointStatus{State: e.State, ColdStated: true, ColdUntil: s.coldUntil(e.ID), Endpoint: winch.Endpoint{ID: e.ID, DataCentre: centre, Models: []winch.ModelID{testModel}}})
		}
	}
	return statuses
}

// coldUntil returns when the endpoint ceases to be cold.
func (s *simulation) coldUntil(id winch.EndpointID) time.Time {
	until := s.allColdUntil
	for pool, started := range s.started {
		for i, at := range started {
			if end := at.Add(startTime + s.coldTime); winch.EndpointID(fmt.Sprint(pool, i)) == id && end.After(until) {
				until = end
			}
		}
	}
	return until
}

// warm returns the number of endpoints that are ready and not cold.
func (s *simulation) warm() int {
	count := 0
	for _, status := range s.Endpoints() {
		if status.State == winch.EndpointReady && !s.now.Before(status.ColdUntil) {
			count++
		}
	}
	return count
}

// advance plans and applies the orders every 500 ms of simulated time.
func (s *simulation) advance(duration time.Duration) {
	for end := s.now.Add(duration); s.now.Before(end); s.now = s.now.Add(500 * time.Millisecond) {
		for _, centre := range centres {
			total := 0
			for _, order := range s.planner.Plan(s.now, centre, s.endpointsIn(centre)) {
				total += order.Count
				s.apply(centre, order)
			}
			assert.Assert(s.t, total <= s.max, "%d ordered in %s", total, centre)
		}
	}
}

func (s *simulation) apply(centre winch.DataCentreID, order winch.PoolOrder) {
	have := s.started[order.Pool]
	for len(have) < order.Count && (order.Supply == winch.SupplySteady || !s.unavailable[centre]) {
		have = append(have, s.now)
	}
	if len(have) > order.Count {
		have = have[:order.Count]
	}
	s.started[order.Pool] = have
}

// reclaim removes all cheap endpoints of a data centre and makes new ones unavailable there.
func (s *simulation) reclaim(centre winch.DataCentreID) {
	s.unavailable[centre] = true
	s.started[winch.ScalingPool(testModel, centre, winch.SupplyCheap)] = nil
}

func (s *simulation) count(supply winch.Supply) int {
	count := 0
	for _, centre := range centres {
		count += len(s.started[winch.ScalingPool(testModel, centre, supply)])
	}
	return count
}

func (s *simulation) ready() int {
	count := 0
	for _, status := range s.Endpoints() {
		if status.State == winch.EndpointReady {
			count++
		}
	}
	return count
}

func TestCheapEndpointsServeAllRequests(t *testing.T) {
	s := newSimulation(t, 8)
	for _, centre := range centres {
		// Four steady endpoints that started long ago.
		s.started[winch.ScalingPool(testModel, centre, winch.SupplySteady)] = make([]time.Time, 4)
	}
	s.rate = 100_000
	s.advance(30 * time.Second)
	// The maximum of 8, which is also minCheap, in each of the 3 data centres.
	assert.Equal(t, s.count(winch.SupplyCheap), 24)
	assert.Equal(t, s.count(winch.SupplySteady), 0)
}

func TestReclaim(t *testing.T) {
	t.Run("of one data centre is compensated by the others", func(t *testing.T) {
		s := newSimulation(t, 8)
		s.rate = 150_000
		s.advance(20 * time.Second)
		s.reclaim("a")
		s.advance(8 * time.Second)
		assert.Equal(t, s.count(winch.SupplySteady), 0)
	})
	t.Run("of two data centres under load adds steady endpoints", func(t *testing.T) {
		s := newSimulation(t, 6)
		s.rate = 400_000
		s.advance(20 * time.Second)
		s.reclaim("a")
		s.reclaim("b")
		s.advance(6 * time.Second)
		assert.Assert(t, s.ready() > 6, "%d ready", s.ready())
		t.Run("until cheap endpoints are available", func(t *testing.T) {
			s.unavailable = map[winch.DataCentreID]bool{}
			s.advance(30 * time.Second)
			assert.Equal(t, s.count(winch.SupplySteady), 0)
			// The maximum of 6 in each of the 3 data centres.
			assert.Equal(t, s.count(winch.SupplyCheap), 18)
		})
	})
	t.Run("without load adds no steady endpoints", func(t *testing.T) {
		s := newSimulation(t, 6)
		s.advance(20 * time.Second)
		s.reclaim("a")
		s.reclaim("b")
		s.advance(6 * time.Second)
		assert.Equal(t, s.count(winch.SupplySteady), 0)
	})
}

func TestCapacityStaysUntilDemandIsKnown(t *testing.T) {
	s := newSimulation(t, 94)
	for _, centre := range centres {
		s.started[winch.ScalingPool(testModel, centre, winch.SupplySteady)] = make([]time.Time, 47)
	}
	for range 20 {
		s.advance(500 * time.Millisecond)
		assert.Assert(t, s.ready() >= 141, "%d ready", s.ready())
	}
	t.Run("the first requests are served by them", func(t *testing.T) {
		s.rate = 1_200_000
		for range 40 {
			s.advance(500 * time.Millisecond)
			assert.Assert(t, float64(s.ready()) >= s.rate/40_000/fallbackUse, "%d ready", s.ready())
		}
	})
	t.Run("cheap ones replace them", func(t *testing.T) {
		s.advance(20 * time.Second)
		assert.Equal(t, s.count(winch.SupplySteady), 0)
	})
}
