package endpoint

import (
	"math"
	"time"

	"github.com/arbutuswinch/winch"
)

const (
	// rateWindow is how far back a rate of prompt tokens reaches.
	rateWindow = 3 * time.Second
	// minSpeedSample is the least number of tokens before a first token that tells how fast an
	// endpoint reads: with fewer, other times matter more.
	minSpeedSample = 4000
)

// rate is an exponentially weighted rate.
type rate struct {
	value float64 // a second
	at    time.Time
}

func (r *rate) add(now time.Time, amount float64) {
	r.value = r.perSecond(now) + amount/rateWindow.Seconds()
	r.at = now
}

// perSecond returns the rate a second.
func (r *rate) perSecond(now time.Time) float64 {
	if r.at.IsZero() {
		return 0
	}
	return r.value * math.Exp(-now.Sub(r.at).Seconds()/rateWindow.Seconds())
}

// addPrompt takes the prompt of a request that arrives into the lane's rate.
func (l *lane) addPrompt(now time.Time, count winch.Tokens) { l.promptRate.add(now, float64(count)) }

// samplePrefillSpeed learns how fast the group's endpoints read, from the tokens that stood
// before the request's first one.
func (c *core) samplePrefillSpeed(r *request, seconds float64) {
	if r.prefillAhead < minSpeedSample || seconds <= 0 || r.lane == nil {
		return
	}
	speed := c.prefillSpeeds[r.lane.key.group]
	speed.add(float64(r.prefillAhead)/seconds, sampleWeight)
	c.prefillSpeeds[r.lane.key.group] = speed
}
