package caller

import (
	"time"

	"github.com/arbutuswinch/winch"
)

// reportStep is how many tokens are delivered between two usage records of a stream.
const usageRecordStep winch.Tokens = 256

// account counts what one attempt delivered.
type attemptUsage struct {
	// base is what earlier attempts delivered.
	previouslyDelivered winch.Tokens
	// peer: the use is counted where the endpoint stands.
	recordedByPeer bool
	delivered      winch.Tokens
	recorded       winch.Tokens
	// input and output are the engine's own counts.
	hasEngineCount bool
	engineInput    winch.Tokens
	engineOutput   winch.Tokens
	// started says that the first token came.
	firstTokenSeen bool
}

func (u *attemptUsage) takeEngineCount(chunk winch.Chunk) {
	if chunk.HasUsage {
		u.hasEngineCount, u.engineInput, u.engineOutput = true, chunk.InputTokens, chunk.OutputTokens
	}
}

func (u *attemptUsage) addDelivered(tokens winch.Tokens) { u.delivered += tokens }

// usage takes the counts of a whole answer in.
func (u *attemptUsage) takeResponse(chunk winch.Chunk) {
	u.takeEngineCount(chunk)
	u.delivered = chunk.Tokens
	if chunk.HasUsage {
		u.delivered = chunk.OutputTokens
	}
}

// final returns the tokens that count. The engine's own count replaces that of the
// events; on a continued stream it may cover the earlier attempts or not.
func (u *attemptUsage) outputTokens() winch.Tokens {
	tokens := u.delivered
	if u.hasEngineCount {
		tokens = u.engineOutput
		if tokens >= u.previouslyDelivered+u.delivered {
			tokens -= u.previouslyDelivered
		}
	}
	return max(tokens, u.recorded)
}

// report records the delivered tokens once there are at least step of them.
func (s *Server) recordDelivered(now time.Time, req *request, a *attempt, step winch.Tokens) {
	unrecorded := a.usage.delivered - a.usage.recorded
	if unrecorded < step || a.usage.recordedByPeer || req.collectStream || req.organisation == "" {
		return
	}
	a.usage.recorded += unrecorded
	s.recordUsage(now, req, a, winch.UsageRecord{OutputTokens: unrecorded})
}

// settle records what is left of an attempt's output.
func (s *Server) recordRemaining(now time.Time, req *request, a *attempt) {
	if req.firstWithOutput == nil && (a.complete || a.usage.delivered > 0) {
		req.firstWithOutput = a
	}
	if a.usage.hasEngineCount {
		req.inputTokens = a.usage.engineInput
	}
	if a.usage.recordedByPeer {
		return
	}
	if req.collectStream {
		req.collectedTokens += a.usage.outputTokens()
		return
	}
	if unrecorded := a.usage.outputTokens() - a.usage.recorded; unrecorded > 0 && req.organisation != "" {
		s.recordUsage(now, req, a, winch.UsageRecord{OutputTokens: unrecorded})
	}
}

// bill records the request and its input, once, with the endpoint that served it
// first, and the output of an answer that was collected. Where that was in another data centre, or where a peer hands over a stream
// that has begun, the other host does it.
func (s *Server) recordRequest(now time.Time, req *request) {
	if req.firstWithOutput == nil || req.organisation == "" || req.collectStream && !req.responseStarted {
		return
	}
	record := winch.UsageRecord{}
	if !req.firstWithOutput.usage.recordedByPeer && !req.continuesStream {
		record.Requests, record.InputTokens = 1, req.inputTokens
	}
	if req.collectStream {
		record.OutputTokens = req.collectedTokens
	}
	if record.Requests > 0 || record.OutputTokens > 0 {
		s.recordUsage(now, req, req.firstWithOutput, record)
	}
}

func (s *Server) recordUsage(now time.Time, req *request, a *attempt, record winch.UsageRecord) {
	record.Organisation, record.Class, record.Supply = req.organisation, req.class.ID, a.endpoint.Supply
	s.options.Usage.Record(now, record)
}

// noteFirst notes the time of an attempt's first token.
func (s *Server) noteFirstToken(now time.Time, req *request, a *attempt) {
	if a.usage.firstTokenSeen {
		return
	}
	a.usage.firstTokenSeen = true
	a.slot.FirstToken(now)
	if req.firstToken == 0 {
		req.firstToken = now.Sub(req.arrived)
	}
}
