package caller

import "time"

// Kind says how a request ended for its caller.
type Kind string

// The ends of a request.
const (
	// Whole: the whole answer came, and it was the caller's own.
	Whole Kind = "Whole"
	// Refused: the answer says that the request was not run.
	Refused Kind = "Refused"
	// Failed: an error answer or error event came that does not say "not run".
	Failed Kind = "Failed"
	// Cut: neither a whole answer nor an error came.
	Cut Kind = "Cut"
	// Wrong: an answer came that is not the caller's own, or tokens are missing, doubled or out of order.
	Wrong Kind = "Wrong"
	// Unreached: no target took the connection.
	Unreached Kind = "Unreached"
)

// RunState is what an error answer says of the request.
type RunState string

// The states that the router tells.
const (
	NotRun         RunState = "not_run"
	Ran            RunState = "ran"
	OutcomeUnknown RunState = "outcome_unknown"
)

// Outcome is the end of one request.
type Outcome struct {
	Kind Kind
	// Code is the error's code, or what was wrong.
	Code     string
	Status   int
	RunState RunState
	// RetryAfter is zero when none was named.
	RetryAfter time.Duration
	// FirstToken and Took are counted from the planned arrival.
	FirstToken time.Duration
	Took       time.Duration
	Tokens     int
	// LongestGap is the longest time between two deliveries.
	LongestGap time.Duration
	// Execution is the number of the execution that a plain service answered with.
	Execution int
	// NotRun are the ids of the attempts of which an answer said that they were not run.
	NotRun []string
	// Attempts counts the sendings, repeats included.
	Attempts int
}

// InterToken returns the mean time between tokens.
func (o Outcome) InterToken() time.Duration {
	if o.Tokens < 2 {
		return 0
	}
	return (o.Took - o.FirstToken) / time.Duration(o.Tokens-1)
}
