package winch

import (
	"context"
	"fmt"
	"time"
)

// Work describes a request to the dispatcher.
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
	// OutputTokens is the caller's output limit; zero when unknown.
	OutputTokens Tokens
	// Parts are the parts of the prompt that other requests may share, in order.
	Parts []PromptPart
	// NotResumable is set when the request cannot be moved to another endpoint once it was sent.
	NotResumable bool
	// NonStreaming is set when the response is not streamed.
	NonStreaming bool
	// OutputDone is the number of tokens already delivered when a stream is resumed.
	OutputDone Tokens
	Arrived    time.Time
	Deadline   time.Time
	// Excluded are the endpoints at which the request has already failed.
	Excluded []EndpointID
	// LocalOnly forbids forwarding the request to another data centre.
	LocalOnly bool
}

// RefusalReason is the error code of a refusal.
type RefusalReason string

// The reasons for refusing a request before it was executed.
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

// Refusal is the error for a request that was not executed. It matches ErrRefused.
type Refusal struct {
	Reason RefusalReason
	// RetryAfter is the time after which the caller should retry.
	RetryAfter time.Duration
}

// Error returns the text with the reason.
func (r *Refusal) Error() string { return fmt.Sprintf("refused: %s", r.Reason) }

// Is reports whether target is ErrRefused.
func (r *Refusal) Is(target error) bool { return target == ErrRefused }

// Outcome states how the request that used a slot ended.
type Outcome int

// The outcomes of a request.
const (
	// OutcomeDone: the response was complete.
	OutcomeDone Outcome = iota
	// OutcomeCancelled: the caller disconnected, or the slot was preempted.
	OutcomeCancelled
	// OutcomeUnsent: the endpoint was unreachable and never received the request.
	OutcomeUnsent
	// OutcomeFailed: the endpoint aborted the request or responded with a server error.
	OutcomeFailed
	// OutcomeRejected: the endpoint was overloaded and rejected the request without executing it.
	OutcomeRejected
)

// Dispatcher queues requests and assigns each a slot at an endpoint.
type Dispatcher interface {
	// Acquire waits for a slot. It returns a *Refusal as soon as it is known that the
	// request will not get one, or the context's error when the caller disconnected.
	Acquire(ctx context.Context, now time.Time, work Work) (Slot, error)
	// Retry takes a retry from the budget of the endpoint's group. It returns false
	// when the budget is used up and the request must not be retried.
	Retry(now time.Time, work Work) bool
}

// Slot is the right to run one request at an endpoint. Release must be called exactly once.
type Slot interface {
	Endpoint() Endpoint
	// Preempted returns a channel that is closed when the stream should move to another
	// endpoint, because a higher tier needs the slot or the endpoint is shutting down.
	Preempted() <-chan struct{}
	FirstToken(now time.Time)
	Tokens(now time.Time, count Tokens)
	Release(now time.Time, outcome Outcome)
}

// UsageRecord is the usage that one request, or a part of it, caused at an endpoint.
type UsageRecord struct {
	Organisation OrganisationID
	Class        ClassID
	Supply       Supply
	Requests     int64
	InputTokens  Tokens
	OutputTokens Tokens
}

// UsageRecorder records the usage of organisations.
type UsageRecorder interface {
	Record(now time.Time, record UsageRecord)
}

// ClaimState is the state of a request with an idempotency key.
type ClaimState int

// The states of a claim.
const (
	// ClaimGranted: this attempt owns the request and may execute it.
	ClaimGranted ClaimState = iota
	// ClaimFinished: the request was executed; its response is stored.
	ClaimFinished
	// ClaimPending: another attempt owns the request, and its outcome is not known yet.
	ClaimPending
	// ClaimMismatch: the key was used for a different request.
	ClaimMismatch
)

// Claim is the record of a request with an idempotency key.
type Claim struct {
	State  ClaimState
	Status int
	Body   []byte
	// ContentType is the media type of Body.
	ContentType string
}

// ClaimRequest identifies a request with an idempotency key.
type ClaimRequest struct {
	Organisation OrganisationID
	Route        RouteID
	Key          IdempotencyKey
	BodyHash     [32]byte
}

// Claims ensures that a request with an idempotency key is executed at most once across all hosts.
type Claims interface {
	// Acquire claims the request. Errors: ErrUnavailable when the request was not
	// claimed, ErrOutcomeUnknown when it may have been; in both cases it must not be executed.
	Acquire(ctx context.Context, now time.Time, request ClaimRequest) (Claim, error)
	// Finish stores the response, which is returned to later attempts.
	Finish(ctx context.Context, now time.Time, request ClaimRequest, answer Claim) error
	// Abandon releases the claim of a request that was not executed.
	Abandon(ctx context.Context, now time.Time, request ClaimRequest) error
}
