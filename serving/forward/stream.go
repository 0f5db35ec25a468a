package forward

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net/http"

	"github.com/arbutuswinch/winch"
	"github.com/arbutuswinch/winch/serving/internal/bodyend"
)

var (
	// errEventOrder: the event ids of a stream do not increase.
	errEventOrder = errors.New("events out of order")
	// errCutStream: the body of a stream ended in order, but the stream did not.
	errCutStream = errors.New("stream is cut off")
)

// relayStream relays each event once it is complete, until the stream ends or breaks. Comments are relayed with the events, but a response
// does not start with them alone.
func (s *Server) relayStream(w http.ResponseWriter, req *request, a *attempt) error {
	// An endpoint that has begun to answer may have a rest to give, so that the end of an earlier attempt no longer counts.
	a.confirms, req.proof = req.proof == bodyend.Assumed, bodyend.Unproved
	events := eventReader{source: bufio.NewReaderSize(a.reply.Body, streamBufferSize), memory: s.events}
	defer events.release()
	controller := http.NewResponseController(w)
	for {
		block, err := events.next(!req.responseStarted)
		switch {
		case errors.Is(err, io.EOF):
			return s.endStream(w, req, a, &events, block)
		case err != nil:
			return fmt.Errorf("read stream: %w: %w", winch.ErrOutcomeUnknown, err)
		}
		if err := s.relayBlock(w, req, a, &events, block); err != nil {
			return err
		}
		if !events.pending() {
			s.extendWriteDeadline(w)
			if err := controller.Flush(); err != nil {
				return fmt.Errorf("write to caller: %w: %w", errCallerGone, err)
			}
		}
	}
}

// relayBlock relays an event, or the comments between two events.
func (s *Server) relayBlock(w http.ResponseWriter, req *request, a *attempt, events *eventReader, block []byte) error {
	if !events.hasField {
		return s.writeToCaller(w, block)
	}
	return s.relayEvent(w, req, a, block)
}

// confirmsEnd reports whether the attempt asked for the rest of a stream whose end was assumed, and brought none.
func (a *attempt) confirmsEnd() bool { return a.confirms && a.events == 0 }

// errEndAssumed: the end of a stream is not proved, and the rest of it, if there is one, can be asked for.
var errEndAssumed = errors.New("end of the stream is not proved")

// endStream ends a stream whose body has ended without an error. The tail is what followed the last event.
func (s *Server) endStream(w http.ResponseWriter, req *request, a *attempt, events *eventReader, tail []byte) error {
	req.tailBytes = len(tail)
	proof := s.proveEnd(req, a, bodyend.Body{Stream: true, Confirms: a.confirms, InsideEvent: events.insideEvent()})
	if proof == bodyend.Unproved {
		return fmt.Errorf("stream ended after %d events and %d bytes: %w: %w", a.events, len(tail), winch.ErrOutcomeUnknown, errCutStream)
	}
	if !req.responseStarted {
		s.startStream(w, req, a)
	}
	if err := s.writeToCaller(w, tail); err != nil {
		return err
	}
	req.proof = proof
	if proof == bodyend.Assumed && (!a.confirmsEnd() && req.mayRetry() || !req.closeDelimited) {
		req.restUntil = s.now().Add(restTimeout)
		return fmt.Errorf("stream ended with its connection after %d events: %w: %w", a.events, winch.ErrOutcomeUnknown, errEndAssumed)
	}
	return nil
}

func (s *Server) startStream(w http.ResponseWriter, req *request, a *attempt) {
	copyHeader(w.Header(), a.reply.Header)
	if a.reply.EndsWithConnection || req.withoutChunks {
		req.endWithConnection(w)
	}
	s.closeIfStopping(w)
	s.extendWriteDeadline(w)
	req.responseStarted, req.status, req.contentType = true, a.reply.Status, a.reply.Header.Get("Content-Type")
	w.WriteHeader(a.reply.Status)
}

// relayEvent relays one event. It returns errEventOrder for an event whose id is not greater
// than that of the last one.
func (s *Server) relayEvent(w http.ResponseWriter, req *request, a *attempt, event []byte) error {
	if id, found := eventID(event); found {
		if id <= req.lastEvent {
			return fmt.Errorf("event %d received after event %d: %w", id, req.lastEvent, errEventOrder)
		}
		req.lastEvent = id
	} else {
		// No endpoint can be asked for what follows an event without an id.
		req.tracker.Repeatable = false
	}
	if a.confirms {
		// There is a rest, and the attempt goes on without the time limit of the question.
		a.pause()
	}
	s.recordOrigin(req, a)
	s.recordFirstOutput(req, a)
	s.observeAnswer(req, a)
	now := s.now()
	if !req.lastEventAt.IsZero() {
		req.longestPause = max(req.longestPause, now.Sub(req.lastEventAt))
	}
	req.lastEventAt, a.lastEventAt = now, now
	a.events++
	// Each event counts as one token, because the content of events is not parsed.
	a.slot.Tokens(now, 1)
	if !req.responseStarted {
		s.startStream(w, req, a)
	}
	return s.writeToCaller(w, event)
}
