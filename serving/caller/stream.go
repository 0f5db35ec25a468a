package caller

import (
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/arbutuswinch/winch"
	"github.com/arbutuswinch/winch/serving/peer"
)

const (
	outputBufferSize = 4 << 10
	// renewalsPerTimeout is how often the write deadline is renewed within one timeout.
	renewalsPerTimeout = 4
)

var errCallerDisconnected = errors.New("caller disconnected or stopped reading")

// output writes events to the caller. Events are buffered until flush, so that several
// events that are available together cost one write.
type output struct {
	w           http.ResponseWriter
	controller  *http.ResponseController
	timeout     time.Duration
	nextRenewal time.Time
	buffer      []byte
	// started says that begin was called: the header was written, unless the response is
	// collected.
	started bool
	// collector is set if the response is collected and not streamed.
	collector *collector
	// tokens is the number of output tokens that were added since the last flush.
	tokens winch.Tokens
	// tail holds back the final events until the stream is complete.
	tail tail
}

// tail holds the events from the one with the finish reason on. They are held back, since
// a stream that breaks before it is complete is resumed on another endpoint, and the
// caller must not have received a finish reason by then.
type tail struct {
	held   bool
	events []byte
	text   []byte
	tokens winch.Tokens
}

func newOutput(w http.ResponseWriter, timeout time.Duration) *output {
	return &output{w: w, controller: http.NewResponseController(w), timeout: timeout}
}

// add appends an event. It returns the text that the event adds to the delivered output,
// which is none while the event is held back.
func (o *output) add(chunk winch.Chunk) []byte {
	if o.collector != nil {
		o.collector.add(chunk)
	}
	if o.tail.held = o.tail.held || chunk.Finished; o.tail.held {
		o.tail.events = appendEvent(o.tail.events, chunk.Data)
		o.tail.text = append(o.tail.text, chunk.Text...)
		o.tail.tokens += chunk.Tokens
		return nil
	}
	o.tokens += chunk.Tokens
	if o.collector == nil {
		o.appendData(chunk.Data)
	}
	return chunk.Text
}

// complete appends the held-back events and the end marker, and returns their text.
func (o *output) complete() []byte {
	o.tokens += o.tail.tokens
	if o.collector == nil {
		o.buffer = append(o.buffer, o.tail.events...)
		o.appendData([]byte("[DONE]"))
	}
	return o.tail.text
}

func (o *output) appendData(data []byte) {
	if o.buffer == nil {
		o.buffer = make([]byte, 0, outputBufferSize)
	}
	o.buffer = appendEvent(o.buffer, data)
}

func appendEvent(buffer, data []byte) []byte {
	buffer = append(buffer, "data: "...)
	buffer = append(buffer, data...)
	return append(buffer, "\n\n"...)
}

// begin writes the header of a stream, unless the response is collected. It reports whether
// it wrote the header.
func (o *output) begin() bool {
	o.started = true
	if o.collector != nil {
		return false
	}
	header := o.w.Header()
	header.Set("Content-Type", "text/event-stream")
	header.Set("Cache-Control", "no-cache")
	o.w.WriteHeader(http.StatusOK)
	return true
}

// flush writes the buffer to the caller and returns the number of tokens that were added
// since the last flush. If the response is collected, there is nothing to write.
func (o *output) flush() (winch.Tokens, error) {
	if len(o.buffer) == 0 {
		tokens := o.tokens
		o.tokens = 0
		return tokens, nil
	}
	// Connection deadlines use the system clock, not Options.Clock.
	if now := time.Now(); now.After(o.nextRenewal) {
		_ = o.controller.SetWriteDeadline(now.Add(o.timeout))
		o.nextRenewal = now.Add(o.timeout / renewalsPerTimeout)
	}
	tokens := o.tokens
	_, err := o.w.Write(o.buffer)
	o.buffer, o.tokens = o.buffer[:0], 0
	if err == nil {
		err = o.controller.Flush()
	}
	if err != nil {
		return tokens, fmt.Errorf("write to caller: %w: %w", errCallerDisconnected, err)
	}
	return tokens, nil
}

// relayStream passes an engine's events on to the caller until the stream is complete or
// fails.
func (s *Server) relayStream(req *request, a *attempt, out *output) error {
	chunks := s.options.Engines.Chunks(a.reply, req.id)
	defer chunks.Close()
	resumed := out.started
	out.tail = tail{}
	for {
		chunk, err := chunks.Next()
		if err == nil && chunk.Failed {
			err = fmt.Errorf("read stream: %w: engine sent an error event", winch.ErrOutcomeUnknown)
		}
		if err != nil {
			if flushErr := s.deliver(req, a, out); flushErr != nil {
				return flushErr
			}
			if errors.Is(err, winch.ErrResponseMismatch) {
				s.metrics.addMismatchedResponse()
			}
			s.metrics.addWastedTokens(req.class.ID, out.tail.tokens)
			return err
		}
		a.progress.Add(1)
		if chunk.Done {
			return s.finishStream(req, a, out)
		}
		if chunk.NonText && out.collector != nil {
			return errNotCollectable
		}
		if err := s.addChunk(req, a, out, chunk, resumed); err != nil {
			return err
		}
		if !chunks.Pending() {
			if err := s.deliver(req, a, out); err != nil {
				return err
			}
		}
	}
}

// addChunk appends one event to the output. It drops usage events that the caller did not
// ask for. On a resumed stream it also drops events without output: every stream begins with
// one that holds only the role, which the caller already received.
func (s *Server) addChunk(req *request, a *attempt, out *output, chunk winch.Chunk, resumed bool) error {
	a.usage.setEngineCount(chunk)
	if chunk.UsageOnly && !req.wantsUsage && !req.collectStream {
		return nil
	}
	if resumed && chunk.Tokens == 0 && !chunk.Finished && !chunk.HasUsage {
		return nil
	}
	if chunk.Tokens > 0 && !a.usage.firstTokenSeen {
		s.noteFirstToken(s.now(), req, a)
	}
	if !out.started {
		s.bindSoftware(req, a, out)
		req.responseStarted = out.begin()
	}
	req.notResumable = req.notResumable || chunk.NonText
	text := out.add(chunk)
	if out.collector != nil || !req.notResumable {
		req.deliveredText = append(req.deliveredText, text...)
	}
	return s.checkKept(req, out)
}

// checkKept bounds what is kept of a stream: its held-back end, and the text with which another engine can go on. A stream that has
// more text than that passes on and cannot be resumed.
func (s *Server) checkKept(req *request, out *output) error {
	limit := s.options.Limits.ResponseBody
	tooLong := int64(len(req.deliveredText)) > limit
	if int64(len(out.tail.events)) > limit || tooLong && out.collector != nil {
		return fmt.Errorf("read stream: %w", errResponseTooLarge)
	}
	if tooLong {
		req.deliveredText, req.notResumable = nil, true
	}
	return nil
}

// bindSoftware records the software version that begins the response, and tells it to the host that forwarded the request.
func (s *Server) bindSoftware(req *request, a *attempt, out *output) {
	if !req.continuesStream {
		req.software = a.endpoint.Software
		if a.endpoint.Kind == winch.EndpointPeer {
			req.software = a.reply.Software
		}
	}
	if req.fromPeer && req.software != "" {
		out.w.Header().Set(peer.SoftwareHeader, string(req.software))
	}
}

// deliver flushes the output and counts its tokens as delivered, or as collected if the
// response is collected.
func (s *Server) deliver(req *request, a *attempt, out *output) error {
	tokens, err := out.flush()
	if err != nil {
		s.metrics.addWastedTokens(req.class.ID, tokens)
		return err
	}
	if tokens == 0 {
		return nil
	}
	now := s.now()
	req.deliveredTokens += tokens
	req.outputTokens += tokens
	a.usage.addDelivered(tokens)
	a.slot.Tokens(now, tokens)
	s.recordDelivered(now, req, a, usageRecordStep)
	return nil
}

// finishStream delivers the end of a complete stream, or the collected response.
func (s *Server) finishStream(req *request, a *attempt, out *output) error {
	a.complete = true
	if !out.started {
		req.responseStarted = out.begin()
	}
	req.deliveredText = append(req.deliveredText, out.complete()...)
	if err := s.deliver(req, a, out); err != nil {
		return err
	}
	if out.collector != nil {
		return s.writeCollected(req, a, out)
	}
	return nil
}

// writeError writes the error as the last event of a stream.
func (o *output) writeError(apiErr *apiError) {
	o.appendData(encodeError(apiErr))
	_, _ = o.flush()
}
