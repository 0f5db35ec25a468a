package winch

import (
	"context"
	"fmt"
	"time"
)

// Work describes one request to the dispatcher.
type Work struct {
	Request      RequestID
	Organisation OrganisationID
	Class        ClassID
	// Model is set for engines, Route for plain services.
	Model   ModelID
	Adapter AdapterID
	Route   RouteID
	Prefix  PrefixHash
	// InputTokens is an estimate.
	InputTokens Tokens
	// OutputTokens is the most output that the caller asked for; zero when unknown.
	OutputTokens Tokens
	// Parts are the parts of the prompt that other requests may share, in their order.
	Parts []PromptPart
	// Fixed says that the request cannot go on elsewhere once it was sent.
	Fixed bool
	// Plain says that the answer is no stream.
	Plain bool
	// OutputDone counts the tokens already delivered, on a stream that resumes.
	OutputDone Tokens
	Arrived    time.Time
	Deadline   time.Time
	// Excluded are endpoints that failed the request before.
	Excluded []EndpointID
	// Local forbids handing the request over to another data centre.
	Local bool
}

// RefusalReason is the code of a refusal.
type RefusalReason string

// The reasons for which a request is refused without having been run.
const (
	RefusedQueueFull    RefusalReason = "queue_full"
	RefusedWait         RefusalReason = "predicted_wait"
	RefusedDeadline     RefusalReason = "deadline"
	RefusedNoEndpoint   RefusalReason = "no_endpoint"
	RefusedShed         RefusalReason = "shed_for_higher_tier"
	RefusedRetryBudget  RefusalReason = "retry_budget"
	RefusedWithdrawn    RefusalReason = "key_withdrawn"
	RefusedClaimUnknown RefusalReason = "claims_unavailable"
	RefusedStopping     RefusalReason = "stopping"
)

// Refusal says that a request was not run. It matches ErrRefused.
type Refusal struct {
	Reason RefusalReason
	// RetryAfter is when the caller should come back.
	RetryAfter time.Duration
}

// Error returns the reason.
func (r *Refusal) Error() string { return fmt.Sprintf("refused: %s", r.Reason) }

// Is reports whether target is ErrRefused.
func (r *Refusal) Is(target error) bool { return target == ErrRefused }

// Outcome says how the use of a slot ended.
type Outcome int

// The outcomes of a slot's use.
const (
	// OutcomeDone: answered in full.
	OutcomeDone Outcome = iota
	// OutcomeCancelled: the caller went away, or the slot was preempted.
	OutcomeCancelled
	// OutcomeUnsent: the endpoint could not be reached and never saw the request.
	OutcomeUnsent
	// OutcomeFailed: the endpoint broke the request off or answered with a server error.
	OutcomeFailed
	// OutcomeRejected: the endpoint refused the request for its load and did not run it.
	OutcomeRejected
)

// Dispatcher queues requests and gives each a slot of an endpoint.
type Dispatcher interface {
	// Acquire waits for a slot. It returns a *Refusal when the request is given
	// up, at once when that is known, or the context's error when the caller left.
	Acquire(ctx context.Context, now time.Time, work Work) (Slot, error)
	// Retry spends from the retry budget of the endpoint's group; false means
	// that the request must not be tried again.
	Retry(now time.Time, work Work) bool
}

// Slot is the right to run one request on one endpoint. Release must be called once.
type Slot interface {
	Endpoint() Endpoint
	// Preempted returns a channel that is closed when the stream should move off
	// the endpoint: a higher tier needs it, or the endpoint leaves.
	Preempted() <-chan struct{}
	FirstToken(now time.Time)
	Tokens(now time.Time, count Tokens)
	Release(now time.Time, outcome Outcome)
}

// UsageRecord is the use of an endpoint by one request, or by a part of it.
type UsageRecord struct {
	Organisation OrganisationID
	Class        ClassID
	Supply       Supply
	Requests     int64
	InputTokens  Tokens
	OutputTokens Tokens
}

// UsageRecorder counts what organisations used.
type UsageRecorder interface {
	Record(now time.Time, record UsageRecord)
}

// ClaimState says what is known of a keyed request.
type ClaimState int

// The states of a claim.
const (
	// ClaimGranted: this call owns the request and may run it.
	ClaimGranted ClaimState = iota
	// ClaimFinished: the request ran; its answer is kept.
	ClaimFinished
	// ClaimPending: another attempt owns the request, and its outcome is not known.
	ClaimPending
	// ClaimMismatch: the key was used for a different request.
	ClaimMismatch
)

// Claim is the record of a keyed request.
type Claim struct {
	State  ClaimState
	Status int
	Body   []byte
	// ContentType belongs to Body.
	ContentType string
}

// ClaimRequest identifies a keyed request.
type ClaimRequest struct {
	Organisation OrganisationID
	Route        RouteID
	Key          IdempotencyKey
	BodyHash     [32]byte
}

// Claims makes sure that a keyed request runs at most once over all hosts.
type Claims interface {
	// Acquire claims the request. Errors: ErrUnavailable when nothing was
	// claimed, ErrOutcomeUnknown when it cannot be told; in both the request must not run.
	Acquire(ctx context.Context, now time.Time, request ClaimRequest) (Claim, error)
	// Finish keeps the answer, so that repeats get it.
	Finish(ctx context.Context, now time.Time, request ClaimRequest, answer Claim) error
	// Abandon gives the claim back when the request was not run.
	Abandon(ctx context.Context, now time.Time, request ClaimRequest) error
}
