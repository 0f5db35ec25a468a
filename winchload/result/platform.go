package result

import (
	"github.com/arbutuswinch/winch/winchload/control"
	"github.com/arbutuswinch/winch/winchload/experiment"
)

const (
	supplyCheap  = "Cheap"
	supplySteady = "Steady"
	hourSeconds  = 3600
)

// setTokenCounts sets the numbers of output tokens that engines produced and that were wasted, and of
// prompt tokens that they computed and that they found in their caches. It also sets the share of
// the output tokens that cheap engines produced.
func (c *Collector) setTokenCounts(r *Result, info RunInfo) {
	cheap := map[string]bool{}
	for _, endpoint := range info.After.Endpoints {
		cheap[endpoint.ID] = endpoint.Supply == supplyCheap
	}
	cheapTokens := int64(0)
	for id, after := range info.After.Engines {
		before := info.Before.Engines[id]
		produced := after.OutputTokens - before.OutputTokens
		r.ProducedTokens += produced
		r.PrefillTokens += after.PrefillTokens - before.PrefillTokens
		r.CachedTokens += after.CachedTokens - before.CachedTokens
		if cheap[id] {
			cheapTokens += produced
		}
	}
	r.WastedTokens = max(r.ProducedTokens-c.completeTokens, 0)
	r.WastedShare = ratio(float64(r.WastedTokens), float64(r.ProducedTokens))
	r.Cost.CheapShare = ratio(float64(cheapTokens), float64(r.ProducedTokens))
}

// setConfirmations compares the answers with the executions that the stand-ins counted. It fills
// in the confirmations of keyed requests and the number of false refusals.
func (c *Collector) setConfirmations(r *Result, info RunInfo) {
	byKey, byRequest := map[string]int{}, map[string]int{}
	for _, executed := range info.After.Executions {
		for key, count := range executed.ByKey {
			byKey[key] += count
		}
		for id, count := range executed.ByRequest {
			byRequest[id] += count
		}
	}
	for _, accepted := range info.After.Completions {
		for id, count := range accepted {
			byRequest[id] += count
		}
	}
	r.Confirmations.Offered = len(c.completeByKey)
	for key, complete := range c.completeByKey {
		r.Confirmations.count(complete, byKey[key])
	}
	for _, id := range c.notRun {
		if byRequest[id] > 0 {
			r.FalseRefusals++
		}
	}
}

func (c *Confirmations) count(complete bool, executed int) {
	switch {
	case executed > 1:
		c.Doubled++
	case complete && executed == 1:
		c.Single++
	case complete:
		c.Phantom++
	case executed == 1:
		c.Unknown++
	default:
		c.Lost++
	}
}

// endpointCost returns the cost of the endpoints. The stand-ins report endpoint time by supply
// only, so each supply is priced at the mean price of its endpoints.
func endpointCost(exp experiment.Experiment, r Result, info RunInfo) Cost {
	out := r.Cost // setTokenCounts has set CheapShare.
	out.SteadySeconds = info.Close.EndpointSeconds[supplySteady] - info.Open.EndpointSeconds[supplySteady]
	out.CheapSeconds = info.Close.EndpointSeconds[supplyCheap] - info.Open.EndpointSeconds[supplyCheap]
	out.Paid = out.SteadySeconds*meanPrice(exp, supplySteady) + out.CheapSeconds*meanPrice(exp, supplyCheap)
	if r.Total.Attained > 0 {
		out.PaidPerThousand = out.Paid / float64(r.Total.Attained) * 1000
	}
	return out
}

// meanPrice returns the mean price of a second of an endpoint of the supply.
func meanPrice(exp experiment.Experiment, supply string) float64 {
	total, count := 0.0, 0
	for _, engines := range exp.Engines {
		if engines.Supply == supply || (engines.Supply == "" && supply == supplySteady) {
			// A group has either Count, or a pool whose size Max stands for.
			number := engines.Count + engines.Max
			total += float64(engines.Cost) * float64(number)
			count += number
		}
	}
	if supply == supplySteady {
		for _, services := range exp.Services {
			total += float64(services.Cost) * float64(services.Count)
			count += services.Count
		}
	}
	if count == 0 {
		return 0
	}
	return total / float64(count) / hourSeconds
}

func compareUsage(after control.State, delivered int64) UsageState {
	state := UsageState{Reports: len(after.Usage), DeliveredTokens: delivered}
	delays := newHistogram()
	for _, received := range after.Usage {
		if received.Verdict == "differs" {
			state.Differs++
		}
		if received.Verdict != "billed" {
			continue
		}
		_ = delays.RecordValue(received.At.Sub(received.Report.Window).Microseconds())
		for _, figures := range received.Report.Figures {
			state.ReportedTokens += figures.OutputTokens
		}
	}
	state.ReportedShare = ratio(float64(state.ReportedTokens), float64(delivered))
	state.Late = quantiles(delays)
	return state
}

func callsBetween(before, after control.State) map[string]map[string]int64 {
	out := map[string]map[string]int64{}
	for service, kinds := range after.Calls {
		out[service] = map[string]int64{}
		for kind, count := range kinds {
			out[service][kind] = count - before.Calls[service][kind]
		}
	}
	return out
}
