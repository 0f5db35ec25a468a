package endpoint

import (
	"time"

	"github.com/arbutuswinch/winch"
	"github.com/arbutuswinch/winch/dispatch/measure"
)

const (
	// minSpeedSample is the minimum number of prompt tokens processed before a first token for the
	// time to count as a sample of the prefill speed. With fewer, other delays dominate.
	minSpeedSample = 2500
	// fastSampleWeight and slowSampleWeight are the weights of samples above and below the average. Slow samples count less,
	// since prompts of other hosts that are not known yet make a sample slower than the endpoint is.
	fastSampleWeight = 0.2
	slowSampleWeight = 0.02
	// assumedSamples is the number of samples for which the assumed speed counts at first.
	assumedSamples = 100
)

// addPrompt adds a request's prompt tokens that need prefill to the lane's rate. Refused requests count as well, since the
// rate is the demand from which endpoints are ordered; a request that is attempted again counts once.
func (l *lane) addPrompt(now time.Time, count winch.Tokens) { l.promptRate.Add(now, float64(count)) }

// samplePrefillSpeed updates the prefill speed of the model or route from a request's time to first token and its prompt
// tokens. Only requests whose prompt was the only one pending at their endpoint count: engines admit urgent requests
// first, so that it is not known how many of the other prompts were processed before the first token.
func (c *core) samplePrefillSpeed(r *request, seconds float64) {
	if r.prefillAhead > r.pendingPrefill || r.prefillAhead < minSpeedSample || seconds <= 0 || r.lane == nil {
		return
	}
	speed, sample := c.prefillSpeeds[r.lane.key.group], float64(r.prefillAhead)/seconds
	if speed.Samples == 0 {
		speed = measure.Mean{Value: defaultPrefillSpeed, Samples: assumedSamples}
	}
	weight := fastSampleWeight
	if sample < speed.Value {
		weight = slowSampleWeight
	}
	speed.Add(sample, weight)
	c.prefillSpeeds[r.lane.key.group] = speed
}
