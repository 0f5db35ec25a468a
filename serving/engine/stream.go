package engine

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"sync"

	"github.com/arbutuswinch/winch"
	"github.com/arbutuswinch/winch/internal/memory"
)

const (
	readBufferSize = 16 << 10
	maxEventBytes  = 1 << 20
	// longLinesSize bounds the memory that the long lines of all streams take, in bytes.
	longLinesSize = 8 << 20
)

// stream reads server-sent events. Close returns its buffer to the pool.
type stream struct {
	body         io.ReadCloser
	requestID    string
	pool         *sync.Pool
	pooledBuffer *[]byte
	// buffer is the slice of pooledBuffer until a long line needs a larger one, which is not
	// returned to the pool. buffer[start:end] is unread.
	buffer []byte
	start  int
	end    int
	// taken is the size of the memory for long lines that the buffer takes, in bytes.
	longLines *memory.Shared
	taken     int64
}

func newStream(body io.ReadCloser, requestID winch.RequestID, pool *sync.Pool, longLines *memory.Shared) *stream {
	pooledBuffer := pool.Get().(*[]byte)
	return &stream{
		body: body, requestID: string(requestID), pool: pool, pooledBuffer: pooledBuffer, buffer: *pooledBuffer, longLines: longLines,
	}
}

// Next returns the next event, of which engines send one in each data line. An event with Done
// set stands for the end of the stream. A body that ends without it yields io.ErrUnexpectedEOF.
func (s *stream) Next() (winch.Chunk, error) {
	for {
		line, err := s.readLine()
		if err != nil {
			return winch.Chunk{}, err
		}
		payload, found := bytes.CutPrefix(line, []byte("data:"))
		if !found {
			continue
		}
		payload = bytes.TrimSpace(payload)
		if string(payload) == "[DONE]" {
			return winch.Chunk{Data: payload, Done: true}, nil
		}
		return parseEvent(payload, s.requestID)
	}
}

// Pending reports whether another complete, non-empty line is buffered.
func (s *stream) Pending() bool {
	rest := bytes.TrimLeft(s.buffer[s.start:s.end], "\r\n")
	return bytes.IndexByte(rest, '\n') >= 0
}

// Close closes the body and returns the buffer to the pool.
func (s *stream) Close() error {
	if s.pooledBuffer != nil {
		s.pool.Put(s.pooledBuffer)
		s.pooledBuffer, s.buffer = nil, nil
		s.start, s.end = 0, 0
	}
	s.longLines.Give(s.taken)
	s.taken = 0
	return s.body.Close()
}

// readLine returns the next line without its line feed.
func (s *stream) readLine() ([]byte, error) {
	searched := 0
	for {
		if at := bytes.IndexByte(s.buffer[s.start+searched:s.end], '\n'); at >= 0 {
			line := s.buffer[s.start : s.start+searched+at]
			s.start += searched + at + 1
			return line, nil
		}
		searched = s.end - s.start
		if err := s.readMore(); err != nil {
			return nil, err
		}
	}
}

// readMore reads more bytes into the buffer, which it enlarges if it is full.
func (s *stream) readMore() error {
	if s.start > 0 {
		s.end = copy(s.buffer, s.buffer[s.start:s.end])
		s.start = 0
	}
	if err := s.enlarge(); err != nil {
		return err
	}
	count, err := s.body.Read(s.buffer[s.end:])
	s.end += count
	if count > 0 {
		return nil
	}
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	if err != nil {
		return fmt.Errorf("read stream: %w", err)
	}
	return nil
}

// enlarge doubles the buffer if it is full. A larger one than that of the pool is given back once no line needs it.
func (s *stream) enlarge() error {
	switch {
	case s.end == 0 && s.taken > 0:
		s.longLines.Give(s.taken)
		s.buffer, s.taken = *s.pooledBuffer, 0
	case s.end < len(s.buffer):
	case len(s.buffer) >= maxEventBytes:
		return fmt.Errorf("read event: line too large: %w", winch.ErrInvalid)
	default:
		grown := int64(2 * len(s.buffer))
		if !s.longLines.Take(grown - s.taken) {
			return fmt.Errorf("read event: no memory for a long line: %w", winch.ErrInvalid)
		}
		s.taken = grown
		s.buffer = append(make([]byte, 0, grown), s.buffer...)[:grown]
	}
	return nil
}
