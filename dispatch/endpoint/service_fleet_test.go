package endpoint

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/arbutuswinch/winch"
)

const (
	serviceHosts     = 8
	serviceEndpoints = 3
	serviceSlots     = 6
	// serviceTime is how long an endpoint works on a request.
	serviceTime = 100 * time.Millisecond
	// serviceQueueTime is how long a request waits at an endpoint without a free slot. Endpoints reject those that would wait longer.
	serviceQueueTime = 100 * time.Millisecond
	// serviceDialTimeout is how long an attempt to connect takes on a host that is cut off.
	serviceDialTimeout = 400 * time.Millisecond
	serviceDeadline    = 3 * time.Second
	serviceAttempts    = 4
	serviceExchange    = 500 * time.Millisecond
	serviceLag         = 300 * time.Millisecond
	// serviceCutAt is when hosts of a serviceFleet are cut off, from the start.
	serviceCutAt = 2 * time.Second
	// serviceCutLearned is when the other hosts know what these hosts cannot send.
	serviceCutLearned = serviceCutAt + 2*time.Second
	serviceEnd        = 15 * time.Second
)

const (
	urgentClass winch.ClassID = "lookup"
	lowerClass  winch.ClassID = "hold"
)

// serviceClasses are the classes of a serviceFleet. The route of each has the same ID.
var serviceClasses = []winch.Class{
	{ID: lowerClass, Tier: 3, FirstTokenTarget: time.Second},
	{ID: urgentClass, Tier: 1, FirstTokenTarget: time.Second},
}

// serviceFleet simulates hosts that share the endpoints of a plain service and exchange statistics through a hub. The endpoints have
// short queues.
type serviceFleet struct {
	now, start time.Time
	random     *rand.Rand
	cores      []*core
	// cut is the number of hosts that lose their links to all endpoints at serviceCutAt.
	cut int
	// rate is the number of requests of a class in a second, at all hosts together.
	rate float64
	// urgentAtOne is set if half of the urgent requests come to one host, which is never cut off.
	urgentAtOne bool
	due         map[winch.ClassID]float64
	nextID      int
	open        map[*request]*serviceRequest
	running     []*serviceRequest
	// freeAt is when each slot of an endpoint has served its requests.
	freeAt  map[winch.EndpointID]*[serviceSlots]time.Time
	pending []func()
	counts  map[winch.ClassID]*serviceCounts // of requests that came to sound hosts between serviceCutLearned and serviceEnd-serviceDeadline
	others  serviceCounts                    // of all others
}

type serviceRequest struct {
	r        *request
	work     winch.Work
	host     int
	attempts int
	counts   *serviceCounts
	endpoint winch.EndpointID
	// endsAt and outcome are those of the present attempt.
	endsAt  time.Time
	outcome winch.Outcome
}

type serviceCounts struct{ sent, served, refused, failed int }

func (c *serviceCounts) share() float64 { return float64(c.served) / float64(max(1, c.sent)) }

func newServiceFleet(rate float64, cut int) *serviceFleet {
	start := time.Unix(1000, 0)
	f := &serviceFleet{
		now: start, start: start, random: rand.New(rand.NewPCG(9, 9)), cut: cut, rate: rate, due: map[winch.ClassID]float64{},
		open: map[*request]*serviceRequest{}, freeAt: map[winch.EndpointID]*[serviceSlots]time.Time{}, counts: map[winch.ClassID]*serviceCounts{},
	}
	configuration := &winch.Configuration{Classes: map[winch.ClassID]winch.Class{}, Routes: map[winch.RouteID]winch.Route{}}
	var routes []winch.RouteID
	for _, class := range serviceClasses {
		route := winch.RouteID(class.ID)
		configuration.Classes[class.ID] = class
		configuration.Routes[route] = winch.Route{ID: route, Class: class.ID, Idempotent: true}
		f.counts[class.ID] = &serviceCounts{}
		routes = append(routes, route)
	}
	var statuses []winch.EndpointStatus
	for i := range serviceEndpoints {
		statuses = append(statuses, winch.EndpointStatus{State: winch.EndpointReady, Endpoint: winch.Endpoint{
			ID: winch.EndpointID(fmt.Sprintf("s%02d", i)), DataCentre: "all", Kind: winch.EndpointService, Routes: routes, SlotLimit: serviceSlots,
		}})
	}
	members := make([]winch.Host, serviceHosts)
	for i := range members {
		members[i] = winch.Host{ID: winch.HostID(fmt.Sprintf("h%02d", i)), DataCentre: "all"}
	}
	for i, member := range members {
		c := newCore(member, PolicyPrefill, Settings{RampTime: time.Millisecond, RetryAfterMin: 300 * time.Millisecond}, uint64(i+1))
		c.setHosts(members, nil)
		c.configure(f.now, configuration, statuses)
		f.cores = append(f.cores, c)
	}
	return f
}

func (f *serviceFleet) run(length time.Duration) {
	for end := f.now.Add(length); f.now.Before(end); f.now = f.now.Add(fleetStep) {
		since := f.now.Sub(f.start)
		if since%(100*time.Millisecond) == 0 {
			for i, c := range f.cores {
				c.tick(f.now)
				f.apply(i)
			}
		}
		f.exchange(since)
		f.arrivals()
		f.endAttempts()
	}
}

func (f *serviceFleet) arrivals() {
	for _, class := range serviceClasses {
		for f.due[class.ID] += f.rate * fleetStep.Seconds() * 2 * f.random.Float64(); f.due[class.ID] >= 1; f.due[class.ID]-- {
			f.send(class.ID, f.hostFor(class.ID))
		}
	}
}

// hostFor returns the host to which a request of the class comes.
func (f *serviceFleet) hostFor(class winch.ClassID) int {
	if f.urgentAtOne && class == urgentClass && f.random.IntN(2) == 0 {
		return len(f.cores) - 1
	}
	return f.random.IntN(len(f.cores))
}

// exchange passes the statistics of all hosts through the hub. They arrive serviceLag after they were taken.
func (f *serviceFleet) exchange(since time.Duration) {
	hub, taken := f.cores[len(f.cores)-1], f.now
	switch since % serviceExchange {
	case 0:
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
	case serviceLag:
		for _, apply := range f.pending {
			apply()
		}
		f.pending = nil
	}
}

func (f *serviceFleet) isCut(host int) bool {
	return host < f.cut && !f.now.Before(f.start.Add(serviceCutAt))
}

func (f *serviceFleet) send(class winch.ClassID, host int) {
	f.nextID++
	q := &serviceRequest{host: host, counts: &f.others, work: winch.Work{
		Request: winch.RequestID(fmt.Sprint(f.nextID)), Class: class, Route: winch.RouteID(class), Arrived: f.now,
		Deadline: f.now.Add(serviceDeadline), NotResumable: true,
	}}
	since := f.now.Sub(f.start)
	if host >= f.cut && since >= serviceCutLearned && since < serviceEnd-serviceDeadline {
		q.counts = f.counts[class]
	}
	q.counts.sent++
	f.attempt(q)
}

func (f *serviceFleet) attempt(q *serviceRequest) {
	q.attempts++
	q.r = f.cores[q.host].arrive(f.now, q.work, nil, &progress{})
	f.open[q.r] = q
	f.apply(q.host)
}

// apply carries out the decisions of a host.
func (f *serviceFleet) apply(host int) {
	c := f.cores[host]
	effects := c.effects
	c.effects = nil
	for _, e := range effects {
		q := f.open[e.request]
		if q == nil {
			continue
		}
		switch e.kind {
		case effectRefused:
			q.counts.refused++
			delete(f.open, e.request)
		case effectGranted:
			f.begin(q, e.endpoint.spec.ID)
		}
	}
}

// begin starts an attempt at the endpoint.
func (f *serviceFleet) begin(q *serviceRequest, id winch.EndpointID) {
	q.endpoint = id
	if f.isCut(q.host) {
		q.outcome, q.endsAt = winch.OutcomeUnsent, f.now.Add(serviceDialTimeout)
	} else {
		q.outcome, q.endsAt = f.serve(id)
	}
	f.running = append(f.running, q)
}

// serve returns how a request that comes to the endpoint ends there, and when.
func (f *serviceFleet) serve(id winch.EndpointID) (winch.Outcome, time.Time) {
	if f.freeAt[id] == nil {
		f.freeAt[id] = &[serviceSlots]time.Time{}
	}
	slots := f.freeAt[id][:]
	slices.SortFunc(slots, time.Time.Compare)
	start := slots[0]
	if start.Before(f.now) {
		start = f.now
	}
	if start.Sub(f.now) > serviceQueueTime {
		return winch.OutcomeRejected, f.now
	}
	slots[0] = start.Add(serviceTime)
	return winch.OutcomeDone, slots[0]
}

// endAttempts ends the attempts that are over, and tries failed ones once more.
func (f *serviceFleet) endAttempts() {
	running := f.running
	f.running = nil
	for _, q := range running {
		if f.now.Before(q.endsAt) {
			f.running = append(f.running, q)
			continue
		}
		delete(f.open, q.r)
		if q.outcome == winch.OutcomeDone {
			q.counts.served++
		}
		f.cores[q.host].release(f.now, q.r, q.outcome)
		f.apply(q.host)
		switch {
		case q.outcome == winch.OutcomeDone:
		case q.attempts < serviceAttempts:
			q.work.Excluded = []winch.EndpointID{q.endpoint}
			f.attempt(q)
		default:
			q.counts.failed++
		}
	}
}

// TestLowerTiersAreServedBesideHostsThatCannotSend guards against requests of lower tiers that are refused on sound hosts, beside free
// slots, because requests of a higher tier wait on hosts that do not reach the endpoints.
func TestLowerTiersAreServedBesideHostsThatCannotSend(t *testing.T) {
	for _, rate := range []float64{25, 40, 60} {
		t.Run(fmt.Sprintf("%.0f requests a second", 2*rate), func(t *testing.T) {
			f := newServiceFleet(rate, 3)
			f.run(serviceEnd)
			for _, class := range serviceClasses {
				share := f.servedShare(t, class.ID)
				assert.Assert(t, share > 0.98, "%s: %.3f served", class.ID, share)
			}
		})
	}
}

// TestLowerTiersWaitForUrgentRequestsOfOtherHosts guards against requests of a lower tier that take slots while more urgent ones wait on
// hosts that could send them, whether or not other hosts are cut off.
func TestLowerTiersWaitForUrgentRequestsOfOtherHosts(t *testing.T) {
	for name, cut := range map[string]int{"no host is cut off": 0, "some hosts are cut off": 3} {
		t.Run(name, func(t *testing.T) {
			f := newServiceFleet(150, cut)
			f.urgentAtOne = true
			f.run(serviceEnd)
			urgent, lower := f.servedShare(t, urgentClass), f.servedShare(t, lowerClass)
			assert.Assert(t, urgent > 0.8 && lower < urgent/2, "%.3f of the urgent requests served and %.3f of the others", urgent, lower)
		})
	}
}

// servedShare returns the share of the class's requests that were served at sound hosts.
func (f *serviceFleet) servedShare(t *testing.T, class winch.ClassID) float64 {
	t.Helper()
	counts := f.counts[class]
	t.Logf("%s: %+v, %.3f served", class, *counts, counts.share())
	return counts.share()
}
