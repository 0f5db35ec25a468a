package tunnel

import (
	"sync"
	"time"

	"github.com/arbutuswinch/winch"
)

const (
	// directEvery is the interval at which a direct connection is tried to an endpoint that is reached through other hosts.
	directEvery = time.Second
	// tunnelPause is how long no tunnel to an endpoint is tried after other hosts have not reached it either.
	tunnelPause = time.Second
	// recent is the age up to which the result of a direct connection says whether this host is cut off.
	recent = 3 * time.Second
	// wary is how long after a cut a tunnel is tried beside each direct connection. The cut may come back.
	wary = 10 * time.Second
	// minLost is the number of endpoints that a host that is cut off has failed to reach. A single one may be at fault itself.
	minLost = 2
	// minSuccesses is the number of direct connections in a row that end a detour. A link that flaps lets one through now and then.
	minSuccesses = 2
	// minLosses is the number of direct connections to an endpoint that have failed in a row before a tunnel is tried by a host that
	// reaches most endpoints. One fails whenever an endpoint ends or starts.
	minLosses = 2
)

// plan says how to connect to an endpoint. If both ways are tried, the first connection is used.
type plan struct{ direct, tunnel bool }

// path is what is known of the way to an endpoint.
type path struct {
	// reachedAt and lostAt are when a direct connection was opened last, and when one failed.
	reachedAt, lostAt time.Time
	// losses is the number of direct connections that have failed since one was opened, and successes that of those opened since one failed.
	losses, successes int
	// detour is set while the endpoint is reached through other hosts.
	detour bool
	// directAt is when a direct connection is tried again during a detour.
	directAt time.Time
	// noTunnelUntil is when a tunnel may be tried again.
	noTunnelUntil time.Time
}

// lost reports whether the last direct connection has failed.
func (p *path) lost() bool { return p.lostAt.After(p.reachedAt) }

// paths decides how to connect to each endpoint. It does no I/O and is safe for concurrent use.
type paths struct {
	mu         sync.Mutex
	byEndpoint map[winch.EndpointID]*path
	// lostAt is when a direct connection to any endpoint failed last, and cutOffAt when this host was last found to be cut off.
	lostAt, cutOffAt time.Time
}

func newPaths() *paths { return &paths{byEndpoint: map[winch.EndpointID]*path{}} }

// path is called with the lock.
func (p *paths) path(endpoint winch.EndpointID) *path {
	known := p.byEndpoint[endpoint]
	if known == nil {
		known = &path{}
		p.byEndpoint[endpoint] = known
	}
	return known
}

// plan returns how to connect to the endpoint now.
func (p *paths) plan(now time.Time, endpoint winch.EndpointID) plan {
	p.mu.Lock()
	defer p.mu.Unlock()
	known := p.path(endpoint)
	switch {
	case now.Before(known.noTunnelUntil):
		return plan{direct: true}
	case !known.detour && !p.cutOff(now):
		return plan{direct: true, tunnel: now.Sub(p.cutOffAt) <= wary || known.losses >= minLosses && now.Sub(known.lostAt) <= recent}
	case now.Before(known.directAt):
		return plan{tunnel: true}
	}
	known.directAt = now.Add(directEvery)
	return plan{direct: true, tunnel: true}
}

// cutOff reports, and notes, whether this host reaches fewer of the endpoints that it has tried lately than it does not reach. It is called
// with the lock.
func (p *paths) cutOff(now time.Time) bool {
	if now.Sub(p.lostAt) > recent {
		return false
	}
	reached, lost := 0, 0
	for _, known := range p.byEndpoint {
		switch {
		case known.lost() && now.Sub(known.lostAt) <= recent:
			lost++
		case !known.lost() && now.Sub(known.reachedAt) <= recent:
			reached++
		}
	}
	if lost < minLost || lost <= reached {
		return false
	}
	p.cutOffAt = now
	return true
}

// isCutOff is cutOff for callers without the lock.
func (p *paths) isCutOff(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cutOff(now)
}

// observeDirect processes that a direct connection to the endpoint was opened, or that one failed or got no answer. It reports whether a
// detour has ended.
func (p *paths) observeDirect(now time.Time, endpoint winch.EndpointID, reached bool) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	known := p.path(endpoint)
	if !reached {
		known.lostAt, p.lostAt = now, now
		known.losses++
		known.successes = 0
		return false
	}
	known.reachedAt, known.losses = now, 0
	known.successes++
	ended := known.detour && known.successes >= minSuccesses
	if ended {
		known.detour = false
	}
	return ended
}

// observeTunnel processes that other hosts have reached the endpoint, or that they have not, in an attempt to connect that began at the given
// time. It reports whether a detour has begun: it has not if this host has reached the endpoint since, however slowly.
func (p *paths) observeTunnel(now, began time.Time, endpoint winch.EndpointID, reached bool) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	known := p.path(endpoint)
	if !reached {
		known.noTunnelUntil, known.detour = now.Add(tunnelPause), false
		return false
	}
	if known.detour || !known.reachedAt.Before(began) {
		return false
	}
	known.detour, known.directAt = true, now.Add(directEvery)
	return true
}

// isDetour reports whether the endpoint is reached through other hosts.
func (p *paths) isDetour(endpoint winch.EndpointID) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	known := p.byEndpoint[endpoint]
	return known != nil && known.detour
}

// detours returns the number of endpoints that are reached through other hosts.
func (p *paths) detours() int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	count := int64(0)
	for _, known := range p.byEndpoint {
		if known.detour {
			count++
		}
	}
	return count
}

// keep forgets the endpoints that the function does not accept.
func (p *paths) keep(listed func(winch.EndpointID) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for endpoint := range p.byEndpoint {
		if !listed(endpoint) {
			delete(p.byEndpoint, endpoint)
		}
	}
}
