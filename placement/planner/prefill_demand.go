package planner

import (
	"slices"
	"time"

	"github.com/arbutuswinch/winch"
)

// modelDemand is the demand for a model in all data centres, in endpoints that spend the
// share PrefillSettings.PrefillShare of their time on prefill.
type modelDemand struct {
	now float64
	// peak is the highest demand in the last PrefillSettings.PeakWindow, seen at peakAt.
	peak   float64
	peakAt time.Time
	// firstAt is when the first demand was seen; zero before that.
	firstAt time.Time
	// loggedAt is when the inputs were last logged.
	loggedAt time.Time
}

// updateDemand recomputes the demand for the model from the queues.
func (p *PrefillPlanner) updateDemand(now time.Time, model winch.ModelID, queues []winch.QueueStatus, counts endpointCount) *modelDemand {
	d, found := p.models[model]
	if !found {
		d = &modelDemand{}
		p.models[model] = d
	}
	rate, speed := 0.0, p.options.Settings.PrefillRate
	for _, status := range queues {
		if status.Model == model {
			rate += status.PromptRate
			// If the queues report different speeds, the last one is used.
			if status.PromptSpeed > 0 {
				speed = status.PromptSpeed
			}
		}
	}
	d.now = rate / speed / p.options.Settings.PrefillShare
	if d.firstAt.IsZero() && rate > 0 {
		d.firstAt = now
	}
	if d.now >= d.peak || now.Sub(d.peakAt) > p.options.Settings.PeakWindow {
		d.peak, d.peakAt = d.now, now
	}
	p.logInputs(now, model, d, planInputs{rate: rate, speed: speed, oldest: oldestStatus(model, queues), counts: counts})
	return d
}

// settleTime is the time from the first requests until the measured demand is close to the actual one.
const settleTime = 5 * time.Second

// known reports whether the demand is known. Before that a low figure means nothing.
func (d *modelDemand) known(now time.Time) bool {
	return !d.firstAt.IsZero() && now.Sub(d.firstAt) >= settleTime
}

// planInputs are the figures from which the plans for a model follow.
type planInputs struct {
	// rate is the arrival rate of prompt tokens that need prefill, and speed the prefill rate of one endpoint, both in tokens per second.
	rate, speed float64
	// oldest is the age of the oldest queue status that was used.
	oldest time.Duration
	counts endpointCount
}

// inputsInterval is the interval at which the inputs of the plans are logged.
const inputsInterval = 2 * time.Second

func (p *PrefillPlanner) logInputs(now time.Time, model winch.ModelID, d *modelDemand, inputs planInputs) {
	if now.Sub(d.loggedAt) < inputsInterval {
		return
	}
	d.loggedAt = now
	p.logger.Info("inputs of the plan", "Event", EventPlanInputs, "Model", string(model), "PromptRate", inputs.rate, "PromptSpeed", inputs.speed,
		"Demand", d.now, "Peak", d.peak, "Ready", inputs.counts.ready, "Cold", len(inputs.counts.cold), "OldestStatus", inputs.oldest.String())
}

// oldestStatus returns the age of the oldest status of the model's queues.
func oldestStatus(model winch.ModelID, queues []winch.QueueStatus) time.Duration {
	oldest := time.Duration(0)
	for _, status := range queues {
		if status.Model == model {
			oldest = max(oldest, status.Age)
		}
	}
	return oldest
}

// endpointCount counts the endpoints of a model.
type endpointCount struct {
	// ready is the number of ready endpoints in all data centres that are not evacuated.
	ready int
	// cold holds the ready endpoints that are cold.
	cold map[winch.EndpointID]bool
	// centres are the data centres in which the model has endpoints.
	centres []winch.DataCentreID
}

// coldIn returns how many of the pool's endpoints are cold.
func (c endpointCount) coldIn(running []winch.OrderedEndpoint, pool winch.PoolID) int {
	count := 0
	for _, endpoint := range running {
		if endpoint.Pool == pool && c.cold[endpoint.ID] {
			count++
		}
	}
	return count
}

// isCold reports whether the endpoint is cold: as it says or, if it says nothing, for some time after its start.
func isCold(now time.Time, start winch.ColdStart, status winch.EndpointStatus) bool {
	switch {
	case start.Rate <= 0:
		return false
	case status.ColdStated:
		return now.Before(status.ColdUntil)
	}
	return !status.StartedAt.IsZero() && now.Sub(status.StartedAt) < start.Duration
}

func countEndpoints(now time.Time, start winch.ColdStart, model winch.ModelID, endpoints []winch.EndpointStatus) endpointCount {
	count := endpointCount{cold: map[winch.EndpointID]bool{}}
	for _, status := range endpoints {
		if !slices.Contains(status.Endpoint.Models, model) {
			continue
		}
		if !slices.Contains(count.centres, status.Endpoint.DataCentre) {
			count.centres = append(count.centres, status.Endpoint.DataCentre)
		}
		if status.State == winch.EndpointReady && !status.Evacuated {
			count.ready++
			if isCold(now, start, status) {
				count.cold[status.Endpoint.ID] = true
			}
		}
	}
	return count
}
