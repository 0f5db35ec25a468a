package forwarder

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"reflect"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/arbutuswinch/winch"
	"github.com/arbutuswinch/winch/platform/platformtest"
)

const (
	// copyEvery is the time between copies of the store.
	copyEvery = 500 * time.Millisecond
	// endpointDrain is the time within which an endpoint that is gone gets no requests any more.
	endpointDrain = 2 * time.Second
	// episodeTime is about the time that one episode takes.
	episodeTime = 10 * time.Second
)

// scheduledChange is a change of the operator or of an endpoint, or a restart of a host.
type scheduledChange struct {
	// after is the time from the change before.
	after time.Duration
	// kind is one of the kinds below, and host the place of the host that is restarted by the signal, or holder for the one that acted last.
	kind   changeKind
	host   int
	signal syscall.Signal
	// steps and second are those of the configuration.
	steps  int
	second bool
}

// holder is the place of the host that acted last.
const holder = -1

type changeKind int

const (
	hostRestarts changeKind = iota
	changeConfiguration
	endpointJoins
	endpointLeaves
	changeKinds
)

// scheduledReturn is a return of the store to a copy.
type scheduledReturn struct {
	// age is the least age of the copy, away the time for which the store is away before, and late the longest time until an entry is
	// written again.
	age, away, late time.Duration
	cut             bool
}

// episode is a time with changes in which the store comes back from older copies.
type episode struct {
	before, after []scheduledChange
	// heartbeats is the number of writes of an endpoint after the changes before the store comes back, so that revisions go back far.
	heartbeats int
	// last is the change of the configuration after which all must be settled.
	last    []scheduledChange
	returns []scheduledReturn
	faults  storeFaults
}

// drawEpisodes returns what a seed plays.
func drawEpisodes(seed uint64, count, hosts int) []episode {
	random := rand.New(rand.NewPCG(seed, 22))
	episodes := make([]episode, 0, count)
	for range count {
		e := episode{before: drawChanges(random, 2+random.IntN(3), hosts), after: drawChanges(random, 1+random.IntN(2), hosts)}
		e.before, e.last = append(e.before, drawConfiguration(random)), []scheduledChange{drawConfiguration(random)}
		e.heartbeats = random.IntN(300)
		for range 1 + random.IntN(5)/3 {
			e.returns = append(e.returns, scheduledReturn{
				age: time.Second + drawTime(random, 7*time.Second), away: drawTime(random, 1500*time.Millisecond), late: drawTime(random, 1500*time.Millisecond),
				cut: random.IntN(2) == 0,
			})
		}
		if random.IntN(3) == 0 {
			e.faults = storeFaults{lost: random.Float64() / 8, late: random.Float64() / 8, delay: drawTime(random, time.Second)}
		}
		episodes = append(episodes, e)
	}
	return episodes
}

func drawTime(random *rand.Rand, limit time.Duration) time.Duration {
	return time.Duration(random.Float64() * float64(limit))
}

func drawConfiguration(random *rand.Rand) scheduledChange {
	change := drawChanges(random, 1, 1)[0]
	change.kind = changeConfiguration
	return change
}

func drawChanges(random *rand.Rand, count, hosts int) []scheduledChange {
	changes := make([]scheduledChange, 0, count)
	for range count {
		changes = append(changes, scheduledChange{
			after: drawTime(random, time.Second), kind: changeKind(max(0, random.IntN(int(changeKinds)+1)-1)), host: max(holder, random.IntN(2*hosts)-hosts),
			signal: []syscall.Signal{syscall.SIGTERM, syscall.SIGKILL}[random.IntN(2)], steps: 1 + random.IntN(3), second: random.IntN(2) == 0,
		})
	}
	return changes
}

// leavingEndpoint is an endpoint that records when requests reach it.
type leavingEndpoint struct {
	id winch.EndpointID

	mu   sync.Mutex
	last time.Time
}

func (e *leavingEndpoint) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if platformtest.RefuseMisdirected(w, r, e.id) {
		return
	}
	e.mu.Lock()
	e.last = time.Now()
	e.mu.Unlock()
	platformtest.NewEndpoint(e.id).ServeHTTP(w, r)
}

func (e *leavingEndpoint) lastRequest() time.Time {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.last
}

// setBackSoak plays the episodes of a seed.
type setBackSoak struct {
	*setBack
	group sync.WaitGroup

	mu        sync.Mutex
	copies    []storeCopy
	taken     []time.Time
	endpoints []*leavingEndpoint
	left      int
}

// takeCopies takes copies of the store until ctx is done.
func (s *setBackSoak) takeCopies(ctx context.Context) {
	for ctx.Err() == nil {
		s.mu.Lock()
		s.copies, s.taken = append(s.copies, s.writers.copy()), append(s.taken, time.Now())
		s.mu.Unlock()
		select {
		case <-ctx.Done():
		case <-time.After(copyEvery):
		}
	}
}

// copyOf returns the newest copy of the age, or the oldest one, and forgets newer ones.
func (s *setBackSoak) copyOf(age time.Duration) storeCopy {
	s.mu.Lock()
	defer s.mu.Unlock()
	last := len(s.copies) - 1
	for last > 0 && time.Since(s.taken[last]) < age {
		last--
	}
	s.copies, s.taken = s.copies[:last+1], s.taken[:last+1]
	return s.copies[last]
}

func (s *setBackSoak) change(ctx context.Context, changes []scheduledChange) {
	for _, c := range changes {
		<-time.After(c.after)
		switch c.kind {
		case changeConfiguration:
			s.writers.configure(c.steps, c.second)
		case endpointJoins:
			s.join()
		case endpointLeaves:
			s.leave()
		default:
			s.restartPlace(ctx, c)
		}
	}
}

func (s *setBackSoak) restartPlace(ctx context.Context, c scheduledChange) {
	h := s.holder()
	if c.host != holder {
		h = s.hosts[c.host]
	}
	if h != nil {
		s.restartHost(ctx, rand.New(rand.NewPCG(uint64(c.after), 1)), h, c.signal)
	}
}

// join adds an endpoint.
func (s *setBackSoak) join() {
	s.mu.Lock()
	e := &leavingEndpoint{id: winch.EndpointID(fmt.Sprintf("e-%d", len(s.endpoints)))}
	s.endpoints = append(s.endpoints, e)
	s.mu.Unlock()
	value, err := platformtest.EncodeEndpoint("desk", "a", serve(s.t, e), 8)
	if err != nil {
		s.fail("%v", err)
		return
	}
	s.writers.write(platformtest.EndpointPrefix+string(e.id), value)
}

// leave removes the oldest endpoint that join added, if there is one. It goes on serving, so that requests to it are seen.
func (s *setBackSoak) leave() {
	s.mu.Lock()
	if s.left == len(s.endpoints) {
		s.mu.Unlock()
		return
	}
	e := s.endpoints[s.left]
	s.left++
	s.mu.Unlock()
	s.writers.write(platformtest.EndpointPrefix+string(e.id), nil)
}

func (s *setBackSoak) play(ctx context.Context, e episode) {
	if e.faults != (storeFaults{}) {
		s.callers.disturb()
		s.setAll(e.faults)
	}
	last := len(e.before) - 1
	s.change(ctx, e.before[:last])
	for range e.heartbeats {
		s.p.store.Change(platformtest.EndpointPrefix+"i-0", func(value []byte) []byte { return value })
	}
	s.change(ctx, e.before[last:])
	s.callers.disturb()
	changes := sync.WaitGroup{}
	changes.Go(func() { s.change(ctx, e.after) })
	for i, r := range e.returns {
		back := s.away(r.cut)
		<-time.After(r.away)
		lost := s.writers.setBack(s.copyOf(r.age))
		back()
		random := rand.New(rand.NewPCG(uint64(r.age), uint64(i)))
		changes.Go(func() { s.writers.writeAgain(ctx, random, lost, r.late) })
	}
	changes.Wait()
	if e.faults.late > 0 {
		<-time.After(maxLateness)
	}
	s.setAll(storeFaults{})
	s.callers.calm()
	s.change(ctx, e.last)
}

// checkSettled checks, after an episode, that all hosts serve by the newest configuration in time and use no endpoint that is gone.
func (s *setBackSoak) checkSettled() {
	s.t.Helper()
	newest, from := s.writers.newest(), time.Now()
	limit := from.Add(setBackStable + setBackCatchUp)
	for i, h := range s.hosts {
		waitFor(s.t, time.Until(limit), fmt.Sprintf("host %d to serve by version %d", i, newest.version), func() bool {
			second := h.request("/look/x", "k2") == http.StatusOK
			return h.request(extraRoute(newest.version), "") == http.StatusOK && h.request("/look/x", "k1") == http.StatusOK && second == newest.second
		})
	}
	<-time.After(time.Until(from.Add(setBackStable + endpointDrain + time.Second)))
	s.checkEndpoints(from)
}

// checkEndpoints checks endpoints that are gone, once the store has been stable since the time from.
func (s *setBackSoak) checkEndpoints(from time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range s.endpoints {
		at, gone := s.writers.removed(platformtest.EndpointPrefix + string(e.id))
		if !gone {
			continue
		}
		if stable := from.Add(setBackStable); at.Before(stable) {
			at = stable
		}
		if last := e.lastRequest(); last.After(at.Add(endpointDrain)) {
			s.fail("a request reached %s at %s, which was gone at %s", e.id, last.Format("05.000"), at.Format("05.000"))
		}
	}
}

// TestStoreComesBackAtRandomMoments plays seeds; WINCH_TEST_SEEDS and WINCH_TEST_FIRST_SEED choose them, WINCH_TEST_HOSTS and
// WINCH_TEST_SECONDS the size. A seed draws all that is played, but does not repeat a run, since processes run on real clocks.
func TestStoreComesBackAtRandomMoments(t *testing.T) {
	t.Parallel()
	hosts := numberFromEnv(t, dutyHostsEnv, 4)
	episodes := max(1, numberFromEnv(t, dutySecondsEnv, 10)/int(episodeTime.Seconds()))
	for seed := range seedRange(t, 8, 2) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			t.Parallel()
			s := &setBackSoak{setBack: newSetBack(t, uint64(seed), hosts)}
			defer s.assertKept()
			if seed%2 == 1 {
				s.p.store.TellEra()
			}
			ctx := s.start()
			copies, stop := context.WithCancel(ctx)
			s.group.Go(func() { s.takeCopies(copies) })
			defer s.group.Wait()
			defer stop()
			s.awaitReports(1)
			for i, e := range drawEpisodes(uint64(seed), episodes, hosts) {
				t.Logf("episode %d: %s", i, e)
				s.play(ctx, e)
				s.checkSettled()
			}
			s.awaitReports(1)
		})
	}
}

// String describes what is played.
func (e episode) String() string {
	described := &strings.Builder{}
	for _, r := range e.returns {
		fmt.Fprintf(described, "back after %s from a copy of %s, cut %t, written again within %s; ", r.away, r.age, r.cut, r.late)
	}
	fmt.Fprintf(described, "faults %+v; %d changes and %d heartbeats before, %d changes after", e.faults, len(e.before), e.heartbeats, len(e.after))
	return described.String()
}

// TestSeedDrawsTheSameEpisodes guards against default seeds that play something else each time.
func TestSeedDrawsTheSameEpisodes(t *testing.T) {
	t.Parallel()
	assert.Assert(t, reflect.DeepEqual(drawEpisodes(7, 5, 4), drawEpisodes(7, 5, 4)))
}
