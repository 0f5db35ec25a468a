package endpoint

// average is an exponentially weighted mean of samples.
type average struct {
	value   float64
	samples int
}

// add takes a sample in; weight is the share of the newest sample once the mean is settled.
func (a *average) add(sample, weight float64) {
	a.samples++
	if share := 1 / float64(a.samples); share > weight {
		weight = share
	}
	a.value += (sample - a.value) * weight
}

// addMean takes another mean in as one sample of a plain mean.
func (a *average) addMean(other average) {
	if other.samples > 0 {
		a.add(other.value, 0)
	}
}
