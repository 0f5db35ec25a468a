package ratelimit

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/arbutuswinch/winch"
)

const window = 4 * time.Second

var start = time.Unix(1000, 0)

// allowed is the most that the users' platform lets an endpoint get in a window.
func allowed(rate winch.RequestRate) int { return int(1.5*float64(rate)*window.Seconds()) + 5 }

func limited(rate winch.RequestRate) winch.RateWord {
	return winch.RateWord{Known: true, Limited: true, Rate: rate}
}

var unlimited = winch.RateWord{Known: true}

func hostNames(count int) []winch.HostID {
	hosts := make([]winch.HostID, 0, count)
	for i := range count {
		hosts = append(hosts, winch.HostID(fmt.Sprintf("h-%d", i)))
	}
	return hosts
}

// fleet is the limits of one endpoint at several hosts.
type fleet struct {
	hosts  []winch.HostID
	limits []Limit
	sent   []time.Time
}

func newFleet(count int, rate winch.RequestRate) *fleet {
	f := &fleet{hosts: hostNames(count), limits: make([]Limit, count)}
	for i := range f.limits {
		f.limits[i].Hear(start, start, limited(rate))
		f.limits[i].Assign("e", f.hosts[i], f.hosts)
	}
	return f
}

// send lets each of the hosts send as often as it may, from one time to another.
func (f *fleet) send(from, to time.Time, each func(now time.Time, host int) bool) {
	for now := from; now.Before(to); now = now.Add(10 * time.Millisecond) {
		for i := range f.limits {
			if each(now, i) && f.limits[i].Ready(now) {
				f.limits[i].Sent(now)
				f.sent = append(f.sent, now)
			}
		}
	}
}

func (f *fleet) most() int {
	most := 0
	for i, from := range f.sent {
		count := 0
		for _, at := range f.sent[i:] {
			if at.Sub(from) < window {
				count++
			}
		}
		most = max(most, count)
	}
	return most
}

func always(time.Time, int) bool { return true }

func assertAllowed(t *testing.T, f *fleet, rate winch.RequestRate) {
	t.Helper()
	assert.Assert(t, f.most() <= allowed(rate), "%d in %s, %d allowed", f.most(), window, allowed(rate))
}

func TestHostsTogetherKeepTheRate(t *testing.T) {
	for _, hosts := range []int{1, 8, 83, 400} {
		for _, rate := range []winch.RequestRate{0, 0.3, 1, 1.4, 5, 30, 200} {
			t.Run(fmt.Sprintf("%d hosts, %g a second", hosts, float64(rate)), func(t *testing.T) {
				f := newFleet(hosts, rate)
				f.send(start, start.Add(20*time.Second), always)
				assertAllowed(t, f, rate)
				assert.Assert(t, float64(len(f.sent)) >= 0.9*20*math.Min(float64(rate), 20*float64(hosts)), "%d sent: the rate is used", len(f.sent))
			})
		}
	}
}

func TestHostsKeepTheRateWhile(t *testing.T) {
	const rate = 1.0
	t.Run("requests come in bursts after pauses", func(t *testing.T) {
		f := newFleet(8, rate)
		f.send(start, start.Add(40*time.Second), func(now time.Time, _ int) bool { return now.Sub(start)%(7*time.Second) > 6*time.Second })
		assertAllowed(t, f, rate)
	})
	t.Run("hosts that were not chosen learn late of those that left", func(t *testing.T) {
		f := newFleet(8, rate)
		f.send(start, start.Add(10*time.Second), always)
		for i := range f.limits {
			// Half of the hosts no longer see three of the others.
			if i%2 == 0 {
				f.limits[i].Assign("e", f.hosts[i], f.hosts[3:])
			}
		}
		f.send(start.Add(10*time.Second), start.Add(20*time.Second), always)
		assertAllowed(t, f, rate)
	})
	t.Run("the rate falls", func(t *testing.T) {
		f := newFleet(8, 6)
		f.send(start, start.Add(10*time.Second), always)
		f.sent = nil
		for i := range f.limits {
			f.limits[i].Hear(start.Add(10*time.Second), start.Add(10*time.Second), limited(rate))
			f.limits[i].Assign("e", f.hosts[i], f.hosts)
		}
		f.send(start.Add(10*time.Second), start.Add(20*time.Second), always)
		assertAllowed(t, f, rate)
	})
	t.Run("members come and go", func(t *testing.T) {
		random, f := rand.New(rand.NewPCG(1, 2)), newFleet(20, rate)
		for second := range 60 {
			now := start.Add(time.Duration(second) * time.Second)
			if second%8 == 0 {
				// One host more or less in eight seconds, seen by each host at another time.
				gone := random.IntN(len(f.hosts))
				for i := range f.limits {
					f.limits[i].Assign("e", f.hosts[i], append(append([]winch.HostID{}, f.hosts[:gone]...), f.hosts[gone+1:]...))
				}
			}
			f.send(now, now.Add(time.Second), always)
		}
		assertAllowed(t, f, rate)
	})
}

func TestLimitEnds(t *testing.T) {
	limit := Limit{}
	assert.Assert(t, limit.Ready(start) && limit.Wait(start) == 0)
	assert.Assert(t, limit.Hear(start, start, limited(0)))
	limit.Assign("e", "h", []winch.HostID{"h"})
	limit.Sent(start)
	t.Run("not with an answer to a request that was sent before", func(t *testing.T) {
		assert.Assert(t, !limit.Hear(start.Add(time.Second), start.Add(-time.Second), unlimited))
		assert.Assert(t, !limit.Ready(start.Add(time.Second)))
	})
	t.Run("not with an answer that cannot be read", func(t *testing.T) {
		assert.Assert(t, !limit.Hear(start.Add(time.Second), start.Add(time.Second), winch.RateWord{}))
	})
	t.Run("a rate of zero is tried now and then", func(t *testing.T) {
		assert.Assert(t, limit.Wait(start) > 0 && limit.Wait(start) <= 10*time.Second)
		assert.Assert(t, limit.Ready(start.Add(10*time.Second)))
	})
	t.Run("with an answer that names none", func(t *testing.T) {
		assert.Assert(t, limit.Hear(start.Add(11*time.Second), start.Add(10*time.Second), unlimited))
		assert.Assert(t, limit.Ready(start.Add(11*time.Second)))
		all, own := limit.Rate()
		assert.Assert(t, all == 0 && own == 0)
	})
}

func TestHostsTellEachOther(t *testing.T) {
	heard, told := Limit{}, Limit{}
	_, found := heard.Tell(start)
	assert.Assert(t, !found)
	heard.Hear(start, start, limited(2))
	word, found := heard.Tell(start)
	assert.Assert(t, found && told.Merge(word) && told.Limited())
	t.Run("once", func(t *testing.T) {
		assert.Assert(t, !told.Merge(word))
	})
	t.Run("an older word does not bring back what has ended", func(t *testing.T) {
		assert.Assert(t, heard.Hear(start.Add(2*time.Second), start.Add(time.Second), unlimited))
		assert.Assert(t, !heard.Merge(Told{Word: limited(2), SaidAt: start.Add(2*time.Second + clockTolerance)}))
	})
	t.Run("the end is told as well", func(t *testing.T) {
		ended, found := heard.Tell(start.Add(3 * time.Second))
		assert.Assert(t, found && told.Merge(ended) && !told.Limited())
		_, found = heard.Tell(start.Add(2*time.Second + endedKept + 1))
		assert.Assert(t, !found)
	})
	t.Run("a host that sends nothing says when another one may", func(t *testing.T) {
		limit := Limit{}
		limit.Hear(start, start, limited(1))
		for _, self := range hostNames(8) {
			limit.Assign("e", self, hostNames(8))
			if _, own := limit.Rate(); own == 0 {
				assert.Equal(t, limit.Wait(start), othersWait)
			}
		}
	})
}
