package caller

import "time"

// Kind says how a request ended for its caller.
type Kind string

// The kinds of outcomes.
const (
	// Whole means that the caller received the complete answer to its own request.
	Whole Kind = "Whole"
	// Refused means that the answer says that the request was not run.
	Refused Kind = "Refused"
	// Failed means that an error answer or error event came that does not say "not run".
	Failed Kind = "Failed"
	// Cut means that the connection ended, or the caller's timeout passed, without a complete
	// answer or an error.
	Cut Kind = "Cut"
	// Wrong means that the answer belongs to another request, is malformed, or has
	// missing, duplicate or misordered tokens.
	Wrong Kind = "Wrong"
	// Unreached means that no target accepted the connection.
	Unreached Kind = "Unreached"
)

// RunState says whether the request of an error answer was run.
type RunState string

// The values of the header X-Run-State.
const (
	NotRun         RunState = "not_run"
	Ran            RunState = "ran"
	OutcomeUnknown RunState = "outcome_unknown"
)

// Outcome is the end of one request.
type Outcome struct {
	Kind Kind
	// Code is the code of the error answer, or this package's code for what is wrong
	// with the answer.
	Code     string
	Status   int
	RunState RunState
	// RetryAfter is the delay that the answer asked for, or zero.
	RetryAfter time.Duration
	// FirstToken and Took are measured from the planned arrival time.
	FirstToken time.Duration
	Took       time.Duration
	Tokens     int
	// LongestGap is the longest time between two deliveries of tokens.
	LongestGap time.Duration
	// Execution is the number of executions of the idempotency key, or else of the request id,
	// according to a plain service's answer.
	Execution int
	// NotRun holds the ids of the transmissions whose answers said that they were not run.
	NotRun []string
	// Attempts is the number of transmissions, including repeats.
	Attempts int
}

// InterToken returns the mean time between tokens.
func (o Outcome) InterToken() time.Duration {
	if o.Tokens < 2 {
		return 0
	}
	return (o.Took - o.FirstToken) / time.Duration(o.Tokens-1)
}
