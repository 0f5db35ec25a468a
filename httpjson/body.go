package httpjson

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"time"

	"github.com/arbutuswinch/winch"
	"github.com/arbutuswinch/winch/internal/memory"
)

// refusedRetryAfter is the retry delay in responses to calls that are refused because memory is scarce.
const refusedRetryAfter = time.Second

// ChargeBodies returns a handler whose request bodies take memory from the budget, before they are read and until next returns. A
// read without memory fails with an error that BodyError knows. A nil budget means no limit.
func ChargeBodies(budget *memory.Budget, next http.Handler) http.Handler {
	if budget == nil {
		return next
	}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		// An address that cannot be parsed is that of a test; all of these share one account.
		address, _ := netip.ParseAddrPort(r.RemoteAddr)
		claim := budget.Open(memory.Holder{Address: address.Addr().Unmap(), Rank: memory.RankUrgent})
		defer claim.Close()
		body := &chargedBody{ReadCloser: r.Body, budget: budget, claim: claim, declared: r.ContentLength}
		charged := *r
		charged.Body = body
		next.ServeHTTP(w, &charged)
	})
}

// chargedBody takes memory for the buffer of its reader. Readers such as json.Decoder and io.ReadAll pass the free part of their
// buffer, so that its size is what was read before and the length of that part.
type chargedBody struct {
	io.ReadCloser
	budget *memory.Budget
	claim  *memory.Claim
	// declared is the declared length, which is negative if it is unknown, and zero once it has been looked at.
	declared    int64
	read, taken int64
	// doubles is set if the reader doubles its buffer when it is full. Others, such as io.ReadAll, add a quarter.
	doubles bool
}

// Read implements io.Reader.
func (b *chargedBody) Read(p []byte) (int, error) {
	if b.declared > 0 {
		if err := b.claim.Fits(b.declared); err != nil {
			b.budget.CountRefusal(err)
			return 0, err
		}
		b.declared = 0
	}
	if err := b.take(b.read + int64(len(p))); err != nil {
		return 0, err
	}
	count, err := b.ReadCloser.Read(p)
	b.read += int64(count)
	if err == nil && count == len(p) {
		// The reader allocates a larger buffer before it reads on.
		err = b.take(b.read + b.growth())
	}
	return count, err
}

// take takes memory for a buffer of the size.
func (b *chargedBody) take(size int64) error {
	if size <= b.taken {
		return nil
	}
	if err := b.claim.Take(size - b.taken); err != nil {
		return err
	}
	b.taken = size
	return nil
}

// growth returns by how much the reader's buffer, which is full, grows.
func (b *chargedBody) growth() int64 {
	if b.doubles {
		return b.read
	}
	return b.read / 4
}

// LimitBody returns the request's body, limited to so many bytes. A larger declared length is an error that matches ErrInvalid, and
// the body is not read.
func LimitBody(w http.ResponseWriter, r *http.Request, limit int64) (io.Reader, error) {
	if r.ContentLength > limit {
		w.Header().Set("Connection", "close")
		return nil, fmt.Errorf("the body exceeds %d bytes: %w", limit, winch.ErrInvalid)
	}
	return http.MaxBytesReader(w, r.Body, limit), nil
}

// BodyError returns the error for a body that could not be read or decoded. It matches ErrUnavailable if there was no memory for the
// body, and otherwise ErrInvalid.
func BodyError(err error) error {
	if errors.Is(err, memory.ErrNoMemory) {
		return fmt.Errorf("nothing was done: %w: %w", winch.ErrUnavailable, err)
	}
	return fmt.Errorf("%w: %w", winch.ErrInvalid, err)
}
