package forward

import (
	"fmt"
	"net/http"
	"strconv"

	"github.com/arbutuswinch/winch"
	"github.com/arbutuswinch/winch/serving/internal/bodyend"
)

// relayBuffered reads the complete response before it relays it, as long as there is memory to keep it.
func (s *Server) relayBuffered(w http.ResponseWriter, req *request, a *attempt) error {
	if a.reply.Status < http.StatusBadRequest {
		s.recordFirstOutput(req, a)
	} else {
		// An error comes without the prompt having been read, so its time is no time to a first token.
		s.recordRun(s.now(), req, a)
	}
	limit := s.options.Limits.Answer
	if a.reply.Length > limit {
		return tooLarge(limit)
	}
	kept := &keptAnswer{memory: s.answers}
	defer kept.release()
	whole, err := kept.readAll(a.reply.Body, limit)
	if err != nil {
		return err
	}
	if !whole {
		return s.relayUnkept(w, req, a, kept)
	}
	length := kept.size
	if a.reply.EndsWithConnection {
		length = unknownLength
	}
	return s.endAnswer(req, a, func() error {
		s.startResponse(w, req, a, length)
		return kept.relay(func(data []byte) error { return s.writeToCaller(w, data) })
	})
}

// endAnswer relays the last part of a response that is not streamed and that has come to its end without an error, unless its endpoint is
// known not to have sent the rest.
func (s *Server) endAnswer(req *request, a *attempt, relayLast func() error) error {
	proof := s.proveEnd(req, a, bodyend.Body{})
	if proof == bodyend.Unproved {
		return fmt.Errorf("response ended with its connection: %w: %w", winch.ErrOutcomeUnknown, errEndpointEnded)
	}
	s.observeWhole(req, a)
	if err := relayLast(); err != nil {
		return err
	}
	req.proof = proof
	return nil
}

// relayUnkept relays what was kept of a response, and the rest of it as it comes. A failure then breaks the response off.
func (s *Server) relayUnkept(w http.ResponseWriter, req *request, a *attempt, kept *keptAnswer) error {
	// No other response continues this one.
	req.tracker.Repeatable = false
	length := a.reply.Length
	if length == 0 {
		length = unknownLength
	}
	s.startResponse(w, req, a, length)
	write := func(data []byte) error { return s.writeToCaller(w, data) }
	for ended := false; !ended; {
		// A slow caller is no reason to give the endpoint up, but its silence is.
		a.pause()
		if err := kept.relay(write); err != nil {
			return err
		}
		a.restart()
		var err error
		if ended, err = kept.readPiece(a.reply.Body, s.options.Limits.Answer); err != nil {
			return err
		}
	}
	return s.endAnswer(req, a, func() error { return kept.relay(write) })
}

// observeWhole tells that the whole of a response that is not streamed has come.
func (s *Server) observeWhole(req *request, a *attempt) {
	if a.reply.Status < http.StatusBadRequest {
		s.observeAnswer(req, a)
	}
}

// unknownLength is the length of a response that states none.
const unknownLength = -1

// startResponse writes the head of a response that is not streamed. A response of unknown length claims no more than that of the endpoint: it
// has chunks only if that has.
func (s *Server) startResponse(w http.ResponseWriter, req *request, a *attempt, length int64) {
	header := w.Header()
	copyHeader(header, a.reply.Header)
	switch {
	case length != unknownLength:
		header.Set("Content-Length", strconv.FormatInt(length, 10))
	case a.reply.EndsWithConnection || req.withoutChunks:
		req.endWithConnection(w)
	}
	s.closeIfStopping(w)
	req.responseStarted, req.status = true, a.reply.Status
	s.extendWriteDeadline(w)
	w.WriteHeader(a.reply.Status)
}
