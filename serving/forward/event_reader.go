package forward

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"strconv"

	"github.com/arbutuswinch/winch"
	"github.com/arbutuswinch/winch/internal/memory"
)

const (
	// streamBufferSize is the size of the read buffer of a stream in bytes.
	streamBufferSize = 4 << 10
	// maxEventBytes is the maximum size of one event in bytes.
	maxEventBytes = 1 << 20
	// smallEvent is the size in bytes up to which an event takes no shared memory.
	smallEvent = 32 << 10
)

// eventReader reads a stream of server-sent events.
type eventReader struct {
	source *bufio.Reader
	event  []byte
	// hasField reports whether event has a line that is neither blank nor a comment.
	hasField bool
	// taken is the size of the memory that event takes beyond smallEvent, in bytes.
	memory *memory.Shared
	taken  int64
}

// next returns the next event including its blank line, and the comments and blank lines before it. Unless withComments is set, it
// returns these by themselves. At the end of the stream it returns the remaining bytes with io.EOF. The bytes are valid until the next call.
func (r *eventReader) next(withComments bool) ([]byte, error) {
	r.event, r.hasField = r.event[:0], false
	if r.taken > 0 {
		r.release()
	}
	// A line that is longer than the buffer comes in parts.
	for begins := true; ; {
		line, err := r.source.ReadSlice('\n')
		if err := r.appendLine(line); err != nil {
			return nil, err
		}
		blank := begins && len(bytes.TrimRight(line, "\r\n")) == 0
		r.hasField = r.hasField || begins && !blank && line[0] != ':'
		switch {
		case errors.Is(err, bufio.ErrBufferFull):
		case err != nil:
			return r.event, err
		case blank && (r.hasField || !withComments):
			return r.event, nil
		}
		begins = err == nil
		if len(r.event) > maxEventBytes {
			return nil, fmt.Errorf("read event: event exceeds %d bytes: %w", maxEventBytes, winch.ErrInvalid)
		}
	}
}

// insideEvent reports whether the bytes that next has returned are not whole: they end inside an event or inside a line.
func (r *eventReader) insideEvent() bool {
	return r.hasField || len(r.event) > 0 && r.event[len(r.event)-1] != '\n'
}

// appendLine adds a line to the event if there is memory for it.
func (r *eventReader) appendLine(line []byte) error {
	size := len(r.event) + len(line)
	if size <= cap(r.event) || size <= smallEvent {
		r.event = append(r.event, line...)
		return nil
	}
	grown := int64(max(size, min(2*size, maxEventBytes+streamBufferSize)))
	if !r.memory.Take(grown - r.taken) {
		return fmt.Errorf("read event: no memory for an event of %d bytes: %w", size, winch.ErrInvalid)
	}
	r.taken = grown
	r.event = append(append(make([]byte, 0, grown), r.event...), line...)
	return nil
}

// release gives back the memory of a large event.
func (r *eventReader) release() {
	r.memory.Give(r.taken)
	r.event, r.taken = nil, 0
}

// pending reports whether another complete event is buffered.
func (r *eventReader) pending() bool {
	// Peek does not fail for bytes that are already buffered.
	buffered, _ := r.source.Peek(r.source.Buffered())
	return bytes.Contains(buffered, []byte("\n\n")) || bytes.Contains(buffered, []byte("\n\r\n"))
}

// eventID returns the number in the id field of the event, if there is one.
func eventID(event []byte) (int64, bool) {
	for line := range bytes.Lines(event) {
		value, found := bytes.CutPrefix(line, []byte("id:"))
		if !found {
			continue
		}
		id, err := strconv.ParseInt(string(bytes.TrimSpace(value)), 10, 64)
		return id, err == nil
	}
	return 0, false
}
