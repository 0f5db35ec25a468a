// Package pace estimates how long work takes at an endpoint, from the pace that the endpoint states in its answers. It does no I/O.
//
// The stated pace changes many times a second, so that a single sample has little weight and an old one none for the present. Three
// averages with exponential decay are kept: the recent one, with a time constant of a second, gives the present pace; the usual one, of half
// a minute, shows which endpoints are slow permanently; the third is that of the usual paces which other hosts report, and is too old for
// the present.
//
// The weight of an average depends on the number and the age of its samples. The rest of the weight is that of the next slower average, and
// finally of winch.UsualPace. An estimate therefore returns to the usual pace of its endpoint within about a second of the last answer, and
// hosts that have seen one fast answer do not all take the endpoint for a fast one.
//
// # Usage
//
//	estimate := pace.Estimate{}
//	estimate.Observe(now, load.Pace.Pace)
//	estimate.Hear(now, others)
//	if estimate.Known(now) {
//		present, usual := estimate.At(now), estimate.Usual(now)
//	}
package pace

import (
	"math"
	"time"

	"github.com/arbutuswinch/winch"
)

const (
	// recentTime is the time constant of the recent average.
	recentTime = time.Second
	// usualTime is the time constant of the usual average, and of what other hosts tell.
	usualTime = 30 * time.Second
	// priorWeight is the weight of the next slower average, as a number of samples.
	priorWeight = 2
	// maxAge is the age of the last sample above which the pace of the endpoint is unknown.
	maxAge = 2 * time.Minute
)

// Estimate is what a host knows of the pace of one run of an endpoint. The zero value is that of an endpoint which has stated none. It
// must not be used concurrently.
type Estimate struct {
	recent, usual, others average
}

// Observe adds a pace that the endpoint has stated to this host.
func (e *Estimate) Observe(now time.Time, stated winch.Pace) {
	e.recent.add(now, stated, recentTime)
	e.usual.add(now, stated, usualTime)
}

// Hear adds the usual pace that other hosts report. Zero means that they know none.
func (e *Estimate) Hear(now time.Time, others winch.Pace) {
	if others > 0 {
		e.others.add(now, others, usualTime)
	}
}

// Tell returns the usual pace that the endpoint has stated to this host, for other hosts, and zero if there is none. What this host
// has heard from others is not included, since they would hear it again.
func (e *Estimate) Tell(now time.Time) winch.Pace {
	if !e.usual.known(now) {
		return 0
	}
	return winch.Pace(e.usual.value)
}

// Known reports whether the endpoint states its pace.
func (e *Estimate) Known(now time.Time) bool { return e.usual.known(now) || e.others.known(now) }

// Usual returns the mean pace of the endpoint over about the last half minute.
func (e *Estimate) Usual(now time.Time) winch.Pace {
	told := e.others.blend(now, float64(winch.UsualPace), usualTime)
	return winch.Pace(e.usual.blend(now, told, usualTime))
}

// At returns the pace of the endpoint at present.
func (e *Estimate) At(now time.Time) winch.Pace {
	return winch.Pace(e.recent.blend(now, float64(e.Usual(now)), recentTime))
}

// Weight returns the weight of the last second's samples in the present pace, from 0 without any to nearly 1 with very many.
func (e *Estimate) Weight(now time.Time) float64 {
	weight := e.recent.weightAt(now, recentTime)
	return weight / (weight + priorWeight)
}

// average is a mean whose samples lose weight exponentially with their age.
type average struct {
	value float64
	// weight is the number of samples, each weighted down with its age at the time of the last one.
	weight float64
	at     time.Time // of the last sample
}

func (a *average) add(now time.Time, sample winch.Pace, constant time.Duration) {
	a.weight = a.weightAt(now, constant) + 1
	a.value += (float64(sample) - a.value) / a.weight
	if now.After(a.at) {
		a.at = now
	}
}

func (a *average) known(now time.Time) bool { return a.weight > 0 && now.Sub(a.at) <= maxAge }

func (a *average) weightAt(now time.Time, constant time.Duration) float64 {
	if a.weight == 0 {
		return 0
	}
	age := max(0, now.Sub(a.at))
	return a.weight * math.Exp(-age.Seconds()/constant.Seconds())
}

// blend returns the average of the samples and of the prior value, which counts for priorWeight samples.
func (a *average) blend(now time.Time, prior float64, constant time.Duration) float64 {
	weight := a.weightAt(now, constant)
	return prior + (a.value-prior)*weight/(weight+priorWeight)
}
