package forwarder

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/arbutuswinch/winch"
	"github.com/arbutuswinch/winch/internal/linktest"
	"github.com/arbutuswinch/winch/platform/platformtest"
	"github.com/arbutuswinch/winch/platform/wire"
)

const (
	// partitionStable is the time after the beginning of a cut from which hosts that are cut off must serve.
	partitionStable = 3 * time.Second
	// partitionTime is the length of a cut.
	partitionTime = 8 * time.Second
	// partitionPace is the time between two requests of one kind at a host.
	partitionPace = 160 * time.Millisecond
	// partitionDeadline is the deadline of all requests.
	partitionDeadline = 2 * time.Second
	// partitionFailures and partitionFailureShare bound the first tries that may fail at the hosts that are cut off, beside a share of all.
	partitionFailures     = 10
	partitionFailureShare = 1.0 / 50
	// partitionServedShare is how often first tries at these hosts are served as compared with those at the others.
	partitionServedShare = 2.0 / 3
)

// firstTry is a request of a caller that sends each request once.
type firstTry struct {
	id, route string
	host      int
	sentAt    time.Time
	status    int
	// whole is set if the response was complete.
	whole bool
	// took is the time until the end of the response.
	took time.Duration
	// reason is that of the host for a response of its own.
	reason string
}

func (f *firstTry) served() bool { return f.status == http.StatusOK && f.whole }

// partitionPlay plays callers at hosts of which some are cut off from endpoints.
type partitionPlay struct {
	t         *testing.T
	p         *simulatedPlatform
	links     *partition
	endpoints []*countedEndpoint
	hosts     []*hostProcess

	mu    sync.Mutex
	tries []*firstTry
}

// newPartitionPlay starts hosts in the data centres a and b in turn, four engines and three plain services.
func newPartitionPlay(t *testing.T, hosts int) *partitionPlay {
	t.Helper()
	const engines, desks, deskSlots = 4, 3, 6
	play := &partitionPlay{t: t, p: &simulatedPlatform{t: t, store: platformtest.NewStore(), apply: 2 * time.Second}, links: newPartition(t)}
	play.p.partition = play.links
	play.p.storeLink = linktest.New(t, serve(t, play.p.store))
	play.p.store.Set(platformtest.ConfigurationKey, platformtest.Soak{Version: 1, UrgentLook: true}.Encode())
	for i := range engines {
		play.addEngine(winch.EndpointID(fmt.Sprintf("e-%d", i)))
	}
	for i := range desks {
		id := winch.EndpointID(fmt.Sprintf("desk-%d", i))
		assert.NilError(t, play.p.store.Register(id, "desk", "a", play.addEndpoint(id), deskSlots))
	}
	for i := range hosts {
		play.p.zone = []string{"a", "b"}[i%2]
		play.hosts = append(play.hosts, play.p.newHost(fmt.Sprintf("h-%d", i)))
	}
	for _, h := range play.hosts {
		waitFor(t, startLimit, "the host to serve", func() bool { return h.isReady() && h.request("/look/x", "k1") == http.StatusOK })
	}
	return play
}

// addEndpoint returns the address of a new endpoint, which hosts reach over links of their own.
func (p *partitionPlay) addEndpoint(id winch.EndpointID) string {
	p.t.Helper()
	e := &countedEndpoint{id: id, runs: map[string]int{}}
	p.endpoints = append(p.endpoints, e)
	return p.links.addEndpoint(serve(p.t, e))
}

func (p *partitionPlay) addEngine(id winch.EndpointID) {
	p.t.Helper()
	entry, err := json.Marshal(map[string]any{
		"service": "pool", "address": p.addEndpoint(id), "zone": "a", "slots": 32, "state": "ready", "models": []map[string]any{{"name": "m"}},
		"born": time.Now().UnixMilli(), "version": "v1",
	})
	assert.NilError(p.t, err)
	p.p.store.Set(platformtest.EndpointPrefix+string(id), entry)
}

// call sends requests of each kind to each host until ctx is done, and waits for what becomes of them.
func (p *partitionPlay) call(ctx context.Context) {
	group := sync.WaitGroup{}
	for i := range p.hosts {
		for _, route := range []string{"draft", "hold", "look", "open"} {
			group.Go(func() {
				pace := time.NewTicker(partitionPace)
				defer pace.Stop()
				for ctx.Err() == nil {
					group.Go(func() { p.try(i, route) })
					<-pace.C
				}
			})
		}
	}
	group.Wait()
}

func (p *partitionPlay) try(host int, route string) {
	try := &firstTry{id: fmt.Sprintf("%016x", p.p.requests.Add(1)), route: route, host: host, sentAt: time.Now()}
	ctx, cancel := context.WithTimeout(context.Background(), partitionDeadline)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+p.hosts[host].caller+"/"+route+"/x", strings.NewReader("{}"))
	if err != nil {
		p.t.Error(err)
		return
	}
	request.Host = "a.example"
	for name, value := range map[string]string{
		wire.RequestID: try.id, wire.Deadline: strconv.FormatInt(partitionDeadline.Milliseconds(), 10), wire.Authorization: wire.BearerScheme + " k1",
	} {
		request.Header.Set(name, value)
	}
	if route == "draft" {
		request.Header.Set(wire.Tokens, "300,8")
		request.Header.Set(wire.PromptParts, "aa:200,"+try.id+":100")
	}
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	if response, err := client.Do(request); err == nil {
		try.status = response.StatusCode
		body, err := io.ReadAll(response.Body)
		_ = response.Body.Close()
		try.whole = err == nil && (route != "draft" || strings.Contains(string(body), fmt.Sprintf("id: %d\n", partitionEvents)))
		if try.status != http.StatusOK {
			try.reason, _, _ = strings.Cut(string(body), ":")
		}
	}
	try.took = time.Since(try.sentAt)
	p.mu.Lock()
	p.tries = append(p.tries, try)
	p.mu.Unlock()
}

// play lets callers send requests before, while and after disturb cuts off hosts. It returns when disturb began and ended.
func (p *partitionPlay) play(disturb func()) (began, ended time.Time) {
	p.t.Helper()
	const before, after = 2 * time.Second, time.Second
	ctx, cancel := context.WithCancel(p.t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		p.call(ctx)
	}()
	<-time.After(before)
	began = time.Now()
	disturb()
	ended = time.Now()
	<-time.After(after)
	cancel()
	<-done
	return began, ended
}

// tryCounts counts first tries and those that were served.
type tryCounts struct {
	sent, served int
	failed       map[string]int
}

func (c *tryCounts) add(try *firstTry) {
	c.sent++
	if try.served() {
		c.served++
		return
	}
	if c.failed == nil {
		c.failed = map[string]int{}
	}
	c.failed[fmt.Sprintf("%s %d %s", try.route, try.status, try.reason)]++
}

// counts returns the first tries from one time to another at the hosts that are cut off, and at the others.
func (p *partitionPlay) counts(from, to time.Time, cutOff []int) (cut, others tryCounts) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, try := range p.tries {
		if try.sentAt.Before(from) || !try.sentAt.Before(to) {
			continue
		}
		if slices.Contains(cutOff, try.host) {
			cut.add(try)
		} else {
			others.add(try)
		}
	}
	return cut, others
}

// assertRecovered checks the first tries from partitionStable after the beginning on: those at the hosts that are cut off fare about as
// well as the others, or few fail.
func (p *partitionPlay) assertRecovered(began, ended time.Time, cutOff []int) {
	p.t.Helper()
	cut, others := p.counts(began.Add(partitionStable), ended, cutOff)
	p.t.Logf("cut off: %d of %d served, failed %v; others: %d of %d served, failed %v", cut.served, cut.sent, cut.failed, others.served, others.sent, others.failed)
	assert.Assert(p.t, cut.sent > 50 && others.sent > 50, "nothing was tested")
	asOften := float64(cut.served)/float64(cut.sent) >= partitionServedShare*float64(others.served)/float64(others.sent)
	fewFail := float64(cut.sent-cut.served) <= partitionFailures+partitionFailureShare*float64(cut.sent+others.sent)
	assert.Check(p.t, asOften || fewFail, "hosts that are cut off served %d of %d first tries, the others %d of %d", cut.served, cut.sent, others.served, others.sent)
}

// assertTruthful checks that no request ran of which the host said that it had not run, and that none ran twice that must not.
func (p *partitionPlay) assertTruthful() {
	p.t.Helper()
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, try := range p.tries {
		runs := 0
		for _, e := range p.endpoints {
			runs += e.runsOf(try.id)
		}
		assert.Check(p.t, !promisesNotRun(try.status) || runs == 0, "%s %s: answered %d, run %d times", try.id, try.route, try.status, runs)
		assert.Check(p.t, try.route != "hold" || runs <= 1, "%s: run %d times", try.id, runs)
	}
}

// cutFor cuts the hosts off from the endpoints behind the links.
func (p *partitionPlay) cutFor(length time.Duration, hosts []int, links []*linktest.Shared, kind cutKind) {
	p.t.Helper()
	for _, i := range hosts {
		p.links.cut(p.hosts[i], links, kind)
	}
	<-time.After(length)
	for _, i := range hosts {
		p.links.heal(p.hosts[i])
	}
}

// TestHostsCutOffFromEndpointsServe guards against hosts whose callers are refused because they have lost their own links to endpoints.
func TestHostsCutOffFromEndpointsServe(t *testing.T) {
	cases := []struct {
		name   string
		cutOff []int
		kind   cutKind
		// part is the share of the endpoints from which the hosts are cut off.
		part float64
		// flaps is the number of cuts.
		flaps int
	}{
		{name: "connections hang", cutOff: []int{0, 1, 3}, kind: cutHangs, part: 1, flaps: 1},
		{name: "connections are reset", cutOff: []int{0, 1, 3}, kind: cutResets, part: 1, flaps: 1},
		{name: "open connections live on", cutOff: []int{0, 1, 3}, kind: cutLivesOn, part: 1, flaps: 1},
		{name: "a whole data centre", cutOff: []int{1, 3, 5}, kind: cutHangs, part: 1, flaps: 1},
		{name: "some endpoints", cutOff: []int{0, 1, 3}, kind: cutHangs, part: 0.5, flaps: 1},
		{name: "the cut flaps", cutOff: []int{0, 1, 3}, kind: cutHangs, part: 1, flaps: 5},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			play := newPartitionPlay(t, 6)
			links := play.links.links
			if c.part < 1 {
				links = everyOther(links)
			}
			began, ended := play.play(func() {
				for i := range c.flaps {
					if i > 0 {
						<-time.After(partitionTime / 40)
					}
					play.cutFor(partitionTime/time.Duration(c.flaps), c.cutOff, links, c.kind)
				}
			})
			play.assertRecovered(began, ended, c.cutOff)
			play.assertTruthful()
		})
	}
}

func everyOther(links []*linktest.Shared) []*linktest.Shared {
	var chosen []*linktest.Shared
	for i := 0; i < len(links); i += 2 {
		chosen = append(chosen, links[i])
	}
	return chosen
}

// TestHostsServeWhileOthersAreCutOffFromEndpoints guards against hosts that leave free slots to others which cannot use them.
func TestHostsServeWhileOthersAreCutOffFromEndpoints(t *testing.T) {
	cutOff := []int{0, 1, 3}
	play := newPartitionPlay(t, 6)
	began, ended := play.play(func() { play.cutFor(partitionTime, cutOff, play.links.links, cutHangs) })
	_, others := play.counts(began, ended, cutOff)
	assert.Check(t, 100*others.served >= 95*others.sent, "%d of %d served, failed %v", others.served, others.sent, others.failed)
	play.assertTruthful()
}
