package source

import (
	"bytes"
	"compress/flate"
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/arbutuswinch/winch"
	"github.com/arbutuswinch/winch/httpjson"
)

const (
	// Prefix is the path prefix of the calls with which hosts fetch the configuration from each other.
	Prefix = "/peer/configuration/"
	// readPath is not the path "read" of an earlier software version, whose calls named versions of the store only.
	readPath = Prefix + "edition"

	// inlineLimit is the size up to which a configuration is sent within the exchange between hosts. A larger one would delay
	// everything else in it, and is fetched by a call of its own.
	inlineLimit = 32 << 10
	// maxContentReads bounds the calls for the content that a host answers at the same time. Others read the source.
	maxContentReads = 16
	// contentTimeout limits such a call.
	contentTimeout = 800 * time.Millisecond
	// maxContentBytes limits the size of a configuration.
	maxContentBytes = 8 << 20
	// maxCallBytes limits the size of a call.
	maxCallBytes = 1 << 10
)

// contentCall asks for a configuration that is newer than the one of the caller.
type contentCall struct {
	Known editionWire
}

// contentResponse holds the stored form of the configuration, compressed with deflate.
type contentResponse struct {
	Edition  editionWire
	Deflated []byte
}

// contentServer answers calls for the configuration.
type contentServer struct {
	reads chan struct{}

	mu sync.Mutex
	// response holds the compressed configuration of the edition that was served last.
	response contentResponse
}

func newContentServer() *contentServer {
	return &contentServer{reads: make(chan struct{}, maxContentReads)}
}

// compress returns the response with the configuration, which is compressed only once for each edition.
func (s *contentServer) compress(current edition, raw []byte) (contentResponse, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.response.Edition == encodeEdition(current) {
		return s.response, nil
	}
	deflated := &bytes.Buffer{}
	writer, err := flate.NewWriter(deflated, flate.DefaultCompression)
	if err != nil {
		return contentResponse{}, fmt.Errorf("create compressor: %w", err)
	}
	if _, err := writer.Write(raw); err != nil {
		return contentResponse{}, fmt.Errorf("compress configuration: %w", err)
	}
	if err := writer.Close(); err != nil {
		return contentResponse{}, fmt.Errorf("compress configuration: %w", err)
	}
	s.response = contentResponse{Edition: encodeEdition(current), Deflated: deflated.Bytes()}
	return s.response, nil
}

// decompress returns the stored form. The error matches winch.ErrInvalid.
func (r contentResponse) decompress() ([]byte, error) {
	raw, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(r.Deflated)), maxContentBytes+1))
	if err != nil {
		return nil, fmt.Errorf("decompress configuration: %w: %w", winch.ErrInvalid, err)
	}
	if len(raw) > maxContentBytes {
		return nil, fmt.Errorf("decompress configuration: more than %d bytes: %w", maxContentBytes, winch.ErrInvalid)
	}
	return raw, nil
}

// Handler serves the configuration to other hosts under Prefix. It does not authenticate its callers; the server that
// mounts it must.
func (f *Follower) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+readPath, f.serveContent)
	return mux
}

func (f *Follower) serveContent(w http.ResponseWriter, r *http.Request) {
	call := contentCall{}
	if err := httpjson.Decode(w, r, maxCallBytes, &call); err != nil {
		httpjson.WriteError(w, err)
		return
	}
	f.mu.Lock()
	current, raw := f.state.edition, f.state.raw
	f.mu.Unlock()
	if !current.newerThan(call.Known.decode()) {
		httpjson.WriteError(w, fmt.Errorf("no configuration after revision %d: %w", call.Known.Revision, winch.ErrNotFound))
		return
	}
	select {
	case f.contents.reads <- struct{}{}:
		defer func() { <-f.contents.reads }()
	default:
		httpjson.WriteError(w, fmt.Errorf("as many hosts as possible read the configuration: %w", winch.ErrUnavailable))
		return
	}
	response, err := f.contents.compress(current, raw)
	if err != nil {
		httpjson.WriteError(w, err)
		return
	}
	httpjson.Write(w, http.StatusOK, response)
}

// Connect sets the secret that the hosts share. The configuration can be fetched from other hosts from then on.
func (f *Follower) Connect(secret string) {
	f.clients.Store(httpjson.NewClients(httpjson.Options{Secret: secret, Timeout: contentTimeout}))
}

// fetchFrom fetches the configuration from another host and puts it in force if it is newer than the known edition.
func (f *Follower) fetchFrom(ctx context.Context, host winch.Host, known edition) error {
	clients := f.clients.Load()
	if clients == nil {
		return fmt.Errorf("fetch configuration: the secret of the hosts is not known yet: %w", winch.ErrUnavailable)
	}
	client, err := clients.To(host.PeerAddress)
	if err != nil {
		return err
	}
	response := contentResponse{}
	if err := client.Call(ctx, readPath, contentCall{Known: encodeEdition(known)}, &response); err != nil {
		return fmt.Errorf("fetch configuration from %s: %w", host.ID, err)
	}
	raw, err := response.decompress()
	if err != nil {
		return err
	}
	told := response.Edition.decode()
	if !told.newerThan(known) || editionOf(told.revision, raw, told.version) != told {
		return fmt.Errorf("fetch configuration from %s: field Edition: revision %d is not newer than %d, or not that of the content: %w",
			host.ID, told.revision, known.revision, winch.ErrInvalid)
	}
	if err := f.applyRelayed(raw, told.version, time.Time{}, host.ID); err != nil {
		return err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.state.edition.newerThan(known) {
		return fmt.Errorf("fetch configuration from %s: its content is not of revision %d: %w", host.ID, told.revision, winch.ErrInvalid)
	}
	return nil
}
