package httpjson

import (
	"bytes"
	"compress/flate"
	"fmt"
	"io"
	"net/http"
	"sync"

	"github.com/arbutuswinch/winch"
)

// compactEncoding is the content encoding of compact bodies. It is not the standard
// deflate, since both sides need the same dictionary.
const compactEncoding = "winch"

// Compactor makes the bodies of calls between processes that share its dictionary
// short. The same dictionary serves calls that resemble each other, whose
// names would otherwise be most of the traffic. It is safe for concurrent use.
type Compactor struct {
	dictionary []byte
	writers    sync.Pool
}

// NewCompactor returns a compactor. Both sides of a call need the same dictionary.
func NewCompactor(dictionary []byte) *Compactor { return &Compactor{dictionary: dictionary} }

func (c *Compactor) shorten(body []byte) ([]byte, error) {
	out := &bytes.Buffer{}
	writer, found := c.writers.Get().(*flate.Writer)
	if found {
		writer.Reset(out)
	} else {
		created, err := flate.NewWriterDict(out, flate.DefaultCompression, c.dictionary)
		if err != nil {
			return nil, fmt.Errorf("create compressor: %w", err)
		}
		writer = created
	}
	defer c.writers.Put(writer)
	if _, err := writer.Write(body); err != nil {
		return nil, fmt.Errorf("compress body: %w", err)
	}
	if err := writer.Close(); err != nil {
		return nil, fmt.Errorf("compress body: %w", err)
	}
	return out.Bytes(), nil
}

// reader returns what the compact body stands for. The caller bounds its length.
func (c *Compactor) reader(body io.Reader) io.ReadCloser {
	return flate.NewReaderDict(body, c.dictionary)
}

// Handler takes compact bodies for next and answers those calls likewise; other
// calls pass unchanged. Answers are held until next returns, so it must not stream.
func (c *Compactor) Handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch r.Header.Get("Content-Encoding") {
		case compactEncoding:
		case "":
			next.ServeHTTP(w, r)
			return
		default:
			WriteError(w, fmt.Errorf("unknown content encoding: %w", winch.ErrInvalid))
			return
		}
		body := c.reader(r.Body)
		defer body.Close()
		r.Body = body
		held := &heldAnswer{header: w.Header(), status: http.StatusOK}
		next.ServeHTTP(held, r)
		c.answer(w, held)
	})
}

func (c *Compactor) answer(w http.ResponseWriter, held *heldAnswer) {
	short, err := c.shorten(held.body.Bytes())
	if err != nil {
		WriteError(w, err)
		return
	}
	// The peer knows what comes, and has a clock.
	w.Header()["Date"] = nil
	w.Header()["Content-Type"] = nil
	w.Header().Set("Content-Encoding", compactEncoding)
	w.WriteHeader(held.status)
	_, _ = w.Write(short)
}

// heldAnswer keeps an answer until it is whole.
type heldAnswer struct {
	header http.Header
	status int
	body   bytes.Buffer
}

func (h *heldAnswer) Header() http.Header { return h.header }

func (h *heldAnswer) WriteHeader(status int) { h.status = status }

func (h *heldAnswer) Write(p []byte) (int, error) { return h.body.Write(p) }
