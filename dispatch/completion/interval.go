package completion

import "time"

const (
	// modelTime is the time constant of the sums. Prompts and paces change within minutes.
	modelTime = 30 * time.Second
	// minModelCount is the number of outputs from which a range's interval is used: those of several responses.
	minModelCount = 40
	// maxSample bounds the seconds of one sample, so that a single stall has little weight.
	maxSample = 2
)

// edges are the upper ends of the ranges of the busy share for which an interval is learnt, but for the last. They are closer near a full
// share, where the interval rises steeply because hardly any time is left for the streams.
var edges = [...]float64{0.25, 0.5, 0.7, 0.8, 0.88, 0.94, 0.98}

// Intervals learns the time between outputs as a function of the share of its time in which an endpoint prefills. Outputs are what the
// host counts: tokens, or events of several tokens. The zero value has no samples.
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

// Observe adds a sample of a stream that has brought count outputs in the seconds since the previous ones. A stream that was cut while it
// waited for the next output adds the seconds with a count of zero.
func (m *Intervals) Observe(now time.Time, busy, seconds, count float64) {
	if seconds < 0 || count < 0 || seconds == 0 && count == 0 {
		return
	}
	m.ranges[rangeOf(busy)].add(now, min(seconds, maxSample), count, modelTime)
}

// Interval returns the seconds between outputs at the busy share, and false if they are not known. For a range with too few samples it
// returns the interval of the next lower one, which is a lower bound.
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
	// recentTime is the time constant of an endpoint's own samples.
	recentTime = 2 * time.Second
	// priorCount is the number of outputs whose weight the expected interval has: those of a few responses.
	priorCount = 30
	// correctionMin and correctionMax bound the corrected interval, relative to the expected one.
	correctionMin = 0.5
	correctionMax = 2
)

// Recent holds the time between outputs of one endpoint in the last seconds. The zero value has no samples.
type Recent struct {
	sums decayed
}

// Observe adds a sample of a stream; see Intervals.Observe.
func (r *Recent) Observe(now time.Time, seconds, count float64) {
	if seconds >= 0 && count >= 0 {
		r.sums.add(now, min(seconds, maxSample), count, recentTime)
	}
}

// Correct returns the expected interval in seconds, corrected by the samples of the endpoint. A few outputs change it little.
func (r *Recent) Correct(now time.Time, expected float64) float64 {
	factor := r.sums.factor(now, recentTime)
	corrected := (priorCount*expected + factor*r.sums.seconds) / (priorCount + factor*r.sums.count)
	return min(max(correctionMin*expected, corrected), correctionMax*expected)
}
