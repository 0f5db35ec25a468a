package winch

import (
	"context"
	"errors"
	"io"
	"net/http"
)

// ErrCrossed says that an endpoint's answer belongs to another request. The
// connection that it came on must not be used again.
var ErrCrossed = errors.New("answer of another request")

// Call is a caller's request on its way to an endpoint.
type Call struct {
	Request      RequestID
	Organisation OrganisationID
	Class        ClassID
	Tier         Tier
	// Route is set for plain services.
	Route  RouteID
	Method string
	// Path is the escaped path at the endpoint, with the query.
	Path string
	// Header holds the caller's headers that may be passed on.
	Header http.Header
	Body   []byte
	// Repeatable says that the call may be run more than once.
	Repeatable bool
}

// Reply is an endpoint's answer. Body must be closed; closing it before its end
// closes the connection.
type Reply struct {
	Status int
	Header http.Header
	Body   io.ReadCloser
	// Stream is the endpoint's name for a stream that can be cancelled.
	Stream string
}

// Sender sends calls to endpoints of one kind. It never sends a call twice by itself.
//
// Errors: ErrUnavailable says that no byte can have reached the endpoint,
// ErrOutcomeUnknown that some may have. After ErrCrossed the outcome is unknown as well.
type Sender interface {
	Send(ctx context.Context, endpoint Endpoint, call Call) (*Reply, error)
}

// Engines sends calls to model engines and reads their answers.
type Engines interface {
	Sender
	// Chunks reads the reply as a stream of events of the request.
	Chunks(reply *Reply, request RequestID) ChunkReader
	// Inspect reads what a whole answer says of itself. ErrCrossed: it belongs to another request.
	Inspect(body []byte, request RequestID) (Chunk, error)
	// Cancel ends a stream at the engine.
	Cancel(ctx context.Context, endpoint Endpoint, stream string) error
}

// Chunk is one event of an engine's stream. Its byte slices are valid until the
// next call of the reader.
type Chunk struct {
	// Data is the event's payload as it came.
	Data []byte
	// Text is the text that the chunk adds, as the inside of a JSON string.
	Text []byte
	// Tokens is 1 for a chunk that carries output.
	Tokens Tokens
	// Opaque says that the chunk carries output that Text does not hold.
	Opaque bool
	// Finished says that the chunk names the reason for which the output ends.
	Finished bool
	// HasUsage says that InputTokens and OutputTokens are the engine's own count.
	HasUsage     bool
	InputTokens  Tokens
	OutputTokens Tokens
	// UsageOnly says that the chunk carries nothing but the count.
	UsageOnly bool
	// Failed says that the event is an error.
	Failed bool
	// Done says that the stream is complete.
	Done bool
}

// ChunkReader reads a stream. Next returns io.ErrUnexpectedEOF when the stream
// ends before it is complete, ErrCrossed on a chunk of another request and
// ErrInvalid on a malformed one.
type ChunkReader interface {
	Next() (Chunk, error)
	// Pending reports whether a further chunk is probably at hand without waiting.
	Pending() bool
	// Close closes the reply's body.
	Close() error
}
