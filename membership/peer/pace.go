package peer

import (
	"time"

	"github.com/arbutuswinch/winch"
)

// Up to steadyHosts hosts of a data centre and steadyCentres data centres the
// periods are those of the options. Above, they grow with the number, up to a
// factor, since the hub's traffic grows with each member and each data centre. The
// factors leave evidence that passes a digest and an exchange younger than the
// three seconds for which dispatchers use it.
const (
	steadyHosts   = 20
	hostsFactor   = 2
	steadyCentres = 4
	centresFactor = 1.5
)

// periodFactor returns the factor on a period for the number of parties.
func periodFactor(parties, steady int, most float64) float64 {
	return min(most, max(1, float64(parties)/float64(steady)))
}

func scaled(period time.Duration, factor float64) time.Duration {
	return time.Duration(float64(period) * factor)
}

// ExchangeFactor returns the factor on the time between exchanges. It counts the
// hosts that are known, alive or not, so that it does not depend on who is
// suspected by means of it.
func (t *Table) ExchangeFactor() float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.exchangeFactor()
}

// DigestFactor returns the factor on the time between digests.
func (t *Table) DigestFactor() float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.digestFactor()
}

func (t *Table) exchangeFactor() float64 {
	return periodFactor(len(t.sorted[t.self.DataCentre])+1, steadyHosts, hostsFactor)
}

func (t *Table) digestFactor() float64 { return periodFactor(len(t.centres), steadyCentres, centresFactor) }

// suspectTimeout returns the silence after which a host of the data centre is believed
// dead. It follows the periods by which hosts are heard.
func (t *Table) suspectTimeout(centre winch.DataCentreID) time.Duration {
	factor := t.exchangeFactor()
	if centre != t.self.DataCentre {
		factor = max(factor, t.digestFactor())
	}
	return scaled(t.suspectAfter, factor)
}
