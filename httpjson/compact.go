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

// compactEncoding is the content encoding of compressed bodies: deflate with a preset
// dictionary. It is not named deflate, because a receiver without the dictionary could
// not decompress the bodies.
const compactEncoding = "winch"

// Compactor compresses the bodies of calls between processes with a shared dictionary.
// The calls resemble each other, and without the dictionary their field names would be
// most of the traffic. It is safe for concurrent use.
type Compactor struct {
	dictionary []byte
	writers    sync.Pool
}

// NewCompactor returns a compactor. Both sides of a call must use the same dictionary.
func NewCompactor(dictionary []byte) *Compactor { return &Compactor{dictionary: dictionary} }

func (c *Compactor) compress(body []byte) ([]byte, error) {
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

// reader returns a reader of the decompressed body. The caller must limit its length.
func (c *Compactor) reader(body io.Reader) io.ReadCloser {
	return flate.NewReaderDict(body, c.dictionary)
}

// Handler decompresses request bodies for next and compresses the responses to those
// requests; other requests are passed through. Responses are buffered until next
// returns, so next must not stream.
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
		buffered := &bufferedResponse{header: w.Header(), status: http.StatusOK}
		next.ServeHTTP(buffered, r)
		c.writeResponse(w, buffered)
	})
}

func (c *Compactor) writeResponse(w http.ResponseWriter, buffered *bufferedResponse) {
	compressed, err := c.compress(buffered.body.Bytes())
	if err != nil {
		WriteError(w, err)
		return
	}
	// A nil value keeps net/http from adding the header. Peers need neither of the two, and
	// leaving them out saves traffic.
	w.Header()["Date"] = nil
	w.Header()["Content-Type"] = nil
	w.Header().Set("Content-Encoding", compactEncoding)
	w.WriteHeader(buffered.status)
	_, _ = w.Write(compressed)
}

// bufferedResponse buffers a response until it is complete.
type bufferedResponse struct {
	header http.Header
	status int
	body   bytes.Buffer
}

func (r *bufferedResponse) Header() http.Header { return r.header }

func (r *bufferedResponse) WriteHeader(status int) { r.status = status }

func (r *bufferedResponse) Write(p []byte) (int, error) { return r.body.Write(p) }
