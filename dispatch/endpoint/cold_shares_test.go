package endpoint

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/arbutuswinch/winch"
	"github.com/arbutuswinch/winch/dispatch/ratelimit"
)

// shareHost is a host that shares the rate of one cold endpoint with others. It always has requests.
type shareHost struct {
	id        winch.HostID
	startedAt time.Time
	// side is that of a partition on which the host is.
	side  int
	dead  bool
	known knownHosts
	share ratelimit.Share
	set   sharedRate
	phase time.Duration
}

// shareFleet simulates hosts that learn of each other late.
type shareFleet struct {
	now   time.Time
	rate  winch.RequestRate
	hosts []*shareHost
	// seen holds what the hosts learn when, by the time at which it was so.
	seen []shareView
	sent []time.Time
	// cold is set once the endpoint is known to be cold.
	cold bool
}

type shareView struct {
	at    time.Time
	alive map[winch.HostID]int
}

const (
	shareStep = 20 * time.Millisecond
	// shareDelay is after how long hosts know of each other's state.
	shareDelay = 500 * time.Millisecond
)

func newShareFleet(hosts int, rate winch.RequestRate) *shareFleet {
	f := &shareFleet{now: time.Unix(1000, 0), rate: rate}
	for range hosts {
		f.join(0)
	}
	f.run(aloneTime + 2*time.Second)
	f.cold = true
	return f
}

func (f *shareFleet) join(side int) {
	i := len(f.hosts)
	f.hosts = append(f.hosts, &shareHost{
		id: winch.HostID(fmt.Sprintf("h%03d", i)), startedAt: f.now, side: side, phase: time.Duration(i*37%50) * shareStep,
	})
}

// run lets the hosts send for the given time.
func (f *shareFleet) run(length time.Duration) {
	for end := f.now.Add(length); f.now.Before(end); f.now = f.now.Add(shareStep) {
		view := shareView{at: f.now, alive: map[winch.HostID]int{}}
		for _, h := range f.hosts {
			if !h.dead {
				view.alive[h.id] = h.side
			}
		}
		f.seen = append(f.seen, view)
		for f.now.Sub(f.seen[0].at) > shareDelay {
			f.seen = f.seen[1:]
		}
		for _, h := range f.hosts {
			if !h.dead {
				f.step(h)
			}
		}
	}
}

func (f *shareFleet) step(h *shareHost) {
	if since := f.now.Sub(h.startedAt); since == 0 || (since+h.phase)%hostsInterval == 0 {
		alive := []winch.Host{{ID: h.id}}
		for _, other := range f.hosts {
			if side, found := f.seen[0].alive[other.id]; found && side == h.side && other != h && since > shareDelay {
				alive = append(alive, winch.Host{ID: other.id})
			}
		}
		h.known.update(f.now, h.id, alive)
	}
	if !f.cold {
		h.share.Sent(f.now)
		return
	}
	if set := (sharedRate{rate: f.rate, version: h.known.sharingVersion(f.now)}); set != h.set {
		h.set = set
		hosts := h.known.ids
		if !h.known.settled(f.now) {
			hosts = nil
		}
		h.share.Set(f.rate, "e", h.id, hosts)
	}
	if h.share.Ready(f.now) {
		h.share.Sent(f.now)
		f.sent = append(f.sent, f.now)
	}
}

// mostInASecond returns the most requests that the endpoint got in any second.
func (f *shareFleet) mostInASecond() int {
	most, first := 0, 0
	for i, at := range f.sent {
		for at.Sub(f.sent[first]) >= time.Second {
			first++
		}
		most = max(most, i+1-first)
	}
	return most
}

// allowedInASecond is the rule of the users' platform.
func allowedInASecond(rate winch.RequestRate) int { return int(1.5*float64(rate) + 5) }

func (f *shareFleet) assertAllowed(t assert.TestingT) {
	most := f.mostInASecond()
	assert.Assert(t, most <= allowedInASecond(f.rate), "%d in a second, %d allowed", most, allowedInASecond(f.rate))
}

// TestColdShareIsKeptWhenHosts guards against hosts that take over the parts of others which may still send.
func TestColdShareIsKeptWhenHosts(t *testing.T) {
	t.Run("crash, half of them between two parts", func(t *testing.T) {
		f := newShareFleet(77, 11)
		f.run(1100 * time.Millisecond)
		for i := range 38 {
			f.hosts[2*i].dead = true
		}
		f.run(30 * time.Second)
		f.assertAllowed(t)
		assert.Assert(t, len(f.sent) > 60, "%d sent: the others go on", len(f.sent))
	})
	t.Run("are cut off, each for itself", func(t *testing.T) {
		f := newShareFleet(77, 11)
		for i, h := range f.hosts {
			h.side = i
		}
		f.run(30 * time.Second)
		f.assertAllowed(t)
	})
	t.Run("are cut off with a part, and stay so", func(t *testing.T) {
		f := newShareFleet(77, 11)
		for _, h := range f.hosts {
			if _, own := h.share.Rate(); own > 0 {
				h.side = 1
			}
		}
		f.run(90 * time.Second)
		f.assertAllowed(t)
	})
	t.Run("start, all at once", func(t *testing.T) {
		f := newShareFleet(0, 11)
		for range 77 {
			f.join(0)
		}
		f.run(20 * time.Second)
		f.assertAllowed(t)
		assert.Assert(t, len(f.sent) > 100)
	})
	t.Run("start again with the same names", func(t *testing.T) {
		f := newShareFleet(77, 11)
		f.run(time.Second)
		for _, h := range f.hosts[:40] {
			h.startedAt, h.known, h.share, h.set = f.now, knownHosts{}, ratelimit.Share{}, sharedRate{}
		}
		f.run(10 * time.Second)
		f.assertAllowed(t)
	})
}

// TestColdShareWithoutItsGuards shows that the guards are needed.
func TestColdShareWithoutItsGuards(t *testing.T) {
	t.Run("hosts that count only those that are alive", func(t *testing.T) {
		f := newShareFleet(77, 11)
		for i, h := range f.hosts {
			h.side = i
		}
		f.run(time.Second)
		for _, h := range f.hosts {
			h.known.heardAt, h.known.ids = nil, []winch.HostID{h.id}
			h.known.version++
		}
		f.run(time.Second)
		assert.Assert(t, f.mostInASecond() > allowedInASecond(f.rate))
	})
	t.Run("hosts that send as soon as they start", func(t *testing.T) {
		f := newShareFleet(0, 11)
		for range 77 {
			f.join(0)
		}
		f.run(shareStep)
		for _, h := range f.hosts {
			h.known.startedAt = h.known.startedAt.Add(-aloneTime)
		}
		f.run(time.Second)
		assert.Assert(t, f.mostInASecond() > allowedInASecond(f.rate))
	})
}

// TestColdShareIsKept draws fleets whose hosts join, die and are cut off. While hosts are cut off, at most a tenth of them joins: each
// host that joins may take over the part of one that does not know of it.
func TestColdShareIsKept(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		hosts := rapid.IntRange(1, 80).Draw(t, "hosts")
		f := newShareFleet(hosts, winch.RequestRate(rapid.Float64Range(0.5, 40).Draw(t, "rate")))
		partitioned, joined := false, 0
		for range rapid.IntRange(1, 8).Draw(t, "events") {
			some := rapid.SliceOfN(rapid.IntRange(0, len(f.hosts)-1), 0, len(f.hosts)).Draw(t, "some")
			switch rapid.SampledFrom([]string{"join", "die", "cut", "mend"}).Draw(t, "event") {
			case "join":
				for range some {
					if joined++; !partitioned || joined <= hosts/10 {
						f.join(0)
					}
				}
			case "die":
				for _, i := range some {
					f.hosts[i].dead = true
				}
			case "cut":
				if !partitioned {
					joined = 0
				}
				partitioned = true
				for n, i := range some {
					f.hosts[i].side = 1 + n%3
				}
			case "mend":
				partitioned = false
				for _, h := range f.hosts {
					h.side = 0
				}
				f.run(joinTime)
			}
			f.run(time.Duration(rapid.IntRange(0, 200).Draw(t, "steps")) * shareStep)
		}
		f.assertAllowed(t)
	})
}
