package caller

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"

	"github.com/arbutuswinch/winch"
	"github.com/arbutuswinch/winch/internal/memory"
	"github.com/arbutuswinch/winch/serving/internal/runstate"
)

// serveCompletion serves a completion. After a failed attempt it continues on another
// endpoint, until the response is complete or handleFailure returns an error.
func (s *Server) serveCompletion(ctx context.Context, w http.ResponseWriter, req *request) *apiError {
	out := newOutput(w, s.options.Limits.WriteTimeout)
	if req.collectStream {
		out.collector = &collector{}
	}
	for {
		a, apiErr := s.dispatch(ctx, req)
		if apiErr != nil {
			return apiErr
		}
		err := s.relayResponse(req, a, w, out)
		if err == nil {
			s.endAttempt(req, a, winch.OutcomeDone)
			return nil
		}
		if apiErr := s.handleFailure(ctx, req, a, err); apiErr != nil {
			return apiErr
		}
		if errors.Is(err, errNotCollectable) {
			s.metrics.addWastedTokens(req.class.ID, req.deliveredTokens)
			req.disableCollection()
		}
		s.metrics.addRepeatedAttempt(req.class.ID)
	}
}

// relayResponse passes the endpoint's response on to the caller.
func (s *Server) relayResponse(req *request, a *attempt, w http.ResponseWriter, out *output) error {
	if req.stream && a.reply.Status < http.StatusBadRequest {
		return s.relayStream(req, a, out)
	}
	body, err := s.readResponseBody(a.reply.Body)
	if err != nil {
		return err
	}
	a.complete = true
	if a.reply.Status < http.StatusBadRequest {
		if err := s.inspectResponse(req, a, body); err != nil {
			return err
		}
	}
	if req.responseStarted {
		// The endpoint did not continue the stream, and its response cannot be written into it.
		return fmt.Errorf("continue stream: %w: status %d", winch.ErrOutcomeUnknown, a.reply.Status)
	}
	req.responseStarted = true
	writeReply(w, a.reply, body, runstate.Ran)
	return nil
}

// inspectResponse checks that a non-streaming response belongs to the request and counts
// its tokens.
func (s *Server) inspectResponse(req *request, a *attempt, body []byte) error {
	chunk, err := s.options.Engines.Inspect(body, req.id)
	if err != nil {
		return fmt.Errorf("inspect response: %w", err)
	}
	if chunk.Failed {
		return fmt.Errorf("inspect response: %w: response is an error or incomplete", winch.ErrOutcomeUnknown)
	}
	now := s.now()
	s.noteFirstToken(now, req, a)
	a.usage.setFromResponse(chunk)
	a.slot.Tokens(now, a.usage.delivered)
	req.outputTokens += a.usage.delivered
	return nil
}

// errResponseTooLarge: the response exceeds the size limit, or the memory that is left.
var errResponseTooLarge = errors.New("response body exceeds the size limit")

// responsesSize bounds the memory that the responses of all requests take while they are read, in bytes.
const responsesSize = 32 << 20

// readResponseBody reads a whole response body.
func (s *Server) readResponseBody(body io.Reader) ([]byte, error) {
	read, err := s.responses.ReadAll(body, s.options.Limits.ResponseBody)
	switch {
	case errors.Is(err, memory.ErrTooLarge), errors.Is(err, memory.ErrNoMemory):
		return nil, fmt.Errorf("read response: %w: %w", errResponseTooLarge, err)
	case err != nil:
		return nil, fmt.Errorf("read response: %w: %w", winch.ErrOutcomeUnknown, err)
	}
	return read, nil
}

// forwardedResponseHeaders returns the names of the headers in endpoints' responses that are
// forwarded to callers.
func forwardedResponseHeaders() []string {
	return []string{"Cache-Control", "Content-Disposition", "Content-Language", "Content-Type", "Etag", "Last-Modified", "Location", "Retry-After"}
}

func writeReply(w http.ResponseWriter, reply *winch.Reply, body []byte, state runstate.RunState) {
	header := w.Header()
	for _, name := range forwardedResponseHeaders() {
		if value := reply.Header.Get(name); value != "" {
			header.Set(name, value)
		}
	}
	header.Set("X-Run-State", string(state))
	if mayHaveBody(reply.Status) {
		header.Set("Content-Length", strconv.Itoa(len(body)))
	}
	w.WriteHeader(reply.Status)
	_, _ = w.Write(body)
}

func mayHaveBody(status int) bool {
	return status >= http.StatusOK && status != http.StatusNoContent && status != http.StatusNotModified
}
