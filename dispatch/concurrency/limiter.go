// Package concurrency adapts how many requests an endpoint gets at the same time to what it can bear.
//
// # Usage
//
//	limiter := concurrency.New(slots)
//	limiter.SampleFirstToken(seconds, target)
//	limiter.Adjust(now, interTokenTarget, running)
//	limiter.Reject(now, running) // after a rejection by the endpoint
//	limit := limiter.Value
package concurrency

import (
	"math"
	"time"

	"github.com/arbutuswinch/winch/dispatch/measure"
)

const (
	limitInterval     = time.Second
	limitDecrease     = 0.85 // factor of a decrease
	decreaseThreshold = 0.92 // share of the target above which the limit is decreased
	increaseThreshold = 0.82 // share of the target below which the limit may be increased
	sampleWeight      = 0.1
	// MinSamples is the number of samples from which a mean counts.
	MinSamples = 3
)

// Limiter adapts the concurrency of an endpoint to its latency: additive
// increase while the targets are met and the limit is used, multiplicative
// decrease when the time to the first token or between tokens nears its target.
type Limiter struct {
	Value      float64      // current limit
	Ceiling    int          // configured slot limit, the largest value
	FirstToken measure.Mean // as a share of the class's target, since the last adjustment
	interToken measure.Mean // in seconds, since the last adjustment
	// The long-run means are not reset by adjustments. They serve to compare endpoints.
	LongRunInterToken measure.Mean
	LongRunFirstToken measure.Mean
	adjustedAt        time.Time
	rejectedAt        time.Time
	peakRunning       int // most concurrent requests since the last adjustment
}

// New returns a limiter whose limit is the ceiling; DefaultCeiling if that is not positive.
func New(ceiling int) Limiter {
	if ceiling <= 0 {
		ceiling = DefaultCeiling
	}
	return Limiter{Value: float64(ceiling), Ceiling: ceiling}
}

// DefaultCeiling is used for endpoints whose slots are not known.
const DefaultCeiling = 8

// SampleFirstToken adds a time to first token. It is measured against the target of its own
// class, since prompts of different classes differ in length.
func (l *Limiter) SampleFirstToken(seconds float64, target time.Duration) {
	if target <= 0 {
		return
	}
	share := seconds / target.Seconds()
	l.FirstToken.Add(share, sampleWeight)
	l.LongRunFirstToken.Add(share, sampleWeight)
}

// SampleInterToken adds a time between two tokens, in seconds.
func (l *Limiter) SampleInterToken(seconds float64) {
	l.interToken.Add(seconds, sampleWeight)
	l.LongRunInterToken.Add(seconds, sampleWeight)
}

// pressure returns the largest measured latency as a share of its target, and whether there
// were enough samples. The target for the time between tokens is in seconds; zero means none.
func (l *Limiter) pressure(interTokenTarget float64) (float64, bool) {
	pressure, measured := 0.0, false
	if l.FirstToken.Samples >= MinSamples {
		pressure, measured = l.FirstToken.Value, true
	}
	if interTokenTarget > 0 && l.interToken.Samples >= MinSamples {
		pressure, measured = math.Max(pressure, l.interToken.Value/interTokenTarget), true
	}
	return pressure, measured
}

// Adjust updates the limit once per limitInterval.
func (l *Limiter) Adjust(now time.Time, interTokenTarget float64, running int) {
	if running > l.peakRunning {
		l.peakRunning = running
	}
	if now.Sub(l.adjustedAt) < limitInterval {
		return
	}
	pressure, measured := l.pressure(interTokenTarget)
	switch {
	case measured && pressure > decreaseThreshold:
		// The latency was caused by at most peakRunning requests, so the decrease starts there.
		l.Value = math.Max(1, math.Min(l.Value, float64(l.peakRunning))*limitDecrease)
	case (!measured || pressure < increaseThreshold) && float64(l.peakRunning) >= math.Floor(l.Value):
		l.Value = math.Min(float64(l.Ceiling), l.Value+1)
	}
	l.adjustedAt, l.peakRunning = now, running
	l.FirstToken, l.interToken = measure.Mean{}, measure.Mean{}
}

// recoveryShare is the share of its ceiling by which a limit recovers in each limitInterval.
const recoveryShare = 0.1

// Raise raises the limit once per limitInterval. It is for policies that do not adapt the limit to the latency, for which
// only rejections decrease it.
func (l *Limiter) Raise(now time.Time) {
	if now.Sub(l.adjustedAt) < limitInterval || now.Sub(l.rejectedAt) < limitInterval {
		return
	}
	l.adjustedAt = now
	l.Value = math.Min(float64(l.Ceiling), l.Value+recoveryShare*float64(l.Ceiling))
}

// Reject decreases the limit after a rejection by the endpoint, which had at least the given number of requests.
func (l *Limiter) Reject(now time.Time, running int) {
	l.Value = math.Max(1, math.Min(l.Value, float64(running))*limitDecrease)
	l.rejectedAt = now
}

// Merge sets the limit to the mean of this host's and the other hosts' limits.
func (l *Limiter) Merge(others float64) {
	if others < 1 {
		return
	}
	l.Value = math.Min(float64(l.Ceiling), (l.Value+others)/2)
}
