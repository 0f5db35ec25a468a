// Package result computes the measurements of a run and stores them in a file.
//
// # Usage
//
//	collector := result.NewCollector(exp)
//	collector.Add(request, outcome)
//	measured := collector.Result(result.RunInfo{Seed: 1, Label: "Winch", Before: before, After: after})
//	err := result.Save("out/winch-1.json", measured)
//
// Attainment is the share of all arrivals, including refused ones, that received the
// complete answer and met the targets for the first token and the mean time between
// tokens.
package result

import (
	"encoding/json"
	"fmt"
	"os"
	"time"

	"github.com/arbutuswinch/winch/winchload/experiment"
)

// Result holds the measurements of one run.
type Result struct {
	Experiment string
	Label      string
	Seed       uint64
	Started    time.Time
	// Measured is the duration of the run without the warm-up.
	Measured experiment.Duration

	Total         Group
	Classes       []Group
	Tiers         []Group
	Organisations []Group
	// Worst is the organisation with the lowest attainment, among those with at least
	// minWorstRequests requests.
	Worst Group

	// GoodputTokens is the number of output tokens per second of requests that met their targets,
	// GoodputRequests the number of those requests per second.
	GoodputTokens   float64
	GoodputRequests float64
	// ProducedTokens are all output tokens of the engines. WastedTokens are those of them
	// that are not part of any complete answer.
	ProducedTokens int64
	WastedTokens   int64
	WastedShare    float64
	// PrefillTokens are prompt tokens that the engines computed, CachedTokens those that
	// they found in their caches.
	PrefillTokens int64
	CachedTokens  int64

	Cost          Cost
	Confirmations Confirmations
	// FalseRefusals is the number of transmissions that an endpoint accepted although the
	// caller was told that they were not run.
	FalseRefusals int
	// Codes counts incomplete answers by kind and code.
	Codes map[string]int
	// LateSends is the number of requests that the load tool sent more than LateSend after
	// their planned time.
	LateSends int
	Usage     UsageState
	Notes     Notes
	// Audit is nil if the hosts' logs were not audited.
	Audit     *Audit
	Processes []Process
	// Calls counts the calls to the platform, by service and kind of call.
	Calls  map[string]map[string]int64
	Series []Point
}

// Group holds the measurements of a group of requests. The counts from Whole to
// Unreached are by caller.Kind.
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

// Quantiles are quantiles of a duration, in milliseconds.
type Quantiles struct {
	P50, P95, P99, Max float64
}

// Cost is the cost of the endpoints during the measured time.
type Cost struct {
	// SteadySeconds and CheapSeconds are the paid endpoint time by supply.
	SteadySeconds float64
	CheapSeconds  float64
	// Paid is the cost in thousandths of the currency unit.
	Paid float64
	// PaidPerThousand is the cost per thousand requests that met their targets.
	PaidPerThousand float64
	// CheapShare is the share of output tokens that cheap engines produced.
	CheapShare float64
}

// Confirmations counts the requests with an idempotency key. It compares whether their callers got
// a complete answer with how often the requests were executed.
type Confirmations struct {
	Offered int
	// Single were answered completely and executed exactly once.
	Single int
	// Doubled were executed more than once.
	Doubled int
	// Phantom were answered completely but never executed.
	Phantom int
	// Unknown were executed once but their caller received no complete answer.
	Unknown int
	// Lost were neither executed nor answered completely. Requests that were refused or did
	// not reach a host are among them.
	Lost int
}

// UsageState compares the usage reports with what callers received.
type UsageState struct {
	Reports int
	// Differs is the number of reports with the verdict "differs".
	Differs int
	// ReportedTokens are the output tokens in billed windows, DeliveredTokens those that
	// callers received.
	ReportedTokens  int64
	DeliveredTokens int64
	ReportedShare   float64
	// Late is the time from the start of a window to its report, so it includes the length of
	// the window.
	Late Quantiles
}

// Notes holds the measurements of release notes during the run. Times are in
// milliseconds since the note's commit.
type Notes struct {
	// Applied and Failed are the numbers of notes that were and were not committed.
	Applied int
	Failed  int
	// InForce are the times of the last refusal of each added key by any host, UsedAfter
	// the times at which any host last accepted each withdrawn key.
	InForce   []float64
	UsedAfter []float64
}

// Audit counts the hosts' dispatch decisions and those of them that violated a rule.
type Audit struct {
	Routed  int
	Refused int
	// Preemptions is the number of all preempted requests.
	Preemptions int
	// ShedKnown were refused although the deciding host knew of lower-tier work that it
	// could have shed instead.
	ShedKnown int
	// ShedTrue were refused although such work existed on any host, known to the deciding
	// host or not. ShedTrue and the fields below are found in the merged logs of all hosts.
	ShedTrue int
	// Preempted were preempted for a tier that is not higher.
	Preempted int
	// Starved are times in which none of a class's waiting requests was served for too long.
	Starved int
	// LateWork were sent to a leaving endpoint after its notice.
	LateWork int
}

// Process is the resource usage of one process.
type Process struct {
	Name string
	// CPU is the CPU time in seconds, Memory the peak resident memory in bytes.
	CPU    float64
	Memory int64
}

// Point holds the counts of a class's requests that arrived in the same second.
type Point struct {
	// Second is the number of whole seconds since the start of the run.
	Second   int
	Class    string
	Offered  int
	Attained int
	Refused  int
	// FirstToken is the 95th percentile of the time to the first token in milliseconds.
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

// Load reads a result that Save wrote.
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
