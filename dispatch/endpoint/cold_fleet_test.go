package endpoint

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/arbutuswinch/winch"
)

const (
	coldFleetStep = 10 * time.Millisecond
	// coldFleetHold is how long an endpoint works on a request.
	coldFleetHold = 300 * time.Millisecond
	// coldFleetRate is the number of requests of all hosts in a second.
	coldFleetRate = 254
	coldFleetLag  = 500 * time.Millisecond
)

// coldFleet simulates hosts that send requests with shared parts to endpoints of three data centres, some of which are cold.
type coldFleet struct {
	now, start time.Time
	random     *rand.Rand
	cores      []*core
	statuses   []winch.EndpointStatus
	// subjects is the number of different shared parts. The first is that of the share popular of the requests.
	subjects      int
	popular       float64
	due           float64
	nextID        int
	running       []coldFleetRequest
	pending       []func()
	got           map[winch.EndpointID][]time.Time
	sent          int
	served        int
	refused       int
	refusedWithin []time.Duration
	configuration *winch.Configuration
}

type coldFleetRequest struct {
	host   int
	r      *request
	endsAt time.Time
}

func newColdFleet(hosts, endpoints int) *coldFleet {
	f := &coldFleet{
		now: time.Unix(1000, 0), start: time.Unix(1000, 0), random: rand.New(rand.NewPCG(3, 3)), subjects: 500,
		got: map[winch.EndpointID][]time.Time{},
	}
	f.configuration = &winch.Configuration{
		Classes:    map[winch.ClassID]winch.Class{"advice": {ID: "advice", Tier: 1, FirstTokenTarget: 500 * time.Millisecond, Models: []winch.ModelID{promptModel}}},
		ColdStarts: map[winch.ModelID]winch.ColdStart{promptModel: coldStart},
	}
	for i := range endpoints {
		f.statuses = append(f.statuses, winch.EndpointStatus{State: winch.EndpointReady, StartedAt: f.now.Add(-time.Hour), ColdStated: true, Endpoint: winch.Endpoint{
			ID: winch.EndpointID(fmt.Sprintf("e%02d", i)), DataCentre: winch.DataCentreID(string("abc"[i%3])), Kind: winch.EndpointEngine,
			Models: []winch.ModelID{promptModel}, SlotLimit: 64,
		}})
	}
	members := make([]winch.Host, hosts)
	for i := range members {
		members[i] = winch.Host{ID: winch.HostID(fmt.Sprintf("h%02d", i)), DataCentre: "all"}
	}
	for i, member := range members {
		c := newCore(member, PolicyPrefill, Settings{
			RampTime: time.Second, SilenceLimit: time.Second, RetryAfterMin: 300 * time.Millisecond, RetryAfterMax: 5 * time.Second,
		}, uint64(i+1))
		c.home = winch.DataCentreID(string("abc"[i%3]))
		c.knownHosts.update(f.now.Add(-time.Minute), member.ID, members)
		c.setHosts(members, nil)
		f.cores = append(f.cores, c)
	}
	f.configure()
	return f
}

func (f *coldFleet) configure() {
	for i, c := range f.cores {
		c.configure(f.now, f.configuration, f.statuses)
		f.apply(i)
	}
}

// turnCold makes the endpoints of the given data centres cold for the time, and tells all hosts.
func (f *coldFleet) turnCold(length time.Duration, centres ...winch.DataCentreID) {
	for i := range f.statuses {
		for _, centre := range centres {
			if f.statuses[i].Endpoint.DataCentre == centre {
				f.statuses[i].ColdUntil = f.now.Add(length)
			}
		}
	}
	f.configure()
}

func (f *coldFleet) run(length time.Duration) {
	for end := f.now.Add(length); f.now.Before(end); f.now = f.now.Add(coldFleetStep) {
		since := f.now.Sub(f.start)
		if since%(100*time.Millisecond) == 0 {
			for i, c := range f.cores {
				c.tick(f.now)
				f.apply(i)
			}
		}
		f.exchange(since)
		f.arrivals()
		for len(f.running) > 0 && !f.running[0].endsAt.After(f.now) {
			q := f.running[0]
			f.running = f.running[1:]
			f.served++
			f.cores[q.host].release(f.now, q.r, winch.OutcomeDone)
			f.apply(q.host)
		}
	}
}

func (f *coldFleet) arrivals() {
	for f.due += coldFleetRate * coldFleetStep.Seconds() * 2 * f.random.Float64(); f.due >= 1; f.due-- {
		f.nextID++
		f.sent++
		host, subject := f.random.IntN(len(f.cores)), winch.PrefixHash(1+f.random.IntN(f.subjects))
		if f.random.Float64() < f.popular {
			subject = 1
		}
		work := winch.Work{
			Request: winch.RequestID(fmt.Sprint(f.nextID)), Class: "advice", Model: promptModel, InputTokens: 900,
			Parts:   []winch.PromptPart{{ID: subject, Tokens: 600}, {ID: winch.PrefixHash(1_000_000 + f.nextID), Tokens: 300}},
			Arrived: f.now, Deadline: f.now.Add(4 * time.Second), NotResumable: true,
		}
		f.cores[host].arrive(f.now, work, nil, &progress{})
		f.apply(host)
	}
}

// apply carries out the decisions of a host.
func (f *coldFleet) apply(host int) {
	c := f.cores[host]
	effects := c.effects
	c.effects = nil
	for _, e := range effects {
		switch e.kind {
		case effectGranted:
			id := e.endpoint.spec.ID
			f.got[id] = append(f.got[id], f.now)
			e.request.progress.first.Store(f.now.UnixNano())
			f.running = append(f.running, coldFleetRequest{host: host, r: e.request, endsAt: f.now.Add(coldFleetHold)})
		case effectRefused:
			f.refused++
			f.refusedWithin = append(f.refusedWithin, e.refusal.RetryAfter)
		}
	}
}

// exchange passes the statistics of all hosts through the hub. They arrive coldFleetLag after they were taken.
func (f *coldFleet) exchange(since time.Duration) {
	hub, taken := f.cores[0], f.now
	if since%coldFleetLag == 0 {
		for _, apply := range f.pending {
			apply()
		}
		f.pending = nil
		for _, c := range f.cores {
			hub.hub.collect(taken, c.self.ID, c.ownStats(taken, true))
		}
		for i, c := range f.cores {
			summary := hub.summary(taken, c.self.ID)
			f.pending = append(f.pending, func() {
				c.applySummary(f.now, taken, hub.self.ID, summary)
				f.apply(i)
			})
		}
	}
}

// most returns the most requests that one of the endpoints for which include holds got in a second that began in the given time.
func (f *coldFleet) most(from, to time.Time, include func(winch.EndpointStatus) bool) int {
	most := 0
	for _, status := range f.statuses {
		if !include(status) {
			continue
		}
		times := f.got[status.Endpoint.ID]
		for i, at := range times {
			if at.Before(from) || !at.Before(to) {
				continue
			}
			count := 0
			for _, other := range times[i:] {
				if other.Sub(at) >= time.Second || !other.Before(to) {
					break
				}
				count++
			}
			most = max(most, count)
		}
	}
	return most
}

func inDataCentre(centre winch.DataCentreID) func(winch.EndpointStatus) bool {
	return func(status winch.EndpointStatus) bool { return centre == "" || status.Endpoint.DataCentre == centre }
}

// TestOtherDataCentresTakeTheLoadOfAColdOne guards against requests that wait for cold endpoints while others have room.
func TestOtherDataCentresTakeTheLoadOfAColdOne(t *testing.T) {
	f := newColdFleet(77, 60)
	f.run(5 * time.Second)
	cold := f.now
	f.sent, f.served, f.refused = 0, 0, 0
	f.turnCold(5*time.Second, "a")
	f.run(5 * time.Second)
	t.Logf("%d sent, %d served, %d refused, at most %d a second at a cold endpoint", f.sent, f.served, f.refused, f.most(cold, f.now, inDataCentre("a")))
	assert.Assert(t, f.most(cold, f.now, inDataCentre("a")) <= allowedInASecond(coldStart.Rate))
	assert.Assert(t, f.refused*100 <= f.sent, "%d of %d refused", f.refused, f.sent)
	assert.Assert(t, f.served*100 >= 90*f.sent, "%d of %d served", f.served, f.sent)
}

// TestAllEndpointsAreCold guards against a deployment that refuses everything because no endpoint is warm.
func TestAllEndpointsAreCold(t *testing.T) {
	f := newColdFleet(77, 60)
	f.run(5 * time.Second)
	cold := f.now
	f.sent, f.served, f.refused = 0, 0, 0
	f.turnCold(5*time.Second, "a", "b", "c")
	f.run(5 * time.Second)
	t.Logf("%d sent, %d served, %d refused, at most %d a second at an endpoint", f.sent, f.served, f.refused, f.most(cold, f.now, inDataCentre("")))
	assert.Assert(t, f.most(cold, f.now, inDataCentre("")) <= allowedInASecond(coldStart.Rate))
	assert.Assert(t, f.served*2 >= f.sent, "%d of %d served along the rates", f.served, f.sent)
	for _, wait := range f.refusedWithin {
		assert.Assert(t, wait > 0)
	}
}

// TestEndpointIsNotCrowdedBeforeItTurnsCold guards against a popular prompt whose endpoint gets more than a cold one may, which no host
// would know in time if it turned cold.
func TestEndpointIsNotCrowdedBeforeItTurnsCold(t *testing.T) {
	run := func(start winch.ColdStart) int {
		f := newColdFleet(77, 60)
		f.configuration.ColdStarts[promptModel] = start
		f.configure()
		f.popular = 0.25
		f.run(10 * time.Second)
		most := f.most(f.start.Add(5*time.Second), f.now, inDataCentre(""))
		t.Logf("%g a second allowed: at most %d in a second, %d of %d refused", float64(start.Rate), most, f.refused, f.sent)
		assert.Assert(t, f.refused*100 <= f.sent)
		return most
	}
	assert.Assert(t, run(coldStart) <= allowedInASecond(coldStart.Rate))
	t.Run("without the guard it is", func(t *testing.T) {
		assert.Assert(t, run(winch.ColdStart{Duration: 3 * time.Second, Rate: winch.RequestRate(math.MaxInt32)}) > allowedInASecond(coldStart.Rate))
	})
}

// setState sets the state of the endpoints of the data centres.
func (f *coldFleet) setState(state winch.EndpointState, centres ...winch.DataCentreID) {
	for i := range f.statuses {
		if slices.Contains(centres, f.statuses[i].Endpoint.DataCentre) {
			f.statuses[i].State = state
		}
	}
	f.configure()
}

// gotInTheLastSecond counts the requests of the data centre's endpoints.
func (f *coldFleet) gotInTheLastSecond(centre winch.DataCentreID) int {
	count := 0
	for _, status := range f.statuses {
		for _, at := range f.got[status.Endpoint.ID] {
			if status.Endpoint.DataCentre == centre && f.now.Sub(at) <= time.Second {
				count++
			}
		}
	}
	return count
}

// TestEndpointsThatComeBackColdAreNotOverrun lets the endpoints of data centres come back into service, as after an evacuation, and turn cold at
// that moment, which the hosts learn two seconds later.
func TestEndpointsThatComeBackColdAreNotOverrun(t *testing.T) {
	for _, centres := range [][]winch.DataCentreID{{"a"}, {"a", "b"}, {"a", "b", "c"}} {
		t.Run(fmt.Sprint(centres), func(t *testing.T) {
			f := newColdFleet(77, 60)
			f.run(3 * time.Second)
			f.setState(winch.EndpointLeaving, centres...)
			f.run(5 * time.Second)
			back := f.now
			f.sent, f.served = 0, 0
			f.setState(winch.EndpointReady, centres...)
			f.run(2 * time.Second)
			f.turnCold(3*time.Second, centres...)
			f.run(3 * time.Second)
			warm, most := f.now, 0
			for _, centre := range centres {
				most = max(most, f.most(back, warm, inDataCentre(centre)))
			}
			f.run(5 * time.Second)
			t.Logf("at most %d a second at an endpoint that came back; %d a second at those of one data centre 5 s after they are warm; %d of %d served",
				most, f.gotInTheLastSecond("a"), f.served, f.sent)
			assert.Assert(t, most <= allowedInASecond(coldStart.Rate))
			assert.Assert(t, 3*2*f.gotInTheLastSecond("a") >= coldFleetRate, "the load comes back")
			assert.Assert(t, f.served*100 >= 90*f.sent)
		})
	}
}
