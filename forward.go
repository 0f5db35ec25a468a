package winch

import (
	"context"
	"io"
	"net/http"
	"sort"
	"time"
)

// ForwardKind states whether requests of a forwarding route may be retried.
type ForwardKind string

// The kinds of forwarding routes.
const (
	// ForwardIdempotent: requests may be executed more than once.
	ForwardIdempotent ForwardKind = "Idempotent"
	// ForwardOnce: requests are executed at most once.
	ForwardOnce ForwardKind = "Once"
	// ForwardStream: responses are event streams. A request is executed at most once,
	// unless its route allows streams to be resumed.
	ForwardStream ForwardKind = "Stream"
)

// Grade is the importance of an organisation; 0 is the highest. Requests of organisations of a
// higher grade are served before those of a lower one, whatever their route.
type Grade int

// NoGrade stands for organisations without a grade and for requests without an organisation. It
// only selects a class in Forward.Classes and has no rank among the grades.
const NoGrade Grade = -1

// ClassRange assigns a request class to a range of grades, which ends where the next range begins.
type ClassRange struct {
	From  Grade
	Class ClassID
}

// ForwardTarget is one of the services to which a forwarding route distributes its requests.
type ForwardTarget struct {
	// Model is the ID of the service. Forwarding treats each service as a model.
	Model ModelID
	// Weight is the target's share relative to the others.
	Weight int
}

// Forward is a forwarding route: it forwards requests for a host name and path
// prefix to endpoints without changing their bytes.
type Forward struct {
	ID RouteID
	// Host is the host name without a port.
	Host string
	// Prefix begins and ends with a slash.
	Prefix string
	Kind   ForwardKind
	// Resumable is set when a stream may be continued at another endpoint.
	Resumable bool
	// Open allows callers without a key to use the route.
	Open bool
	// Timeout is the longest time a request waits for its response.
	Timeout time.Duration
	// MaxAttempts is the maximum number of endpoints to which one request is sent.
	MaxAttempts int
	Targets     []ForwardTarget
	// Classes are the request classes by the grade of the organisation, in ascending order. The first range
	// begins with NoGrade.
	Classes []ClassRange
}

// Class returns the request class of organisations with the grade; empty if there is none.
func (f *Forward) Class(grade Grade) ClassID {
	next := sort.Search(len(f.Classes), func(i int) bool { return f.Classes[i].From > grade })
	if next == 0 {
		return ""
	}
	return f.Classes[next-1].Class
}

// Repeatable reports whether a request may be sent again although an earlier attempt was possibly
// executed.
func (f *Forward) Repeatable() bool {
	return f.Kind == ForwardIdempotent || f.Kind == ForwardStream && f.Resumable
}

// ForwardLimits limits the size of requests to forwarding routes. Zero means no limit.
type ForwardLimits struct {
	// HeaderBytes limits the total size of the names and values in a request's header.
	HeaderBytes int
	BodyBytes   int64
}

// Scaling limits how many endpoints of a model may be ordered in each data centre.
type Scaling struct {
	Model ModelID
	// Min and Max are the minimum and maximum number of endpoints in each data centre.
	Min int
	Max int
	// StartTime is the time from an order until the endpoint is ready.
	StartTime time.Duration
	// DataCentres are the data centres in which endpoints may be ordered, sorted; empty means all.
	DataCentres []DataCentreID
}

// ColdStart describes the endpoints of a model that are cold for some time after a start, or turn cold later. A cold endpoint
// fails if it gets more requests than its rate.
type ColdStart struct {
	// Duration is how long an endpoint is cold after its start, unless the endpoint states otherwise.
	Duration time.Duration
	// Rate is the rate of requests, from all hosts together, that a cold endpoint sustains. Zero means that endpoints are never cold.
	Rate RequestRate
}

// ScalingPool returns the ID of the pool of a model's endpoints of one supply in a data centre.
// Pool IDs are only compared; they are not split into their parts again.
func ScalingPool(model ModelID, centre DataCentreID, supply Supply) PoolID {
	return PoolID(string(model) + "/" + string(centre) + "/" + string(supply))
}

// ConfigurationSource reads the configuration from the store in which operators keep it.
type ConfigurationSource interface {
	// Fetch returns the newest configuration in its stored form, and the version of its entry.
	// It returns nil when the entry still has the known version. Errors: ErrNotFound before the
	// first configuration, ErrUnavailable and ErrRateLimited.
	Fetch(ctx context.Context, known Version, read LongRead) ([]byte, Version, error)
	// Decode decodes the stored form that Fetch returned. Fetch may have been called by another
	// host, which relays the stored form. The error matches ErrInvalid.
	Decode(raw []byte) (*Configuration, error)
}

// ConfirmedConfigurations also provides the time at which the configuration was last confirmed
// to be the newest.
type ConfirmedConfigurations interface {
	Configurations
	// ConfirmedAt returns the latest time, by the host's clock, at which the current
	// configuration was known to be the newest; zero when it never was.
	ConfirmedAt() time.Time
	// Superseded reports whether a newer configuration is known to exist that was not received yet, by a host that is in contact with others
	// or with the source. An isolated host goes on as if it had not heard of it.
	Superseded(now time.Time) bool
}

// EndpointLister reads the list of registered endpoints.
type EndpointLister interface {
	ListEndpoints(ctx context.Context, now time.Time) ([]EndpointStatus, error)
}

// PromptPart is a part of a prompt that other requests may share.
type PromptPart struct {
	ID     PrefixHash
	Tokens Tokens
}

// ForwardRequest holds the decoded header fields of a caller's request.
type ForwardRequest struct {
	ID RequestID
	// Host is the host name without a port.
	Host string
	// Target is the path with the query, byte for byte as received.
	Target string
	// Path is Target without the query.
	Path   string
	Method string
	// Secret is the caller's key; empty when there is none.
	Secret string
	// Timeout is the caller's timeout; zero when the caller sent none.
	Timeout      time.Duration
	InputTokens  Tokens
	OutputTokens Tokens
	// OutputHint is the caller's estimate of the number of output tokens; zero when there is none.
	OutputHint Tokens
	// Parts are the parts of the prompt in order; the last one is specific to the request or its session.
	Parts []PromptPart
	// LastEvent is the event after which a stream is resumed; zero means from the start.
	LastEvent int64
	// Resumes is the request that brought the caller the first event of the stream that is resumed; empty if the caller does not
	// resume one, or does not say.
	Resumes RequestID
	// Header holds the headers that are forwarded to the endpoint.
	Header http.Header
}

// StreamID identifies the request's stream over all attempts of the caller: it is the request that brought its first event.
func (r *ForwardRequest) StreamID() RequestID {
	if r.Resumes != "" && r.LastEvent > 0 {
		return r.Resumes
	}
	return r.ID
}

// ForwardCall is one attempt to execute a forwarded request at an endpoint.
type ForwardCall struct {
	Request *ForwardRequest
	Body    []byte
	// Organisation is empty for requests without a key.
	Organisation OrganisationID
	Tier         Tier
	// Timeout is the remaining time of the request.
	Timeout time.Duration
	// LastEvent is the last event that the caller has received. It is that of the request at
	// first, and advances when an attempt delivers events.
	LastEvent int64
	// Again is set if the endpoint has had the request before.
	Again bool
}

// ForwardReply is the response of an endpoint to a forwarded request. Body must be
// closed; closing it before EOF closes the connection. Read returns io.EOF only when
// the body is complete as far as its framing tells.
type ForwardReply struct {
	Status int
	// Header holds the headers that are forwarded to the caller.
	Header http.Header
	Body   io.ReadCloser
	// NotExecuted is set when the endpoint did not execute the request and never will.
	NotExecuted bool
	// Misdirected is set, in addition to NotExecuted, when the address now belongs to another endpoint.
	Misdirected bool
	// Authentic is set when the response bears a signature of the endpoint. The signature is not
	// verified.
	Authentic bool
	// EndsWithConnection, Length and ConnectionAge are those of ExchangeAnswer.
	EndsWithConnection bool
	Length             int64
	ConnectionAge      time.Duration
	// Load is nil when the endpoint does not report its load.
	Load *EndpointLoad
	// Leaving, RestsFor and Rate are those of EndpointWord.
	Leaving  bool
	RestsFor time.Duration
	Rate     RateWord
}

// EndpointLoad is the load that an endpoint reports in a response.
type EndpointLoad struct {
	Running int
	Waiting int
	Slots   int
	Pace    PaceWord
}

// ForwardSender sends forwarded requests to endpoints. It never retries a request on its own.
//
// Errors: ErrUnavailable means that no byte can have reached the endpoint,
// ErrOutcomeUnknown that some may have. After ErrResponseMismatch the outcome is unknown as well.
type ForwardSender interface {
	EndpointStarts
	Forward(ctx context.Context, endpoint Endpoint, call ForwardCall) (*ForwardReply, error)
}

// ExchangeCall is one HTTP request as it is written to the connection. It is not related to the
// exchange of state between hosts (Section).
type ExchangeCall struct {
	// Address is the IP address and port of the server.
	Address string
	// Peer names the server. Connections are pooled by peer, because another server may get the address later.
	Peer   string
	Method string
	// Target is the path with the query.
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// ID is the request ID, which the server echoes in the header named by IDHeader. A call without one gets a new connection.
	ID       string
	IDHeader string
	// NewConnection is set if the server has had a call with the same ID before: on the connection of that call, it may write its
	// response to that once more.
	NewConnection bool
}

// ExchangeAnswer is the response to an ExchangeCall. Body must be closed; Read returns io.EOF
// only when the body is complete as far as its framing tells.
type ExchangeAnswer struct {
	Status int
	Header http.Header
	Body   io.ReadCloser
	// EndsWithConnection is set when the body has neither a length nor chunks: it ends when the
	// server closes the connection, which a server that was killed does as well.
	EndsWithConnection bool
	// Length is the length in bytes that the head states for the body; 0 if it states none.
	Length int64
	// ConnectionAge is how long the connection had been open when the head of the response was read.
	ConnectionAge time.Duration
}

// Exchanger makes HTTP calls, each of which is written at most once.
//
// Errors: ErrUnavailable means that no byte was written, ErrOutcomeUnknown that some may
// have been. ErrResponseMismatch is returned in addition when the response belonged to another call.
type Exchanger interface {
	Exchange(ctx context.Context, call ExchangeCall) (*ExchangeAnswer, error)
}

// ForwardProtocol translates the headers of callers' requests and of responses that the host itself generates.
type ForwardProtocol interface {
	// Decode reads a request's header. The error matches ErrInvalid and names the field; the
	// returned request then holds the fields that could be read.
	Decode(r *http.Request) (*ForwardRequest, error)
	// Refuse sets the headers of a response with which the host itself rejects a request.
	// retryAfter is zero when the caller should not retry.
	Refuse(header http.Header, request *ForwardRequest, retryAfter time.Duration)
}
