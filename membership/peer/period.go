package peer

import (
	"time"

	"github.com/arbutuswinch/winch"
)

// The periods are those of the options for up to unscaledHosts hosts in a data centre and
// unscaledCentres data centres. Above that, they grow in proportion to the number, because
// the hub's traffic grows with each host and each data centre. The growth is limited so that
// data that passes through one digest and one exchange stays younger than the three seconds
// for which dispatchers use it.
const (
	unscaledHosts     = 20
	maxExchangeFactor = 2
	unscaledCentres   = 4
	maxDigestFactor   = 1.5
)

// periodFactor returns the factor by which a period is extended for the given number of hosts
// or data centres.
func periodFactor(count, unscaled int, maximum float64) float64 {
	return min(maximum, max(1, float64(count)/float64(unscaled)))
}

func scalePeriod(period time.Duration, factor float64) time.Duration {
	return time.Duration(float64(period) * factor)
}

// ExchangeFactor returns the factor by which the exchange period is extended. It depends on
// the number of known hosts of this data centre, alive or not. It must not depend on which of
// them are alive, because it also scales the timeout that decides this.
func (t *Table) ExchangeFactor() float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.exchangeFactor()
}

// DigestFactor returns the factor by which the digest period is extended.
func (t *Table) DigestFactor() float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.digestFactor()
}

func (t *Table) exchangeFactor() float64 {
	return periodFactor(len(t.sorted[t.self.DataCentre])+1, unscaledHosts, maxExchangeFactor)
}

func (t *Table) digestFactor() float64 {
	return periodFactor(len(t.centres), unscaledCentres, maxDigestFactor)
}

// suspectTimeout returns how long nothing may be heard of a host of the data centre before it
// is no longer considered alive. It is scaled like the periods of the messages that report hosts.
func (t *Table) suspectTimeout(centre winch.DataCentreID) time.Duration {
	factor := t.exchangeFactor()
	if centre != t.self.DataCentre {
		factor = max(factor, t.digestFactor())
	}
	return scalePeriod(t.suspectAfter, factor)
}
