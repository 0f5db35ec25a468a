package memory

import (
	"errors"
	"fmt"
	"io"
)

var (
	// ErrTooLarge says that the body is larger than its limit.
	ErrTooLarge = errors.New("body is too large")
	// ErrNoMemory says that other bodies take all memory.
	ErrNoMemory = errors.New("no memory is left")
)

// smallBody is the size in bytes up to which a body takes no shared memory.
const smallBody = 16 << 10

// ReadAll reads a body of at most limit bytes. It takes shared memory only while it reads.
func (m *Shared) ReadAll(body io.Reader, limit int64) ([]byte, error) {
	read, taken := make([]byte, 0, min(limit+1, smallBody)), int64(0)
	defer func() { m.Give(taken) }()
	for {
		if len(read) == cap(read) {
			grown := min(2*int64(cap(read)), limit+1)
			if !m.Take(grown - taken) {
				return nil, ErrNoMemory
			}
			taken = grown
			read = append(make([]byte, 0, grown), read...)
		}
		count, err := body.Read(read[len(read):cap(read)])
		read = read[:len(read)+count]
		switch {
		case int64(len(read)) > limit:
			return nil, fmt.Errorf("%w: it exceeds %d bytes", ErrTooLarge, limit)
		case errors.Is(err, io.EOF):
			return read, nil
		case err != nil:
			return nil, err
		}
	}
}
