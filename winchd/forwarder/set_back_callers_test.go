package forwarder

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"testing"
	"time"
)

const (
	// setBackStable is the time without disruption from which the bounds of a configuration hold.
	setBackStable = 3 * time.Second
	// setBackRollback is the time after which a host must not handle requests as an older configuration says than it did before.
	setBackRollback = 250 * time.Millisecond
)

// violation is what callers saw of one kind of fault.
type violation struct {
	count       int
	first, last string
}

// callerView is what callers know of a host.
type callerView struct {
	// incarnation is the number of starts of the host.
	incarnation int
	down        bool
	// inTouchFrom is when the host was started last.
	inTouchFrom time.Time
	// shown is the newest version of the configuration whose effect they saw in the present incarnation, since shownAt.
	shown   int
	shownAt time.Time
}

// callerWatch sends requests and checks by which configuration they are handled. It is safe for concurrent use.
type callerWatch struct {
	writers *entryWriters
	hosts   []*dutyHost

	mu    sync.Mutex
	views []callerView
	// disturbed is set while the store is away, slow or loses answers, and returned is when it was last.
	disturbed  bool
	returned   time.Time
	violations map[string]*violation
	served     int
}

func newCallerWatch(writers *entryWriters, hosts []*dutyHost) *callerWatch {
	return &callerWatch{writers: writers, hosts: hosts, views: make([]callerView, len(hosts)), violations: map[string]*violation{}}
}

// disturb records that the store is away, slow or loses answers from now on, when bounds of time do not hold.
func (c *callerWatch) disturb() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.disturbed = true
}

// calm records that the store was disturbed until now.
func (c *callerWatch) calm() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.disturbed, c.returned = false, time.Now()
}

// begin and end surround a restart of a host.
func (c *callerWatch) begin(host int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.views[host] = callerView{incarnation: c.views[host].incarnation + 1, down: true}
}

func (c *callerWatch) end(host int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.views[host].down, c.views[host].inTouchFrom = false, time.Now()
}

// run sends requests to a host until ctx is done.
func (c *callerWatch) run(ctx context.Context, random *rand.Rand, host int) {
	for ctx.Err() == nil {
		c.check(c.send(host, random.IntN(4)))
		wait(ctx, random, 60*time.Millisecond)
	}
}

// observation is a request, with what held before and after it.
type observation struct {
	host          int
	path, key     string
	sent          time.Time
	status        int
	before, after callerView
	// newest and newestAfter are the newest configuration before and after it.
	newest, newestAfter writtenConfiguration
	returned            time.Time
	disturbed           bool
}

func (o observation) String() string {
	return fmt.Sprintf("%s GET %s key %q at h-%02d answered %d; version %d was acknowledged at %s, the store was back at %s",
		o.sent.Format("05.000"), o.path, o.key, o.host, o.status, o.newest.version, o.newest.acknowledged.Format("05.000"), o.returned.Format("05.000"))
}

func extraRoute(version int) string { return fmt.Sprintf("/extra-%d-0/x", version) }

func (c *callerWatch) send(host, kind int) observation {
	o := observation{host: host, newest: c.writers.newest()}
	o.path, o.key = "/look/x", "k1"
	switch kind {
	case 0:
		o.path, o.key = extraRoute(o.newest.version), ""
	case 1:
		o.path, o.key = extraRoute(o.newest.previous), ""
	case 2:
		o.key = "k2"
	}
	c.mu.Lock()
	o.before, o.returned, o.disturbed = c.views[host], c.returned, c.disturbed
	c.mu.Unlock()
	o.sent = time.Now()
	o.status = c.hosts[host].request(o.path, o.key)
	o.newestAfter = c.writers.newest()
	c.mu.Lock()
	o.after = c.views[host]
	c.mu.Unlock()
	return o
}

// refused reports whether the host refused the request as its configuration says.
func (o observation) refused() bool {
	return o.status == http.StatusUnauthorized || o.status == http.StatusForbidden || o.status == http.StatusNotFound
}

// bound reports whether the newest configuration had to be in force at the host when the request was sent.
func (o observation) bound() bool {
	if o.disturbed {
		return false
	}
	stable := o.returned
	if o.before.inTouchFrom.After(stable) {
		stable = o.before.inTouchFrom
	}
	return o.sent.After(stable.Add(setBackStable)) && o.sent.After(o.newest.acknowledged.Add(soakApply))
}

// shownBefore reports whether the host had shown the version some time before.
func (o observation) shownBefore(version int) bool {
	return o.before.shown >= version && o.sent.Sub(o.before.shownAt) > setBackRollback
}

// check checks the response to a request.
func (c *callerWatch) check(o observation) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if o.status == http.StatusOK {
		c.served++
	}
	if o.key == "k1" && o.refused() {
		c.add("refused although all configurations allow it", o)
	}
	if o.newest != o.newestAfter {
		return
	}
	if o.key == "k2" && !o.newest.second && o.status == http.StatusOK && o.sent.Sub(o.newest.acknowledged) > soakRevoke {
		c.add("run with a key that was withdrawn", o)
	}
	if o.before != o.after && (o.before.incarnation != o.after.incarnation || o.after.down) || o.before.down {
		return
	}
	c.checkVersion(o)
}

// checkVersion checks a request whose host has been up all the while, and that no write of a configuration crossed.
func (c *callerWatch) checkVersion(o observation) {
	newest := o.newest
	added := o.path == extraRoute(newest.version) || o.key == "k2" && newest.second
	dropped := o.path == extraRoute(newest.previous) || o.key == "k2" && !newest.second
	switch {
	case added && o.refused() && o.bound():
		c.add("refused as only an older configuration allows", o)
	case added && o.refused() && o.shownBefore(newest.version):
		c.add("refused after the configuration that allows it was in force", o)
	case dropped && o.key == "" && o.status == http.StatusOK && o.bound():
		c.add("run by a route that was dropped", o)
	case dropped && o.status == http.StatusOK && o.shownBefore(newest.version):
		c.add("run after the configuration that drops it was in force", o)
	case o.path == extraRoute(newest.version) && o.status == http.StatusOK && c.views[o.host].shown < newest.version:
		c.views[o.host].shown, c.views[o.host].shownAt = newest.version, time.Now()
	}
}

// answered returns the number of requests that were served.
func (c *callerWatch) answered() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.served
}

func (c *callerWatch) add(kind string, o observation) {
	if c.violations[kind] == nil {
		c.violations[kind] = &violation{first: o.String()}
	}
	c.violations[kind].count++
	c.violations[kind].last = o.String()
}

func (c *callerWatch) assertKept(t *testing.T) {
	t.Helper()
	c.mu.Lock()
	defer c.mu.Unlock()
	for kind, v := range c.violations {
		t.Errorf("%s: %d cases, first %s; last %s", kind, v.count, v.first, v.last)
	}
}
