package tunnel

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/arbutuswinch/winch"
)

const (
	// maxAsked is the number of hosts that are asked for one tunnel. Hosts that are cut off refuse at once.
	maxAsked = 4
	// enoughNotReached is the number of hosts that do not reach an endpoint after which the endpoint itself is taken to be at fault.
	enoughNotReached = 2
	// avoidFor is how long a host that has opened no tunnel is asked only after the others.
	avoidFor = 2 * time.Second
)

// relays chooses the hosts that are asked for tunnels. It is safe for concurrent use.
type relays struct {
	membership winch.Membership

	mu sync.Mutex
	// avoided holds the hosts that have opened no tunnel, and when that was.
	avoided map[winch.HostID]time.Time
}

func newRelays(membership winch.Membership) *relays {
	return &relays{membership: membership, avoided: map[winch.HostID]time.Time{}}
}

// choose returns hosts in the order in which they are asked. It is random, so that the load of a host that is cut off spreads over the others.
func (r *relays) choose(now time.Time) []winch.Host {
	self := r.membership.Self()
	var preferred, avoided []winch.Host
	r.mu.Lock()
	for _, host := range r.membership.Hosts(now, self.DataCentre) {
		since, found := r.avoided[host.ID]
		switch {
		case host.ID == self.ID || host.Leaving:
		case found && now.Sub(since) < avoidFor:
			avoided = append(avoided, host)
		default:
			delete(r.avoided, host.ID)
			preferred = append(preferred, host)
		}
	}
	r.mu.Unlock()
	shuffle(preferred)
	shuffle(avoided)
	hosts := append(preferred, avoided...)
	return hosts[:min(maxAsked, len(hosts))]
}

func shuffle(hosts []winch.Host) {
	rand.Shuffle(len(hosts), func(i, j int) { hosts[i], hosts[j] = hosts[j], hosts[i] })
}

// avoid records that the host has opened no tunnel.
func (r *relays) avoid(now time.Time, host winch.HostID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.avoided[host] = now
}
