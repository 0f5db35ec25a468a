package winch

import (
	"context"
	"errors"
	"io"
	"net/http"
)

// ErrResponseMismatch reports that an endpoint's response belongs to another request. The
// connection it arrived on must not be reused.
var ErrResponseMismatch = errors.New("response belongs to another request")

// Call is a caller's request as it is sent to an endpoint.
type Call struct {
	Request      RequestID
	Organisation OrganisationID
	Class        ClassID
	Tier         Tier
	// Route is set when the endpoint is a plain service rather than a model engine.
	Route  RouteID
	Method string
	// Path is the escaped request path at the endpoint, including the query.
	Path string
	// Header holds those of the caller's headers that may be forwarded.
	Header http.Header
	Body   []byte
	// Repeatable is set when the call may be executed more than once.
	Repeatable bool
	// Software is the software version that began the response, if it has begun and the version is known.
	Software SoftwareVersion
}

// Reply is an endpoint's response. Body must be closed; closing it before EOF
// closes the connection.
type Reply struct {
	Status int
	Header http.Header
	Body   io.ReadCloser
	// Stream is the endpoint's ID for a stream that can be cancelled.
	Stream string
	// Software is the software version at which the response began, if another host relays it and knows the version.
	Software SoftwareVersion
}

// Sender sends calls to endpoints of one kind. It never retries a call on its own.
//
// Errors: ErrUnavailable means that no byte can have reached the endpoint,
// ErrOutcomeUnknown that some may have. After ErrResponseMismatch the outcome is unknown as well.
type Sender interface {
	Send(ctx context.Context, endpoint Endpoint, call Call) (*Reply, error)
}

// Engines sends calls to model engines and reads their responses.
type Engines interface {
	Sender
	// Chunks returns a reader for a streamed reply to the request.
	Chunks(reply *Reply, request RequestID) ChunkReader
	// Inspect parses the metadata of a complete, unstreamed response. It returns ErrResponseMismatch when
	// the response belongs to another request.
	Inspect(body []byte, request RequestID) (Chunk, error)
	// Cancel cancels a stream at the engine.
	Cancel(ctx context.Context, endpoint Endpoint, stream string) error
}

// Chunk is one event of an engine's stream. Its byte slices are valid until the
// next call to the reader.
type Chunk struct {
	// Data is the event's payload as received.
	Data []byte
	// Text is the text that the chunk adds, escaped as in a JSON string, without the quotes.
	Text []byte
	// Tokens is 1 for a chunk that contains output and 0 for others: an engine sends one token
	// per chunk.
	Tokens Tokens
	// NonText is set when the chunk contains output that is not in Text, such as that of a second
	// choice. The stream can then not be resumed at another endpoint.
	NonText bool
	// Finished is set when the chunk contains a finish reason.
	Finished bool
	// HasUsage is set when InputTokens and OutputTokens are the counts reported by the engine.
	HasUsage     bool
	InputTokens  Tokens
	OutputTokens Tokens
	// UsageOnly is set when the chunk contains nothing but these counts.
	UsageOnly bool
	// Failed is set when the event is an error.
	Failed bool
	// Done is set when the stream is complete.
	Done bool
}

// ChunkReader reads a stream. Next returns io.ErrUnexpectedEOF when the stream
// ends before it is complete, ErrResponseMismatch for a chunk of another request and
// ErrInvalid for a malformed one.
type ChunkReader interface {
	Next() (Chunk, error)
	// Pending reports whether another chunk is probably buffered, so that Next would not block.
	Pending() bool
	// Close closes the reply's body.
	Close() error
}
