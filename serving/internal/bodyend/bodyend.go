// Package bodyend decides what the end of the body of a response proves.
//
// A body with a length or chunks tells whether it is whole. A body with neither ends with its connection, and the kernel closes the
// connections of a process that was killed in order, as a server does that has sent everything.
//
// # Usage
//
//	body := bodyend.Body{EndsWithConnection: reply.EndsWithConnection, Stream: true, Events: events, InsideEvent: inside}
//	if body.Proof() == bodyend.Assumed {
//		body.ServerEnded = refusesConnections(server)
//	}
//	whole := body.Proof() == bodyend.Proved
package bodyend

// Proof tells how far a body is known to be whole.
type Proof int

// The proofs, from the weakest to the strongest.
const (
	// Unproved: the body has not ended, or it is not whole.
	Unproved Proof = iota
	// Assumed: the connection that ends the body was closed in order, and nothing is known that contradicts it.
	Assumed
	// Proved: the body has a length or chunks, and they are all there.
	Proved
)

// String returns the proof as logs and metrics name it.
func (p Proof) String() string {
	switch p {
	case Assumed:
		return "assumed"
	case Proved:
		return "proved"
	}
	return "unproved"
}

// Body is what is known of the body of one response that was read to its end without an error.
type Body struct {
	// EndsWithConnection is set if the body has neither a length nor chunks.
	EndsWithConnection bool
	// Stream is set if the body is a stream of events.
	Stream bool
	// Events is the number of events of a stream that this body brought. Those of earlier responses to the request do not count.
	Events int
	// Confirms is set if the body answers the request for the rest of a stream whose end was assumed. Without an event it says that there is none.
	Confirms bool
	// InsideEvent is set if a stream ended inside an event.
	InsideEvent bool
	// ServerEnded is set if the process that sent the body has ended.
	ServerEnded bool
}

// Proof returns what the end of the body proves.
func (b Body) Proof() Proof {
	switch {
	case b.Stream && b.InsideEvent:
		return Unproved
	case !b.EndsWithConnection:
		return Proved
	case b.ServerEnded, b.Stream && b.Events == 0 && !b.Confirms:
		return Unproved
	}
	return Assumed
}
