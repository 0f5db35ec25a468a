package winch

import (
	"context"
	"time"
)

// EndpointCrash is the crash of an endpoint to which a request had been sent that had no output yet.
type EndpointCrash struct {
	Request  RequestID
	Endpoint EndpointID
	// Parts are the parts of the request's prompt that other requests may share, in order.
	Parts []PrefixHash
	// SentAt is when the request was sent, At when its connection broke.
	SentAt time.Time
	At     time.Time
	// StartedAt is when the endpoint had started, by its own clock; zero if it does not tell.
	StartedAt time.Time
}

// Quarantine finds the parts of prompts that crash endpoints, and holds back the requests that have them. Its methods do not block.
type Quarantine interface {
	// Admit reports whether the request may be sent: none of its parts is in quarantine. At times it admits a
	// single request of all hosts as a trial. It gives the same answer to the same request while the trial lasts.
	Admit(now time.Time, request *ForwardRequest) bool
	// MayRetry reports whether the request may be sent to another endpoint after its attempt broke.
	MayRetry(request *ForwardRequest) bool
	// ObserveOutput tells that an endpoint has sent output for the request.
	ObserveOutput(now time.Time, request *ForwardRequest)
	// ObserveBreak tells that an attempt, sent at sentAt, broke before the endpoint had sent any output.
	ObserveBreak(now, sentAt time.Time, endpoint Endpoint, request *ForwardRequest)
}

// ConnectionProber tells a server that has ended from one that is only slow or unreachable.
type ConnectionProber interface {
	// Refuses reports whether the host at the IP address and port answers and refuses the connection,
	// as it does when no process listens there.
	Refuses(ctx context.Context, address string) bool
}

// EndpointStarts tells an endpoint that could not be reached for a while from one that has started again.
type EndpointStarts interface {
	// StartedAt asks a model engine when it started, by its own clock. The result is zero if it does not tell.
	StartedAt(ctx context.Context, endpoint Endpoint) (time.Time, error)
}

// SharedParts returns the parts of the prompt that other requests may share: all but the last one.
func (r *ForwardRequest) SharedParts() []PrefixHash {
	if len(r.Parts) < 2 {
		return nil
	}
	shared := make([]PrefixHash, 0, len(r.Parts)-1)
	for _, part := range r.Parts[:len(r.Parts)-1] {
		shared = append(shared, part.ID)
	}
	return shared
}
