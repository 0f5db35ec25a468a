package winch

import (
	"context"
	"net/http"
	"time"
)

// TermGuard is a Charge that does not give a term away while work of it is under way.
type TermGuard interface {
	Charge
	// Begin returns the valid term and keeps this process from giving it to a
	// successor early until done is called. The term still lapses in time. The
	// error matches ErrNotInCharge.
	Begin(now time.Time) (term Term, done func(), err error)
}

// FencedCall is a call that only the process in charge may complete.
type FencedCall struct {
	// Address is the IP number and port of the receiver.
	Address string
	Path    string
	// Body is a JSON object, without white space after it.
	Body []byte
	// Number is that of the term for which the body was made.
	Number FencingNumber
	// Header holds what the receiver wants besides the body.
	Header http.Header
	// StatusOnly says that the receiver's answer has no body.
	StatusOnly bool
}

// FencedSender sends calls so that none is completed after the sender's term,
// also when the process was stopped in the middle of the send.
type FencedSender interface {
	// Send posts the call and returns the body of the answer. ErrNotInCharge and
	// ErrUnavailable say that the receiver never got the whole call, ErrFenced
	// that it has seen a higher number; other errors are those of package httpjson.
	Send(ctx context.Context, guard TermGuard, call FencedCall) ([]byte, error)
}
