package endpoint

import (
	"time"

	"github.com/arbutuswinch/winch"
	"github.com/arbutuswinch/winch/dispatch/measure"
)

const (
	// relativePaceMin and relativePaceMax bound an endpoint's pace relative to the mean of its lane.
	relativePaceMin = 0.25
	relativePaceMax = slowdownMax
	// paceShiftMin and paceShiftMax bound the factor by which a prediction follows the present pace.
	paceShiftMin = 0.5
	paceShiftMax = 2
	// paceLimitMin is the smallest share of its slots that an endpoint keeps while it is slow.
	paceLimitMin = 0.5
	// closePaceShare is the share of a prompt by which costs may differ and still count as equal where endpoints state their paces.
	// Without it, all hosts would choose the same fast endpoint before any of them knows of the others' requests.
	closePaceShare = 0.5
)

// observePace applies the pace that the endpoint has stated in an answer to this host, if any.
func (c *core) observePace(now time.Time, e *endpoint, word winch.PaceWord) {
	if !word.Known {
		return
	}
	e.pace.Observe(now, word.Pace)
	e.updatePaces(now)
	e.slowdown = c.slowdownOf(now, e)
}

func (e *endpoint) updatePaces(now time.Time) {
	e.presentPace, e.usualPace = 0, 0
	if e.pace.Known(now) {
		e.presentPace, e.usualPace = e.pace.At(now), e.pace.Usual(now)
	}
}

// refreshPaces recomputes the lanes' mean paces.
func (c *core) refreshPaces(now time.Time) {
	for _, l := range c.sortedLanes {
		if first := l.set.first; l != first {
			l.meanPace, l.paceShift = first.meanPace, first.paceShift
			continue
		}
		l.meanPace, l.paceShift = measure.Mean{}, 1
		present, usual := 0.0, 0.0
		for _, e := range l.endpoints {
			if e.usualPace == 0 {
				continue
			}
			l.meanPace.AddMean(measure.Mean{Value: float64(e.usualPace), Samples: 1})
			if e.serving && !e.paused(now) {
				present, usual = present+float64(e.presentPace), usual+float64(e.usualPace)
			}
		}
		if usual > 0 {
			l.paceShift = min(max(paceShiftMin, present/usual), paceShiftMax)
		}
	}
}

// relativePace returns the endpoint's present pace relative to the mean usual one of its highest-tier lane, and false if it
// states no pace.
func (e *endpoint) relativePace() (float64, bool) {
	if e.usualPace == 0 || e.lanes[0].meanPace.Value <= 0 {
		return 1, false
	}
	return min(max(relativePaceMin, float64(e.presentPace)/e.lanes[0].meanPace.Value), relativePaceMax), true
}

// paceLimit returns the share of its slots that the endpoint gets at its present pace. The limit was found at the usual one; an
// endpoint that is faster at the moment gets no more.
func (e *endpoint) paceLimit() float64 {
	if e.usualPace == 0 {
		return 1
	}
	return min(max(paceLimitMin, float64(e.usualPace/e.presentPace)), 1)
}

// runningCost returns the cost of the requests that run on the endpoint, in prompt tokens.
func (e *endpoint) runningCost() float64 {
	cost := runningRequestCost * float64(e.running+e.others)
	if e.usualPace == 0 {
		return cost
	}
	return cost * e.slowdown
}

// paceMargin returns the difference of costs below which endpoints count as equal because of their paces, in prompt tokens.
func paceMargin(l *lane, r *request) float64 {
	if l.meanPace.Samples == 0 {
		return 0
	}
	return closePaceShare * float64(r.ownTokens())
}

// meanPace returns the mean of two paces, weighted by the requests that run. A pace of zero is not known.
func meanPace(a, b endpointStats) winch.Pace {
	switch {
	case a.Pace == 0:
		return b.Pace
	case b.Pace == 0:
		return a.Pace
	}
	// A host that runs nothing there at the moment has heard the pace as well.
	weightA, weightB := winch.Pace(max(1, a.Running)), winch.Pace(max(1, b.Running))
	return (a.Pace*weightA + b.Pace*weightB) / (weightA + weightB)
}

// addPace adds the pace of the last row. Rows before the first known pace are filled with zeros.
func (w *statsWire) addPace(pace winch.Pace) {
	if pace == 0 && len(w.Paces) == 0 {
		return
	}
	for len(w.Paces) < len(w.Endpoints)-1 {
		w.Paces = append(w.Paces, 0)
	}
	w.Paces = append(w.Paces, int(pace))
}

// pace returns the pace of a row. Hosts of earlier versions, and those that know no paces, send none.
func (w *statsWire) pace(row int) winch.Pace {
	if row >= len(w.Paces) {
		return 0
	}
	return winch.Pace(min(max(0, w.Paces[row]), maxWirePace))
}

// maxWirePace bounds a pace that another host tells, in percent.
const maxWirePace = 1000
