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

// noMemoryRetryAfter is the Retry-After time in responses to calls that are refused for lack of memory.
const noMemoryRetryAfter = time.Second

// ChargeBodies returns a handler that takes memory from the budget for request bodies before they are read, and gives it back when next
// returns. Without memory, reads of the body fail with an error that BodyError maps. A nil budget means no limit.
func ChargeBodies(budget *memory.Budget, next http.Handler) http.Handler {
	if budget == nil {
		return next
	}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		// Only tests have addresses that cannot be parsed. These requests share one account.
		address, _ := netip.ParseAddrPort(r.RemoteAddr)
		claim := budget.Open(memory.Holder{Address: address.Addr().Unmap(), Rank: memory.RankUrgent})
		defer claim.Close()
		body := &chargedBody{ReadCloser: r.Body, budget: budget, claim: claim, declared: r.ContentLength, stopExpecting: func() {}}
		defer func() { body.stopExpecting() }()
		charged := *r
		charged.Body = body
		next.ServeHTTP(w, &charged)
	})
}

// chargedBody takes memory for the buffer of its reader. Readers such as json.Decoder and io.ReadAll pass the free part of their
// buffer to each read.
type chargedBody struct {
	io.ReadCloser
	budget *memory.Budget
	claim  *memory.Claim
	// declared is the declared length in bytes, negative if it is unknown, and zero once it has been checked.
	declared int64
	// stopExpecting ends that the claim expects the rest of the body.
	stopExpecting func()
	// read is the number of bytes read, taken the number for which memory is taken.
	read, taken int64
	// doubles is set if the reader doubles a full buffer, as json.Decoder does. Others add to it as io.ReadAll does, which collects parts,
	// each half as large as all before, and copies them into one slice at the end or after an error.
	doubles bool
}

// Read implements io.Reader.
func (b *chargedBody) Read(p []byte) (int, error) {
	if b.declared > 0 {
		// Bodies that start at once would otherwise all be read in part before the budget is used up, and what their readers have
		// allocated until then takes memory although it is given back.
		stop, err := b.claim.ExpectBriefly(b.heldFor(b.declared))
		if err != nil {
			b.budget.CountRefusal(err)
			return 0, err
		}
		b.declared, b.stopExpecting = 0, stop
	}
	if err := b.take(b.held(int64(len(p)))); err != nil {
		return 0, err
	}
	count, err := b.ReadCloser.Read(p)
	b.read += int64(count)
	if err == nil && count == len(p) {
		// The reader allocates a larger buffer before it reads on.
		err = b.take(b.held(b.growth()))
	}
	return count, err
}

// take takes memory for so many bytes in all.
func (b *chargedBody) take(size int64) error {
	if size <= b.taken {
		return nil
	}
	if err := b.claim.TakeExpected(size - b.taken); err != nil {
		return err
	}
	b.taken = size
	return nil
}

// minDecoderRead is the smallest free part of its buffer, in bytes, with which json.Decoder reads on.
const minDecoderRead = 512

// heldFor returns how many bytes the reader needs once it has read a body of the length.
func (b *chargedBody) heldFor(length int64) int64 {
	if !b.doubles {
		return 2*length + length/2
	}
	size := int64(minDecoderRead)
	for size < length+minDecoderRead {
		size = 2*size + minDecoderRead
	}
	return withPrevious(size)
}

// held returns how many bytes the reader needs for what it has read and the free part of its buffer.
func (b *chargedBody) held(free int64) int64 {
	if b.doubles {
		return withPrevious(b.read + free)
	}
	return 2*b.read + free
}

// withPrevious adds to the size of a doubled buffer that of the one before, which has been copied and may not be collected yet.
func withPrevious(size int64) int64 { return size + size/2 }

// growth returns by how many bytes the reader's full buffer grows.
func (b *chargedBody) growth() int64 {
	if b.doubles {
		return b.read
	}
	return b.read / 2
}

// LimitBody returns the request's body, limited to so many bytes. If the declared length is larger, it returns an error that matches
// winch.ErrInvalid, and the connection is closed after the response.
func LimitBody(w http.ResponseWriter, r *http.Request, limit int64) (io.Reader, error) {
	if r.ContentLength > limit {
		w.Header().Set("Connection", "close")
		return nil, fmt.Errorf("the body exceeds %d bytes: %w", limit, winch.ErrInvalid)
	}
	return http.MaxBytesReader(w, r.Body, limit), nil
}

// BodyError maps the error of a body that could not be read or decoded. The result matches winch.ErrUnavailable if there was no memory
// for the body, and otherwise winch.ErrInvalid.
func BodyError(err error) error {
	if errors.Is(err, memory.ErrNoMemory) {
		return fmt.Errorf("nothing was done: %w: %w", winch.ErrUnavailable, err)
	}
	return fmt.Errorf("%w: %w", winch.ErrInvalid, err)
}
