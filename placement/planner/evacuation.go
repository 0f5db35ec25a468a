package planner

import (
	"slices"
	"time"

	"github.com/arbutuswinch/winch"
)

// Nothing is ordered for an evacuated data centre, neither more endpoints nor fewer: those that run there stay for the time after the
// evacuation. The capacity that the data centre would have is ordered in the others.

// evacuationHold is how long the other data centres keep that capacity after an evacuation, since endpoints that come back may be cold or
// may have been reclaimed meanwhile.
const evacuationHold = 20 * time.Second

// evacuations remembers when data centres were last seen evacuated.
type evacuations struct {
	source winch.EvacuationSource
	seenAt map[winch.DataCentreID]time.Time
}

// update reads the source, and returns the data centres that are evacuated now. Without a source there are none.
func (e *evacuations) update(now time.Time) []winch.DataCentreID {
	if e.source == nil {
		return nil
	}
	current := e.source.Evacuated()
	for _, centre := range current {
		e.seenAt[centre] = now
	}
	for centre, at := range e.seenAt {
		if now.Sub(at) > evacuationHold {
			delete(e.seenAt, centre)
		}
	}
	return current
}

// missing counts the data centres whose capacity the others have to provide.
func (e *evacuations) missing(centres []winch.DataCentreID) int {
	count := 0
	for _, centre := range centres {
		if _, found := e.seenAt[centre]; found {
			count++
		}
	}
	return count
}

// sites are the data centres that share the demand for a model.
type sites struct {
	// all counts the data centres, and missing those of them that are evacuated.
	all, missing int
}

// left counts the data centres that carry the demand. It is 1 if all are evacuated, so that figures stay finite.
func (s sites) left() int { return max(1, s.all-s.missing) }

// spread returns how many endpoints each remaining data centre needs, if all data centres together would have count each. It rounds up.
func (s sites) spread(count int) int { return (count*max(1, s.all) + s.left() - 1) / s.left() }

// sitesOf returns the data centres that share the demand for the model.
func (p *PrefillPlanner) sitesOf(scaling winch.Scaling, counts endpointCount) sites {
	centres := scaling.DataCentres
	if len(centres) < len(counts.centres) {
		centres = counts.centres
	}
	return sites{all: len(centres), missing: p.evacuations.missing(centres)}
}

// shareOf returns the share, from 0 to 1, of a queue's demand that the data centre has to serve: all of its own queues and, of an evacuated
// data centre, the same share as each other data centre with a pool for the model.
func shareOf(configuration *winch.Configuration, centre winch.DataCentreID, status winch.QueueStatus) float64 {
	if status.DataCentre == centre {
		return 1
	}
	if _, evacuated := configuration.Evacuations[status.DataCentre]; !evacuated {
		return 0
	}
	var others []winch.DataCentreID
	for _, pool := range configuration.Pools {
		_, evacuated := configuration.Evacuations[pool.DataCentre]
		if pool.Model == status.Model && !evacuated && !slices.Contains(others, pool.DataCentre) {
			others = append(others, pool.DataCentre)
		}
	}
	if !slices.Contains(others, centre) {
		return 0
	}
	return 1 / float64(len(others))
}
