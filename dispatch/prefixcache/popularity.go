package prefixcache

import (
	"math"
	"time"

	"github.com/arbutuswinch/winch"
)

const (
	// popularityTime is the time constant with which counted requests lose weight.
	popularityTime = time.Minute
	// maxPopular bounds the parts that are counted.
	maxPopular = 4096
	// pairsKept is the factor by which each further request reduces the weight of the pairs compared so far.
	pairsKept = 0.999
	// MaxSpread is the largest number of endpoints over which the requests of one part are spread.
	MaxSpread = 8
	// spreadAbove is the load of each endpoint by one part, as a share of what it can process, above which the part gets another endpoint.
	// It loses one when the load of the remaining ones would be below spreadBelow. A part may fill a whole endpoint, since other requests
	// can go elsewhere.
	spreadAbove = 1
	spreadBelow = 0.6
	// minSpreadCount is the number of requests seen from which a part is spread. Fewer are too uncertain.
	minSpreadCount = 4
)

// Popularity counts how often this host gets requests with the same shared parts. The zero value has counted none. It must not be used
// concurrently.
type Popularity struct {
	parts map[winch.PrefixHash]popular
	total float64 // requests, weighted down with their age
	at    time.Time
	since time.Time // of the first request
	// pairs is the weighted number of pairs of requests that were compared, and same that of the pairs with the same parts.
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

// Rate returns how many requests with the parts this host is expected to get in a second. The estimate starts from the frequency that two
// requests have the same parts, with the weight of one further request.
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

// Spread returns over how many endpoints the requests with the parts are spread, from 1 to MaxSpread. It assumes that each of the hosts gets
// as many of them as this one. work is the share of an endpoint's capacity in a second that a request takes.
func (p *Popularity) Spread(now time.Time, hash winch.PrefixHash, hosts int, work float64) int {
	known, found := p.parts[hash]
	if !found {
		return 1
	}
	spread, count := max(1, known.spread), faded(known.count, now.Sub(known.at))
	load := count / p.window(now) * float64(max(1, hosts)) * max(0, work)
	// The standard deviation of a count is its square root. The spread grows only if the load exceeds the bound by more than that.
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
