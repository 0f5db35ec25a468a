package tokenlimit

import (
	"math"

	"github.com/arbutuswinch/winch"
	"github.com/arbutuswinch/winch/dispatch/measure"
)

const (
	// outputWeight is the weight of a sample in the means, low since responses vary widely in length.
	outputWeight = 0.03
	// minOutputSamples is the number of samples from which a mean counts.
	minOutputSamples = 3
	// assumedShare is the share of the maximum that is expected until anything has been measured.
	assumedShare = 0.5
)

// Outputs learns the output of the requests of one class. Hosts may count events of several tokens each. The number of tokens of one event
// is learnt from the callers' hints, whose median is assumed to be right. The zero value has no samples.
type Outputs struct {
	counted measure.Mean // of all requests
	// perCount is the mean, over requests with a hint, of the logarithm of the ratio of hint to count. The mean of logarithms is near the
	// median, so that a few hints that are far off have little effect.
	perCount measure.Mean
}

// Observe adds a request that has run to its end, with the caller's hint, zero if there is none, and the output as the host has counted it.
func (o *Outputs) Observe(hint, counted winch.Tokens) {
	if counted <= 0 {
		return
	}
	o.counted.Add(float64(counted), outputWeight)
	if hint > 0 {
		o.perCount.Add(math.Log(float64(hint)/float64(counted)), outputWeight)
	}
}

// Expected returns the output tokens that are expected of a request with the given hint and maximum, each zero if the caller names none.
func (o *Outputs) Expected(hint, maximum winch.Tokens) winch.Tokens {
	expected := hint
	switch {
	case hint > 0:
	case o.counted.Samples >= minOutputSamples:
		expected = o.Produced(winch.Tokens(math.Ceil(o.counted.Value)))
	default:
		expected = winch.Tokens(assumedShare * float64(maximum))
	}
	if maximum > 0 {
		expected = min(expected, maximum)
	}
	return expected
}

// Produced returns the number of tokens in an output as the host has counted it, at least the count.
func (o *Outputs) Produced(counted winch.Tokens) winch.Tokens {
	if o.perCount.Samples < minOutputSamples {
		return counted
	}
	return winch.Tokens(math.Ceil(float64(counted) * max(1, math.Exp(o.perCount.Value))))
}
