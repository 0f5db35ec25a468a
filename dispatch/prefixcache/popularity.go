package prefixcache

import (
	"math"
	"time"

	"github.com/arbutuswinch/winch"
)

const (
	// popularityTime is the time constant with which requests are forgotten.
	popularityTime = time.Minute
	// maxPopular bounds the parts that are counted.
	maxPopular = 4096
	// pairsKept is the share of the compared pairs of requests that is kept with each further request.
	pairsKept = 0.999
	// MaxSpread is the largest number of endpoints over which the requests of one part are spread.
	MaxSpread = 8
	// spreadAbove and spreadBelow are the loads of an endpoint by one part above which there is a further endpoint for it, and below which,
	// on those that would remain, there is one less. Up to a whole endpoint, the other requests of a home can go elsewhere.
	spreadAbove = 1
	spreadBelow = 0.6
	// minSpreadCount is the number of requests seen from which a part is spread. Fewer are too uncertain.
	minSpreadCount = 4
)

// Popularity counts how often this host gets requests of the same shared parts. The zero value has counted none.
type Popularity struct {
	parts map[winch.PrefixHash]popular
	total float64 // requests, weighted down with their age
	at    time.Time
	since time.Time // of the first request
	// pairs is the number of pairs of requests that were compared, and same that of pairs with the same part.
	pairs, same float64
}

// popular is the count of one part.
type popular struct {
	count  float64 // as of at
	at     time.Time
	spread int
}

func faded(count float64, since time.Duration) float64 {
	return count * math.Exp(-max(0, since.Seconds())/popularityTime.Seconds())
}

// Observe counts a request with the parts of the given hash.
func (p *Popularity) Observe(now time.Time, hash winch.PrefixHash) {
	if p.parts == nil {
		p.parts, p.since = map[winch.PrefixHash]popular{}, now
	}
	known, found := p.parts[hash]
	if !found && len(p.parts) >= maxPopular {
		p.prune(now)
	}
	known.count, known.at = faded(known.count, now.Sub(known.at)), now
	p.total, p.at = faded(p.total, now.Sub(p.at)), now
	p.same, p.pairs = pairsKept*p.same+known.count, pairsKept*p.pairs+p.total
	known.count++
	p.total++
	p.parts[hash] = known
}

// Rate returns how many requests with the parts this host is expected to get in a second. A part that was hardly seen counts as one of the
// usual frequency; the two are weighed as if it had been seen once more in as many requests as usual.
func (p *Popularity) Rate(now time.Time, hash winch.PrefixHash) float64 {
	known := p.parts[hash]
	total := faded(p.total, now.Sub(p.at))
	usual := (p.same + 1) / (p.pairs + 1)
	frequency := (faded(known.count, now.Sub(known.at)) + 1) / (total + 1/usual)
	return frequency * max(1, total) / p.window(now)
}

// window returns the time in which the counted requests came, in seconds.
func (p *Popularity) window(now time.Time) float64 {
	seen := now.Sub(p.since).Seconds() / popularityTime.Seconds()
	return max(1, popularityTime.Seconds()*(1-math.Exp(-max(0, seen))))
}

// Spread returns over how many endpoints the requests of the parts are spread, at least one, if each of the hosts gets as many of them as this
// one and a request takes the given part of what an endpoint serves in a second.
func (p *Popularity) Spread(now time.Time, hash winch.PrefixHash, hosts int, work float64) int {
	known, found := p.parts[hash]
	if !found {
		return 1
	}
	spread, count := max(1, known.spread), faded(known.count, now.Sub(known.at))
	load := count / p.window(now) * float64(max(1, hosts)) * max(0, work)
	// The number of requests varies by its root: a spread grows only if the load is certain.
	certain := load * max(0, 1-1/math.Sqrt(max(1, count)))
	for spread < MaxSpread && count >= minSpreadCount && certain > spreadAbove*float64(spread) {
		spread++
	}
	for spread > 1 && load < spreadBelow*float64(spread-1) {
		spread--
	}
	if spread != known.spread {
		known.spread = spread
		p.parts[hash] = known
	}
	return spread
}

// Widest returns the largest spread.
func (p *Popularity) Widest() int {
	widest := 1
	for _, known := range p.parts {
		widest = max(widest, known.spread)
	}
	return widest
}

// prune removes the parts whose counts are not above the mean.
func (p *Popularity) prune(now time.Time) {
	sum := 0.0
	for _, known := range p.parts {
		sum += faded(known.count, now.Sub(known.at))
	}
	mean := sum / float64(len(p.parts))
	for hash, known := range p.parts {
		if faded(known.count, now.Sub(known.at)) <= mean {
			delete(p.parts, hash)
		}
	}
}
