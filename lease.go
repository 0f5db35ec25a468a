package winch

import (
	"context"
	"net/http"
	"time"
)

// LeaseGuard is a Lease that does not release its lease while guarded work is in progress.
type LeaseGuard interface {
	Lease
	// Begin returns the current term. Until done is called, this process does not release
	// the lease, but the term can still expire. The error matches ErrNotLeaseHolder.
	Begin(now time.Time) (term Term, done func(), err error)
}

// FencedCall is a call that only the current lease holder may complete.
type FencedCall struct {
	// Address is the IP address and port of the receiver.
	Address string
	Path    string
	// Body is a JSON object without trailing white space: the sender withholds the last bytes,
	// without which the JSON must be incomplete.
	Body []byte
	// Number is the fencing number of the term for which the body was built.
	Number FencingNumber
	// Header holds additional headers that the receiver requires.
	Header http.Header
	// StatusOnly is set when the receiver's response has no body.
	StatusOnly bool
}

// FencedSender sends calls so that the last byte of a call is not written after the sender's term
// has ended, even if the process was suspended in the middle of the send. Package lease/fenced
// describes the method and the remaining risks.
type FencedSender interface {
	// Send posts the call and returns the response body. ErrNotLeaseHolder and
	// ErrUnavailable mean that the receiver never got the complete call, ErrFenced
	// that it has seen a higher fencing number; other errors are those of package httpjson.
	Send(ctx context.Context, guard LeaseGuard, call FencedCall) ([]byte, error)
}
