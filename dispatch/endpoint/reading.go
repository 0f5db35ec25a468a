package endpoint

import (
	"math"
	"time"

	"github.com/arbutuswinch/winch"
)

const (
	// rateTime is how far back a rate of prompt tokens reaches.
	rateTime = 3 * time.Second
	// speedSample is the least number of tokens before a first token that tells how fast an
	// endpoint reads: with fewer, other times matter more.
	speedSample = 4000
)

// rate is an exponentially weighted rate.
type rate struct {
	value float64 // a second
	at    time.Time
}

func (r *rate) add(now time.Time, amount float64) {
	r.value = r.per(now) + amount/rateTime.Seconds()
	r.at = now
}

// per returns the rate a second.
func (r *rate) per(now time.Time) float64 {
	if r.at.IsZero() {
		return 0
	}
	return r.value * math.Exp(-now.Sub(r.at).Seconds()/rateTime.Seconds())
}

// noteAsked takes the prompt of a request that arrives into the lane's rate.
func (l *lane) noteAsked(now time.Time, tokens winch.Tokens) { l.asked.add(now, float64(tokens)) }

// sampleReading learns how fast the group's endpoints read, from the tokens that stood
// before the request's first one.
func (c *core) sampleReading(r *request, seconds float64) {
	if r.ahead < speedSample || seconds <= 0 || r.lane == nil {
		return
	}
	speed := c.speeds[r.lane.key.group]
	speed.add(float64(r.ahead)/seconds, sampleWeight)
	c.speeds[r.lane.key.group] = speed
}
