package tunnel

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net/http/httputil"

	"github.com/arbutuswinch/winch"
)

const (
	// frameOverhead is the size of what surrounds the bytes of a frame: its length in hexadecimal digits, and two line ends.
	frameOverhead = 16
	// frameReadBytes is the size of the buffer in which frames are read.
	frameReadBytes = 4 << 10
)

// frameWriter writes each piece as a frame, at once.
type frameWriter struct {
	buffer *bufio.Writer
	chunks io.WriteCloser
}

func newFrameWriter(to io.Writer) *frameWriter {
	buffer := bufio.NewWriterSize(to, copyBytes+frameOverhead)
	return &frameWriter{buffer: buffer, chunks: httputil.NewChunkedWriter(buffer)}
}

// Write writes the bytes as one frame.
func (w *frameWriter) Write(p []byte) (int, error) {
	count, err := w.chunks.Write(p)
	if err != nil {
		return count, err
	}
	return count, w.buffer.Flush()
}

// Close writes the end.
func (w *frameWriter) Close() error {
	if err := w.chunks.Close(); err != nil {
		return err
	}
	// The chunked writer leaves the end of an empty trailer to its caller.
	if _, err := w.buffer.WriteString("\r\n"); err != nil {
		return err
	}
	return w.buffer.Flush()
}

// incoming reads what an endpoint sends through another host. It returns io.EOF only after the end in frames, and winch.ErrEndUnproven if the
// connection ends without it.
type incoming struct {
	frames io.Reader
	// unframed is the connection to a host of a former version.
	unframed io.Reader
}

func newIncoming(conn io.Reader, framed bool) *incoming {
	if !framed {
		return &incoming{unframed: conn}
	}
	return &incoming{frames: httputil.NewChunkedReader(bufio.NewReaderSize(conn, frameReadBytes))}
}

// Read reads bytes of the endpoint.
func (r *incoming) Read(p []byte) (int, error) {
	if r.frames == nil {
		count, err := r.unframed.Read(p)
		return count, unproven(err, io.EOF)
	}
	// Smaller reads than the buffer go through it, so that the end of a frame is read together with its last bytes. Unread bytes would make the
	// kernel reset the connection when it is closed after a complete response.
	count, err := r.frames.Read(p[:min(len(p), frameReadBytes-1)])
	return count, unproven(err, io.ErrUnexpectedEOF)
}

// unproven replaces the error with which a connection ends that says nothing of the endpoint's.
func unproven(err, end error) error {
	if errors.Is(err, end) {
		return fmt.Errorf("read from tunnel: %w", winch.ErrEndUnproven)
	}
	return err
}
