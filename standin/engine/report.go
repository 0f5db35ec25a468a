package engine

import "time"

const (
	rateWindow = time.Second
	// olderReports is the age up to which samples above reportLimit are kept for report_lag
	// faults, as long as there are at most twice reportLimit.
	olderReports = 30 * time.Second
	reportLimit  = 4096
)

// report is a sample of the engine's load.
type report struct {
	at        time.Time
	running   int
	waiting   int
	tokens    int64
	cacheUsed int
}

// reports holds past samples of the load, the oldest first.
type reports struct{ kept []report }

func (r *reports) add(now time.Time, added report) {
	added.at = now
	r.kept = append(r.kept, added)
	if len(r.kept) > 2*reportLimit || (len(r.kept) > reportLimit && now.Sub(r.kept[reportLimit/2].at) > olderReports) {
		r.kept = append([]report(nil), r.kept[len(r.kept)-reportLimit/2:]...)
	}
}

// at returns the load at the instant and the output tokens per second over the rateWindow
// before it.
func (r *reports) at(instant time.Time) (report, float64) {
	current := r.before(instant)
	earlier := r.before(instant.Add(-rateWindow))
	return current, float64(current.tokens-earlier.tokens) / rateWindow.Seconds()
}

// before returns the last sample that is not after the instant, or an empty one.
func (r *reports) before(instant time.Time) report {
	for i := len(r.kept) - 1; i >= 0; i-- {
		if !r.kept[i].at.After(instant) {
			return r.kept[i]
		}
	}
	return report{}
}
