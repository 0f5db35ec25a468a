package endpoint

// average is an exponentially weighted mean of samples.
type average struct {
	value   float64
	samples int
}

// add adds a sample. The first samples are averaged evenly; later, weight is the share of the newest one.
func (a *average) add(sample, weight float64) {
	a.samples++
	if share := 1 / float64(a.samples); share > weight {
		weight = share
	}
	a.value += (sample - a.value) * weight
}

// addMean adds another mean as one sample of an unweighted mean.
func (a *average) addMean(other average) {
	if other.samples > 0 {
		a.add(other.value, 0)
	}
}
