// Package result computes what an experiment is judged by, and keeps it in a file.
//
// # Usage
//
//	collector := result.NewCollector(loaded)
//	collector.Add(request, outcome)
//	measured := collector.Result(result.Frame{Seed: 1, Label: "Winch", Before: before, After: after})
//	err := result.Save("out/winch-1.json", measured)
//
// Attainment is the share of all arrivals, refused ones included, that got the
// whole answer with the first token and the mean time between tokens in target.
package result

import (
	"encoding/json"
	"fmt"
	"os"
	"time"

	"github.com/arbutuswinch/winch/winchload/experiment"
)

// Result is the measures of one run.
type Result struct {
	Experiment string
	Label      string
	Seed       uint64
	Started    time.Time
	// Measured is the time that was counted, without the warm-up.
	Measured experiment.Duration

	Total         Group
	Classes       []Group
	Tiers         []Group
	Organisations []Group
	// Worst is the organisation with the lowest attainment of those with enough requests.
	Worst Group

	// Goodput is output tokens and requests a second that attained their targets.
	GoodputTokens   float64
	GoodputRequests float64
	// WastedTokens were produced by engines and are not part of any whole answer.
	ProducedTokens int64
	WastedTokens   int64
	WastedShare    float64
	// PrefillTokens were computed, CachedTokens were found in the engines' caches.
	PrefillTokens int64
	CachedTokens  int64

	Cost          Cost
	Confirmations Confirmations
	// FalseRefusals are attempts that were said to be not run, and that an endpoint had taken.
	FalseRefusals int
	Codes         map[string]int
	// LateSends counts requests that the load tool itself sent more than LateSend after their time.
	LateSends int
	Usage     UsageState
	Notes     Notes
	// Audit is nil when the hosts' decisions were not read.
	Audit     *Audit
	Processes []Process
	Calls     map[string]map[string]int64
	Series    []Point
}

// Group is the measures of a set of requests. Times are in milliseconds.
type Group struct {
	Name       string
	Offered    int
	Attained   int
	Whole      int
	Refused    int
	Failed     int
	Cut        int
	Wrong      int
	Unreached  int
	Attainment float64
	FirstToken Quantiles
	InterToken Quantiles
	Took       Quantiles
}

// Quantiles of a time, in milliseconds.
type Quantiles struct {
	P50, P95, P99, Max float64
}

// Cost is what was paid for endpoints, in thousandths of the currency unit.
type Cost struct {
	SteadySeconds float64
	CheapSeconds  float64
	Paid          float64
	// PaidPerThousand is the cost of a thousand attained requests.
	PaidPerThousand float64
	// CheapShare is the share of output tokens that cheap engines produced.
	CheapShare float64
}

// Confirmations are the keyed requests.
type Confirmations struct {
	Offered int
	// Single were answered and executed exactly once.
	Single int
	// Doubled were executed more than once.
	Doubled int
	// Phantom were answered as done and never executed.
	Phantom int
	// Unknown were executed once but their caller got no whole answer.
	Unknown int
	// Lost were neither executed nor answered as done.
	Lost int
}

// UsageState is how the usage reports stand.
type UsageState struct {
	Reports int
	Differs int
	// ReportedTokens are the output tokens in billed windows, DeliveredTokens those that callers received.
	ReportedTokens  int64
	DeliveredTokens int64
	ReportedShare   float64
	// Late is the time from a window's start to its report.
	Late Quantiles
}

// Notes says how release notes fared during the run. Times are in milliseconds.
type Notes struct {
	Applied int
	Failed  int
	// InForce are the times after which an added key was last refused by any host,
	// UsedAfter those after which a withdrawn key was last taken.
	InForce   []float64
	UsedAfter []float64
}

// Audit counts decisions, and those that broke a rule.
type Audit struct {
	Routed      int
	Refused     int
	Preemptions int
	// ShedKnown were refused although the deciding host knew of lower-tier work that could be given up.
	ShedKnown int
	// The others are judged by the merged lines of all hosts. ShedTrue were refused although such work ran, known or not.
	ShedTrue  int
	Preempted int
	Starved   int
	LateWork  int
}

// Process is the cost of one process.
type Process struct {
	Name string
	// CPU is the processor time in seconds, Memory the largest resident size in bytes.
	CPU    float64
	Memory int64
}

// Point is one second of the run by arrival.
type Point struct {
	Second   int
	Class    string
	Offered  int
	Attained int
	Refused  int
	// FirstToken is the 95th percentile in milliseconds.
	FirstToken float64
}

// Save writes the result as JSON.
func Save(path string, measured Result) error {
	encoded, err := json.MarshalIndent(measured, "", " ")
	if err != nil {
		return fmt.Errorf("encode result: %w", err)
	}
	if err := os.WriteFile(path, append(encoded, '\n'), 0o644); err != nil {
		return fmt.Errorf("write result: %w", err)
	}
	return nil
}

// Load reads a result.
func Load(path string) (Result, error) {
	encoded, err := os.ReadFile(path)
	if err != nil {
		return Result{}, fmt.Errorf("read result: %w", err)
	}
	measured := Result{}
	if err := json.Unmarshal(encoded, &measured); err != nil {
		return Result{}, fmt.Errorf("decode result %s: %w", path, err)
	}
	return measured, nil
}
