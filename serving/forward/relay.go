package forward

import (
	"fmt"
	"net/http"
	"slices"
	"time"

	"github.com/arbutuswinch/winch"
	"github.com/arbutuswinch/winch/internal/abort"
)

// writeSize is the size of a piece that a caller has to read within the write timeout, in bytes.
const writeSize = 64 << 10

// writeToCaller writes the bytes in pieces, each of which has the whole write timeout, so that neither a pause before them
// nor a caller that reads slowly cuts the response.
func (s *Server) writeToCaller(w http.ResponseWriter, data []byte) error {
	for piece := range slices.Chunk(data, writeSize) {
		s.extendWriteDeadline(w)
		if _, err := w.Write(piece); err != nil {
			return fmt.Errorf("write to caller: %w: %w", errCallerGone, err)
		}
	}
	return nil
}

// endWithConnection makes net/http end the response with the connection, without a last chunk. The connection is reset if it is closed
// before endResponse.
func (req *request) endWithConnection(w http.ResponseWriter) {
	req.closeDelimited = true
	w.Header().Set("Transfer-Encoding", "identity")
	abort.ResetOnClose(req.detached)
}

func copyHeader(to, from http.Header) {
	for name, values := range from {
		to[name] = values
	}
	if _, found := to["Content-Type"]; !found {
		// Keeps net/http from detecting a content type.
		to["Content-Type"] = nil
	}
}

func (s *Server) extendWriteDeadline(w http.ResponseWriter) {
	// Connection deadlines are compared with the system clock, so Options.Clock is not used. The
	// error is ignored because writers in tests may not support deadlines.
	until := time.Now().Add(s.options.Limits.WriteTimeout)
	if times := s.stopTimes.Load(); times != nil && until.After(times.writeEnd) {
		until = times.writeEnd
	}
	_ = http.NewResponseController(w).SetWriteDeadline(until)
}

// recordFirstOutput reports the first output of an attempt to its slot, and records that it ran. The output of a
// buffered response starts with its header.
func (s *Server) recordFirstOutput(req *request, a *attempt) {
	now := s.now()
	if !a.outputStarted {
		a.outputStarted = true
		a.slot.FirstToken(now)
	}
	s.recordRun(now, req, a)
}

// recordRun records, for the first attempt that ran, the time to its output and the usage of the request.
func (s *Server) recordRun(now time.Time, req *request, a *attempt) {
	if req.timeToFirstOutput == 0 {
		req.timeToFirstOutput = now.Sub(req.arrived)
	}
	if req.usageRecorded {
		return
	}
	req.usageRecorded = true
	s.options.Usage.Record(now, winch.UsageRecord{
		Organisation: req.admission.organisation, Class: req.admission.class.ID, Supply: a.endpoint.Supply,
		Requests: 1, InputTokens: req.InputTokens,
	})
}

// observeAnswer reports to the quarantine, once for each attempt, that the endpoint answers the request.
func (s *Server) observeAnswer(req *request, a *attempt) {
	if !a.answering {
		a.answering = true
		s.options.Quarantine.ObserveOutput(s.now(), req.ForwardRequest)
	}
}
