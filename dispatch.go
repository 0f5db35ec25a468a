package winch

import (
	"context"
	"fmt"
	"time"
)

// Work describes a caller's request for which the dispatcher is to find a slot.
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
	// OutputHint is the caller's estimate of the number of output tokens; zero when unknown.
	OutputHint Tokens
	// Parts are the parts of the prompt that other requests may share, in order.
	Parts []PromptPart
	// NotResumable is set when the response cannot be continued at another endpoint, so that the request
	// is not preempted and stays at a leaving endpoint.
	NotResumable bool
	// NonStreaming is set when the response is not streamed. It does not refer to plain services.
	NonStreaming bool
	// OutputDone is the number of output tokens that the caller has already received from
	// earlier endpoints. A request whose response has started, but whose tokens were not counted,
	// has the value 1.
	OutputDone Tokens
	// Software is the software version of the endpoint that began the response. Only endpoints of that version may continue it. It
	// is empty when the response has not started, or when that version is not known.
	Software SoftwareVersion
	Arrived  time.Time
	Deadline time.Time
	// Excluded are the endpoints at which the request has already failed.
	Excluded []EndpointID
	// LocalOnly forbids forwarding the request to another data centre.
	LocalOnly bool
}

// RefusalReason is the error code of a refusal.
type RefusalReason string

// The reasons for refusing a request before it was executed.
const (
	// RefusedQueueFull: the queue of the class was full.
	RefusedQueueFull RefusalReason = "queue_full"
	// RefusedWait: the request would have waited, or has waited, too long for its class.
	RefusedWait RefusalReason = "predicted_wait"
	// RefusedDeadline: the request would not have been served before its deadline.
	RefusedDeadline RefusalReason = "deadline"
	// RefusedNoEndpoint: there is no endpoint for the request.
	RefusedNoEndpoint RefusalReason = "no_endpoint"
	// RefusedEvacuated: all endpoints for the request are in evacuated data centres.
	RefusedEvacuated RefusalReason = "evacuated"
	// RefusedSoftware: the response has started, and no endpoint of the software version that began it serves, or that
	// version is not known.
	RefusedSoftware RefusalReason = "software_version"
	// RefusedShed: a queue was full, and the request was removed from its queue in favour of a
	// request of a higher tier.
	RefusedShed RefusalReason = "shed_for_higher_tier"
	// RefusedRetryBudget: an attempt failed, and the retry budget was used up.
	RefusedRetryBudget RefusalReason = "retry_budget"
	// RefusedWithdrawn: the caller's key was withdrawn.
	RefusedWithdrawn RefusalReason = "key_withdrawn"
	// RefusedClaimUnknown: it is not known whether the idempotency key could be claimed.
	RefusedClaimUnknown RefusalReason = "claims_unavailable"
	// RefusedStopping: the host is shutting down.
	RefusedStopping RefusalReason = "stopping"
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
	// OutcomeRestarted: the endpoint has started again since it was listed. It never received the request.
	OutcomeRestarted
)

// Dispatcher queues requests and assigns each a slot at an endpoint.
type Dispatcher interface {
	// Acquire waits for a slot. It returns a *Refusal as soon as it is known that the
	// request will not get one, or the context's error when the caller disconnected.
	Acquire(ctx context.Context, now time.Time, work Work) (Slot, error)
	// Retry spends one retry from the retry budget of the request's model or route. It returns
	// false when the budget is used up and the request must not be retried.
	Retry(now time.Time, work Work) bool
}

// Slot is the right to run one request at an endpoint. Release must be called exactly once.
type Slot interface {
	Endpoint() Endpoint
	// StartedAt returns when the listed run of the endpoint started, by the endpoint's clock. It is zero if that is not known.
	StartedAt() time.Time
	// Preempted returns a channel that is closed when the stream should move to another
	// endpoint, because a higher tier needs the slot or the endpoint is shutting down.
	Preempted() <-chan struct{}
	// Evacuated reports whether the endpoint's data centre has been evacuated since the slot was granted, or may have been while this process
	// was stopped. If so, the caller must not send the request, but release the slot with OutcomeCancelled and acquire another one.
	Evacuated(now time.Time) bool
	// FirstToken reports that the first token, or the first byte of a plain service's response, has arrived.
	FirstToken(now time.Time)
	// Restarted reports that the endpoint has started again since it was listed, so that its software version is not known.
	Restarted(now time.Time)
	// Tokens reports that count more output tokens have arrived.
	Tokens(now time.Time, count Tokens)
	Release(now time.Time, outcome Outcome)
}

// UsageRecord is usage that a request caused at an endpoint. A request may have several records,
// of which one at most has Requests set to 1 and the others to 0.
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

// ClaimState is the result of claiming a request with an idempotency key.
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
	State ClaimState
	// Status and Body are the stored response. They and ContentType are set only with ClaimFinished.
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
	// BodyHash is a hash of the request, by which a different request with the same key is detected.
	BodyHash [32]byte
}

// Claims ensures that a request with an idempotency key is executed at most once across all hosts.
type Claims interface {
	// Acquire claims the request. Errors: ErrUnavailable when the request was not
	// claimed, ErrOutcomeUnknown when it may have been; in both cases it must not be executed.
	Acquire(ctx context.Context, now time.Time, request ClaimRequest) (Claim, error)
	// Finish stores the response, which is returned to later attempts.
	Finish(ctx context.Context, now time.Time, request ClaimRequest, result Claim) error
	// Abandon releases the claim of a request that was not executed.
	Abandon(ctx context.Context, now time.Time, request ClaimRequest) error
}
