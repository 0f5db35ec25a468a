package experiment

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"sort"
	"time"
)

// Requests and faults use separate random streams, so that changing the faults of an
// experiment does not change its requests, and the reverse.
const (
	requestStream uint64 = 1
	faultStream   uint64 = 2
)

// Request is one request of the load.
type Request struct {
	ID           string
	At           time.Duration
	Class        *Class
	Organisation *Organisation
	PromptTokens int
	OutputTokens int
	// Key is the idempotency key; it is set for keyed classes only.
	Key string
}

// PlannedFault is a fault with the time and target that the seed determined.
type PlannedFault struct {
	At     time.Duration
	Target string
	Fault  Fault
}

// Requests returns all requests of the experiment in the order of their arrival. The
// same seed gives the same requests.
func (e Experiment) Requests(seed uint64) []Request {
	random := rand.New(rand.NewPCG(seed, requestStream))
	all := e.organisationsByID(nil)
	requests := []Request{}
	for i := range e.Classes {
		class := &e.Classes[i]
		rate := e.Rate * class.Share
		requests = e.appendArrivals(random, requests, class, all, rate, 0, time.Duration(e.Duration))
		for _, burst := range e.Bursts {
			if len(burst.Classes) > 0 && !slices.Contains(burst.Classes, class.ID) {
				continue
			}
			end := min(time.Duration(burst.Start+burst.Length), time.Duration(e.Duration))
			extra := rate * max(burst.Factor-1, 0)
			requests = e.appendArrivals(random, requests, class, e.organisationsByID(burst.Organisations), extra, time.Duration(burst.Start), end)
		}
	}
	sort.SliceStable(requests, func(i, j int) bool { return requests[i].At < requests[j].At })
	for i := range requests {
		requests[i].ID = fmt.Sprintf("s%d-%d", seed, i)
		if requests[i].Class.Keyed {
			requests[i].Key = "key-" + requests[i].ID
		}
	}
	return requests
}

// appendArrivals appends the arrivals of a Poisson process between two instants.
func (e Experiment) appendArrivals(random *rand.Rand, requests []Request, class *Class, organisations []*Organisation, rate float64, from, to time.Duration) []Request {
	if rate <= 0 || len(organisations) == 0 {
		return requests
	}
	at := from
	for {
		at += time.Duration(random.ExpFloat64() / rate * float64(time.Second))
		if at >= to {
			return requests
		}
		requests = append(requests, Request{
			At:           at,
			Class:        class,
			Organisation: pickOrganisation(random, organisations),
			PromptTokens: class.PromptTokens.sample(random),
			OutputTokens: class.OutputTokens.sample(random),
		})
	}
}

// organisationsByID returns the organisations with the ids, or all if there are no ids.
func (e Experiment) organisationsByID(ids []string) []*Organisation {
	out := []*Organisation{}
	for i := range e.Organisations {
		if len(ids) == 0 || slices.Contains(ids, e.Organisations[i].ID) {
			out = append(out, &e.Organisations[i])
		}
	}
	return out
}

func pickOrganisation(random *rand.Rand, organisations []*Organisation) *Organisation {
	total := 0.0
	for _, organisation := range organisations {
		total += organisation.Load
	}
	at := random.Float64() * total
	for _, organisation := range organisations {
		at -= organisation.Load
		if at < 0 {
			return organisation
		}
	}
	return organisations[len(organisations)-1]
}

// sample returns a random length of at least one token.
func (l Lengths) sample(random *rand.Rand) int {
	if l.Median <= 0 {
		return 1
	}
	length := int(math.Round(l.Median * math.Exp(l.Sigma*random.NormFloat64())))
	if l.Max > 0 {
		length = min(length, l.Max)
	}
	return max(length, 1)
}

// PlannedFaults returns the faults in the order of their time. The same seed gives the
// same faults.
func (e Experiment) PlannedFaults(seed uint64) []PlannedFault {
	random := rand.New(rand.NewPCG(seed, faultStream))
	planned := make([]PlannedFault, 0, len(e.Faults))
	for _, fault := range e.Faults {
		at := time.Duration(fault.At) + time.Duration(random.Float64()*float64(fault.Spread))
		targets := fault.Targets
		if !fault.All {
			targets = []string{fault.Targets[random.IntN(len(fault.Targets))]}
		}
		for _, target := range targets {
			planned = append(planned, PlannedFault{At: at, Target: target, Fault: fault})
		}
	}
	sort.SliceStable(planned, func(i, j int) bool { return planned[i].At < planned[j].At })
	return planned
}
