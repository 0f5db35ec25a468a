package httpjson

import (
	"bytes"
	"compress/flate"
	"fmt"
	"io"
	"net/http"

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
	// kept holds a writer that is not in use. It is not in a sync.Pool, which is emptied by the garbage collector: a writer takes
	// hundreds of kilobytes, and most processes compress again before the next collection but one.
	kept chan *flate.Writer
	// keptReader is the same for readers.
	keptReader chan io.ReadCloser
}

// NewCompactor returns a compactor. Both sides of a call must use the same dictionary.
func NewCompactor(dictionary []byte) *Compactor {
	return &Compactor{dictionary: dictionary, kept: make(chan *flate.Writer, 1), keptReader: make(chan io.ReadCloser, 1)}
}

// writer returns a writer to out.
func (c *Compactor) writer(out io.Writer) (*flate.Writer, error) {
	select {
	case kept := <-c.kept:
		kept.Reset(out)
		return kept, nil
	default:
	}
	created, err := flate.NewWriterDict(out, flate.DefaultCompression, c.dictionary)
	if err != nil {
		return nil, fmt.Errorf("create compressor: %w", err)
	}
	return created, nil
}

// keep keeps a writer for the next body, unless another one is kept.
func (c *Compactor) keep(writer *flate.Writer) {
	select {
	case c.kept <- writer:
	default:
	}
}

func (c *Compactor) compress(body []byte) ([]byte, error) {
	out := &bytes.Buffer{}
	writer, err := c.writer(out)
	if err != nil {
		return nil, err
	}
	defer c.keep(writer)
	if _, err := writer.Write(body); err != nil {
		return nil, fmt.Errorf("compress body: %w", err)
	}
	if err := writer.Close(); err != nil {
		return nil, fmt.Errorf("compress body: %w", err)
	}
	return out.Bytes(), nil
}

// reader returns a reader of the decompressed body, which must be closed. The caller must limit its length.
func (c *Compactor) reader(body io.Reader) io.ReadCloser {
	select {
	case kept := <-c.keptReader:
		if err := kept.(flate.Resetter).Reset(body, c.dictionary); err == nil {
			return &reusableReader{compactor: c, reader: kept}
		}
	default:
	}
	return &reusableReader{compactor: c, reader: flate.NewReaderDict(body, c.dictionary)}
}

// reusableReader gives its reader back when it is closed.
type reusableReader struct {
	compactor *Compactor
	reader    io.ReadCloser
}

// Read implements io.Reader. It returns io.ErrClosedPipe after Close.
func (r *reusableReader) Read(p []byte) (int, error) {
	if r.reader == nil {
		return 0, io.ErrClosedPipe
	}
	return r.reader.Read(p)
}

// Close gives the reader back. The error is always nil.
func (r *reusableReader) Close() error {
	if r.reader == nil {
		return nil
	}
	select {
	case r.compactor.keptReader <- r.reader:
	default:
	}
	r.reader = nil
	return nil
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
