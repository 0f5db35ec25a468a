// Package measure holds the measures from which a dispatcher decides: means and rates that forget old samples.
//
// # Usage
//
//	mean := measure.Mean{}
//	mean.Add(seconds, 0.1)
//	rate := measure.Rate{}
//	rate.Add(now, tokens)
//	perSecond := rate.PerSecond(now)
package measure

// Mean is an exponentially weighted mean of samples. The zero value has none.
type Mean struct {
	Value   float64
	Samples int
}

// Add adds a sample. The first samples are averaged evenly; later, weight is the share of the newest one.
func (m *Mean) Add(sample, weight float64) {
	m.Samples++
	if share := 1 / float64(m.Samples); share > weight {
		weight = share
	}
	m.Value += (sample - m.Value) * weight
}

// AddMean adds another mean as one sample of an unweighted mean.
func (m *Mean) AddMean(other Mean) {
	if other.Samples > 0 {
		m.Add(other.Value, 0)
	}
}
