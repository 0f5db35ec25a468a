package completion

import "time"

const (
	// modelTime is the time constant of the sums: prompts and paces change within minutes.
	modelTime = 30 * time.Second
	// minModelCount is the number of outputs, from several responses, from which a range's interval counts.
	minModelCount = 40
	// maxSample bounds the time that one response adds to a sum at once, in seconds, so that a single stall says little.
	maxSample = 2
)

// edges are the upper ends of the ranges of the busy share for which an interval is learnt, but for the last. They are closer near a full
// share, where the interval rises steeply: what is left for the streams goes to zero.
var edges = [...]float64{0.25, 0.5, 0.7, 0.8, 0.88, 0.94, 0.98}

// Intervals learns the time between outputs by the share of its time in which an endpoint prefills. Outputs are tokens or events of
// several tokens, whatever the host counts. The zero value knows nothing.
type Intervals struct {
	ranges [len(edges) + 1]decayed
}

func rangeOf(busy float64) int {
	i := 0
	for i < len(edges) && busy >= edges[i] {
		i++
	}
	return i
}

// Observe adds a stream that has made count outputs in the seconds since the last ones. A stream that was cut while it waited for
// the next one adds its seconds with a count of zero.
func (m *Intervals) Observe(now time.Time, busy, seconds, count float64) {
	if seconds < 0 || count < 0 || seconds == 0 && count == 0 {
		return
	}
	m.ranges[rangeOf(busy)].add(now, min(seconds, maxSample), count, modelTime)
}

// Interval returns the seconds between outputs at the busy share, and false if they are not known. The interval of a lower share is a
// lower bound, and stands for a range that has too few samples.
func (m *Intervals) Interval(now time.Time, busy float64) (float64, bool) {
	for i := rangeOf(busy); i >= 0; i-- {
		r := &m.ranges[i]
		if r.count*r.factor(now, modelTime) >= minModelCount {
			return r.seconds / r.count, true
		}
	}
	return 0, false
}

const (
	// recentTime is the time constant of what an endpoint has shown.
	recentTime = 2 * time.Second
	// priorCount is the number of outputs that the expectation counts for, those of a few responses.
	priorCount = 30
	// correctionMin and correctionMax bound the correction by what the endpoint has shown.
	correctionMin = 0.5
	correctionMax = 2
)

// Recent is what an endpoint has shown in the last seconds. The zero value is that of an endpoint that has shown nothing.
type Recent struct {
	sums decayed
}

// Observe adds a stream as in Intervals.
func (r *Recent) Observe(now time.Time, seconds, count float64) {
	if seconds >= 0 && count >= 0 {
		r.sums.add(now, min(seconds, maxSample), count, recentTime)
	}
}

// Correct returns the interval that is expected, corrected by what the endpoint has shown. A few outputs change it little.
func (r *Recent) Correct(now time.Time, expected float64) float64 {
	factor := r.sums.factor(now, recentTime)
	corrected := (priorCount*expected + factor*r.sums.seconds) / (priorCount + factor*r.sums.count)
	return min(max(correctionMin*expected, corrected), correctionMax*expected)
}
