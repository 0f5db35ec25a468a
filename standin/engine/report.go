package engine

import "time"

const (
	rateWindow = time.Second
	// olderReports is how much longer than the lag reports are kept, for report_lag faults.
	olderReports = 30 * time.Second
	reportLimit  = 4096
)

// report is the engine's load at an instant.
type report struct {
	at        time.Time
	running   int
	waiting   int
	tokens    int64
	cacheUsed int
}

// reports keeps the past loads.
type reports struct{ kept []report }

func (r *reports) add(now time.Time, added report) {
	added.at = now
	r.kept = append(r.kept, added)
	if len(r.kept) > 2*reportLimit || (len(r.kept) > reportLimit && now.Sub(r.kept[reportLimit/2].at) > olderReports) {
		r.kept = append([]report(nil), r.kept[len(r.kept)-reportLimit/2:]...)
	}
}

// at returns the load as it was at the instant, and the tokens a second before it.
func (r *reports) at(instant time.Time) (report, float64) {
	current := r.before(instant)
	earlier := r.before(instant.Add(-rateWindow))
	return current, float64(current.tokens-earlier.tokens) / rateWindow.Seconds()
}

func (r *reports) before(instant time.Time) report {
	for i := len(r.kept) - 1; i >= 0; i-- {
		if !r.kept[i].at.After(instant) {
			return r.kept[i]
		}
	}
	return report{}
}
