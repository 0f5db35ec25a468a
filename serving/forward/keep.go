package forward

import (
	"errors"
	"fmt"
	"io"
	"sync"

	"github.com/arbutuswinch/winch"
	"github.com/arbutuswinch/winch/internal/memory"
)

// pieceSize is the size in bytes of a piece of a response that is kept or relayed.
const pieceSize = 16 << 10

// piecePool holds unused pieces.
var piecePool = sync.Pool{New: func() any { return new([pieceSize]byte) }}

// keptPiece is a piece of which the first size bytes are used.
type keptPiece struct {
	bytes *[pieceSize]byte
	size  int
}

// keptAnswer is what was read of a response and not yet relayed. Its first piece takes no shared memory.
type keptAnswer struct {
	memory *memory.Shared
	pieces []keptPiece
	// size is the number of bytes that were read of the response, including those that were relayed.
	size int64
}

// readAll reads the body until it ends or no memory is left, and reports whether it has ended. It returns
// an error for a body of more than limit bytes.
func (k *keptAnswer) readAll(body io.Reader, limit int64) (whole bool, err error) {
	for k.mayGrow() {
		if whole, err = k.readPiece(body, limit); whole || err != nil {
			return whole, err
		}
	}
	return false, nil
}

// mayGrow takes the memory for another piece, and reports whether there was any.
func (k *keptAnswer) mayGrow() bool { return len(k.pieces) == 0 || k.memory.Take(pieceSize) }

// readPiece reads a piece of the body, and reports whether the body has ended.
func (k *keptAnswer) readPiece(body io.Reader, limit int64) (ended bool, err error) {
	piece := keptPiece{bytes: piecePool.Get().(*[pieceSize]byte)}
	for err == nil && piece.size < pieceSize {
		count := 0
		count, err = body.Read(piece.bytes[piece.size:])
		piece.size += count
	}
	k.pieces = append(k.pieces, piece)
	k.size += int64(piece.size)
	switch {
	case err != nil && !errors.Is(err, io.EOF):
		return false, fmt.Errorf("read response: %w: %w", winch.ErrOutcomeUnknown, err)
	case k.size > limit:
		return false, tooLarge(limit)
	}
	return err != nil, nil
}

func tooLarge(limit int64) error {
	return fmt.Errorf("read response: body exceeds %d bytes: %w", limit, winch.ErrOutcomeUnknown)
}

// relay writes all that is kept, and releases it.
func (k *keptAnswer) relay(write func(data []byte) error) error {
	defer k.release()
	for _, piece := range k.pieces {
		if err := write(piece.bytes[:piece.size]); err != nil {
			return err
		}
	}
	return nil
}

// release gives back the memory of all that is kept.
func (k *keptAnswer) release() {
	for i, piece := range k.pieces {
		piecePool.Put(piece.bytes)
		if i > 0 {
			k.memory.Give(pieceSize)
		}
	}
	k.pieces = nil
}
