package winch

import (
	"context"
	"io"
	"net/http"
	"time"
)

// ForwardKind says what may be repeated of the requests of a forwarding route.
type ForwardKind string

// The kinds of forwarding routes.
const (
	// ForwardIdempotent: requests may run more than once.
	ForwardIdempotent ForwardKind = "Idempotent"
	// ForwardOnce: requests run at most once.
	ForwardOnce ForwardKind = "Once"
	// ForwardStream: answers are streams of events. A request runs at most once, unless
	// its route allows it to be resumed.
	ForwardStream ForwardKind = "Stream"
)

// Grade orders organisations by importance; 0 is the highest. Requests of a higher grade
// go before others whatever their route.
type Grade int

// NoGrade stands for organisations without a grade, and for requests without an organisation.
const NoGrade Grade = -1

// ForwardTarget is a service among which a forwarding route shares its requests.
type ForwardTarget struct {
	Model ModelID
	// Weight is the target's share relative to the others.
	Weight int
}

// Forward is a forwarding route: it passes requests of a host name, below a path
// prefix, on to endpoints, with their bytes unchanged.
type Forward struct {
	ID RouteID
	// Host is the host name without a port; Prefix begins and ends with a slash.
	Host   string
	Prefix string
	Kind   ForwardKind
	// Resumable says that a stream may go on at another endpoint.
	Resumable bool
	// Open lets callers without a key use the route.
	Open bool
	// Timeout is the longest that a request is kept waiting for its answer.
	Timeout time.Duration
	// MaxAttempts is the most endpoints to which one request is sent.
	MaxAttempts int
	Targets     []ForwardTarget
	// Classes are the request classes by the grade of the organisation.
	Classes map[Grade]ClassID
}

// Repeatable tells whether a request may be sent again after it may have run.
func (f *Forward) Repeatable() bool {
	return f.Kind == ForwardIdempotent || f.Kind == ForwardStream && f.Resumable
}

// ForwardLimits bound what callers may send to forwarding routes. Zero stands for no limit.
type ForwardLimits struct {
	// HeaderBytes bounds the names and values of a request's header together.
	HeaderBytes int
	BodyBytes   int64
}

// Scaling says how many endpoints of a model may be ordered in each data centre.
type Scaling struct {
	Model ModelID
	Min   int
	Max   int
	// StartTime is the time from an order until an endpoint serves.
	StartTime time.Duration
	// DataCentres are those in which they may be ordered, sorted; none stands for all.
	DataCentres []DataCentreID
}

// ScalingPool names the pool of a model's endpoints of one supply in a data centre.
func ScalingPool(model ModelID, centre DataCentreID, supply Supply) PoolID {
	return PoolID(string(model) + "/" + string(centre) + "/" + string(supply))
}

// ConfigurationSource reads the configuration from where operators keep it.
type ConfigurationSource interface {
	// Fetch returns the newest configuration as it is kept, and the version of its entry. It
	// returns nil when the entry still has the known version. Errors: ErrNotFound before the
	// first configuration, ErrUnavailable and ErrRateLimited.
	Fetch(ctx context.Context, known Version) ([]byte, Version, error)
	// Decode reads what Fetch returned here or at another host. The error matches ErrInvalid.
	Decode(raw []byte) (*Configuration, error)
}

// ConfirmedConfigurations tells besides how old the evidence is that the configuration is the newest.
type ConfirmedConfigurations interface {
	Configurations
	// ConfirmedAt returns the instant at which the configuration in force was known to be the
	// newest, by the host's clock; zero when it never was.
	ConfirmedAt() time.Time
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

// ForwardRequest is what a caller's request says of itself.
type ForwardRequest struct {
	ID RequestID
	// Host is the host name without a port.
	Host string
	// Target is the path with the query, byte by byte as it came; Path is Target without the query.
	Target string
	Path   string
	Method string
	// Secret is the caller's key; empty when there is none.
	Secret string
	// Timeout is how long the caller waits; zero when it does not say.
	Timeout      time.Duration
	InputTokens  Tokens
	OutputTokens Tokens
	// Parts are the parts of the prompt in their order; the last belongs to the request or its session.
	Parts []PromptPart
	// LastEvent is the event after which a stream is to go on; zero stands for its start.
	LastEvent int64
	// Header holds what is passed on to the endpoint.
	Header http.Header
}

// ForwardCall is one attempt to run a forwarded request at an endpoint.
type ForwardCall struct {
	Request *ForwardRequest
	Body    []byte
	// Organisation is empty on open routes without a key.
	Organisation OrganisationID
	Tier         Tier
	// Timeout is what is left of the request's time.
	Timeout time.Duration
	// LastEvent is the event after which a stream is to go on; zero stands for its start.
	LastEvent int64
}

// ForwardReply is the answer of an endpoint to a forwarded request. Body must be
// closed; closing it before its end closes the connection. Read returns io.EOF only when
// the body is complete.
type ForwardReply struct {
	Status int
	// Header holds what is passed on to the caller.
	Header http.Header
	Body   io.ReadCloser
	// NotExecuted says that the endpoint did not run the request and never will.
	NotExecuted bool
	// Misdirected says besides that another endpoint has the address.
	Misdirected bool
	// Authentic says that the answer bears the endpoint's signature.
	Authentic bool
	// Load is nil when the endpoint does not tell its load.
	Load *EndpointLoad
}

// EndpointLoad is what an endpoint says of its load in an answer.
type EndpointLoad struct {
	Running int
	Waiting int
	Slots   int
}

// ForwardSender sends forwarded requests to endpoints. It never sends one twice by itself.
//
// Errors: ErrUnavailable says that no byte can have reached the endpoint,
// ErrOutcomeUnknown that some may have. After ErrCrossed the outcome is unknown as well.
type ForwardSender interface {
	Forward(ctx context.Context, endpoint Endpoint, call ForwardCall) (*ForwardReply, error)
}

// ExchangeCall is one HTTP call as it is written.
type ExchangeCall struct {
	// Address is the IP number and port of the server.
	Address string
	// Peer names the server; connections are kept for each apart, since addresses are used again.
	Peer   string
	Method string
	// Target is the path with the query.
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// ID is what the server echoes in IDHeader.
	ID       string
	IDHeader string
}

// ExchangeAnswer is the answer to a call. Body must be closed; Read returns io.EOF only
// when the body is complete.
type ExchangeAnswer struct {
	Status int
	Header http.Header
	Body   io.ReadCloser
}

// Exchanger makes HTTP calls, each written once at most.
//
// Errors: ErrUnavailable says that no byte was written, ErrOutcomeUnknown that some may
// have been, ErrCrossed besides that the answer belonged to another call.
type Exchanger interface {
	Exchange(ctx context.Context, call ExchangeCall) (*ExchangeAnswer, error)
}

// ForwardProtocol translates the headers of callers' requests and of the host's own answers.
type ForwardProtocol interface {
	// Decode reads a request's header. The error matches ErrInvalid and names the field; the
	// request holds what could be read.
	Decode(r *http.Request) (*ForwardRequest, error)
	// Refuse sets the headers of an answer by which the host ends a request itself.
	// RetryAfter is zero when the caller should not come back.
	Refuse(header http.Header, request *ForwardRequest, retryAfter time.Duration)
}
