// Package pace estimates how long work takes at an endpoint, from the pace that the endpoint states in its answers. It does no I/O.
//
// The stated pace changes many times a second, so that a single one says little, and an old one nothing of the present. Three averages
// are kept. The recent one forgets within about a second and tells the present pace. The usual one forgets within half a minute and tells
// which endpoints are slow for good. The third is what other hosts tell of their usual ones, which is too old for the present.
//
// An average counts by the number of its samples and their age: what it lacks is made up by the next slower one, and finally by
// winch.UsualPace. An estimate therefore returns to the usual pace of its endpoint within about a second of the last answer, and hosts that
// have seen one fast answer do not all take the endpoint for a fast one.
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
	// priorWeight is the number of samples that the next slower average counts for.
	priorWeight = 2
	// maxAge is the age of the last sample above which nothing is known of the endpoint's pace.
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

// Hear adds the usual pace that other hosts tell. Zero says nothing.
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

// Usual returns the pace of the endpoint over the last half a minute.
func (e *Estimate) Usual(now time.Time) winch.Pace {
	told := e.others.blend(now, float64(winch.UsualPace), usualTime)
	return winch.Pace(e.usual.blend(now, told, usualTime))
}

// At returns the pace of the endpoint at present.
func (e *Estimate) At(now time.Time) winch.Pace {
	return winch.Pace(e.recent.blend(now, float64(e.Usual(now)), recentTime))
}

// Weight returns how far the last second counts in the present pace: 0 without any answer, 1 with very many.
func (e *Estimate) Weight(now time.Time) float64 {
	weight := e.recent.weightAt(now, recentTime)
	return weight / (weight + priorWeight)
}

// average is an average that forgets samples with their age.
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
