package engine

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"sync"

	"github.com/arbutuswinch/winch"
)

const (
	readSize   = 16 << 10
	eventLimit = 1 << 20
)

// stream reads server-sent events. Its buffer goes back to the pool on Close.
type stream struct {
	body    io.ReadCloser
	request string
	pool    *sync.Pool
	block   *[]byte
	buffer  []byte
	start   int
	end     int
}

func newStream(body io.ReadCloser, request winch.RequestID, pool *sync.Pool) *stream {
	block := pool.Get().(*[]byte)
	return &stream{body: body, request: string(request), pool: pool, block: block, buffer: *block}
}

// Next returns the next event.
func (s *stream) Next() (winch.Chunk, error) {
	for {
		line, err := s.line()
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
		return parse(payload, s.request)
	}
}

// Pending reports whether the buffer holds another line of data.
func (s *stream) Pending() bool {
	rest := bytes.TrimLeft(s.buffer[s.start:s.end], "\r\n")
	return bytes.IndexByte(rest, '\n') >= 0
}

// Close closes the body and gives the buffer back.
func (s *stream) Close() error {
	if s.block != nil {
		s.pool.Put(s.block)
		s.block, s.buffer = nil, nil
		s.start, s.end = 0, 0
	}
	return s.body.Close()
}

// line returns the next line without its end.
func (s *stream) line() ([]byte, error) {
	searched := 0
	for {
		if at := bytes.IndexByte(s.buffer[s.start+searched:s.end], '\n'); at >= 0 {
			line := s.buffer[s.start : s.start+searched+at]
			s.start += searched + at + 1
			return line, nil
		}
		searched = s.end - s.start
		if err := s.fill(); err != nil {
			return nil, err
		}
	}
}

// fill reads at least one byte more.
func (s *stream) fill() error {
	if s.start > 0 {
		s.end = copy(s.buffer, s.buffer[s.start:s.end])
		s.start = 0
	}
	if s.end == len(s.buffer) {
		if len(s.buffer) >= eventLimit {
			return fmt.Errorf("read event: %w: too large", winch.ErrInvalid)
		}
		s.buffer = append(s.buffer, make([]byte, len(s.buffer))...)
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
