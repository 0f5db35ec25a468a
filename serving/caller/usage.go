package caller

import (
	"time"

	"github.com/arbutuswinch/winch"
)

// usageRecordStep is the number of delivered tokens after which a running stream records
// its usage.
const usageRecordStep winch.Tokens = 256

// attemptUsage counts the output that one attempt delivered to the caller, or that was
// collected from it.
type attemptUsage struct {
	// previouslyDelivered is the output of earlier attempts.
	previouslyDelivered winch.Tokens
	// recordedByPeer: the host in the endpoint's data centre records the usage.
	recordedByPeer bool
	delivered      winch.Tokens
	recorded       winch.Tokens
	// engineInput and engineOutput are the engine's own counts, valid if hasEngineCount.
	hasEngineCount bool
	engineInput    winch.Tokens
	engineOutput   winch.Tokens
	// firstTokenSeen is set once the engine has sent its first token.
	firstTokenSeen bool
}

// setEngineCount stores the engine's token counts if the event or response has them.
func (u *attemptUsage) setEngineCount(chunk winch.Chunk) {
	if chunk.HasUsage {
		u.hasEngineCount, u.engineInput, u.engineOutput = true, chunk.InputTokens, chunk.OutputTokens
	}
}

func (u *attemptUsage) addDelivered(tokens winch.Tokens) { u.delivered += tokens }

// setFromResponse sets the token counts from a non-streaming response.
func (u *attemptUsage) setFromResponse(chunk winch.Chunk) {
	u.setEngineCount(chunk)
	u.delivered = chunk.Tokens
	if chunk.HasUsage {
		u.delivered = chunk.OutputTokens
	}
}

// outputTokens returns the number of output tokens to charge for the attempt. The engine's
// own count takes precedence over the number of events. On a resumed stream it may or may
// not include the output of earlier attempts; it is taken to include it if it is at least as
// large as the output of all attempts. The result is never less than what was already
// recorded, since records cannot be taken back.
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

// recordDelivered records the delivered tokens that are not yet recorded, once there are at
// least step of them.
func (s *Server) recordDelivered(now time.Time, req *request, a *attempt, step winch.Tokens) {
	unrecorded := a.usage.delivered - a.usage.recorded
	if unrecorded < step || a.usage.recordedByPeer || req.collectStream || req.organisation == "" {
		return
	}
	a.usage.recorded += unrecorded
	s.recordUsage(now, req, a, winch.UsageRecord{OutputTokens: unrecorded})
}

// recordRemaining records the rest of an attempt's output when the attempt ends. The output
// of a collected response is only added up, for recordRequest. It also notes the first
// attempt with output, and replaces the estimated number of input tokens by the engine's.
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

// recordRequest records the request and its input tokens once, for the endpoint that first
// delivered output, and the output tokens of a collected response. It does not record the
// request and its input if that endpoint was in another data centre or if the request
// continues a stream that a peer began: the other host does so. It records nothing for a
// collected response that was not delivered.
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

// noteFirstToken reports an attempt's first token to the dispatcher and sets the request's
// time to first token.
func (s *Server) noteFirstToken(now time.Time, req *request, a *attempt) {
	if a.usage.firstTokenSeen {
		return
	}
	a.usage.firstTokenSeen = true
	a.slot.FirstToken(now)
	if req.timeToFirstToken == 0 {
		req.timeToFirstToken = now.Sub(req.arrived)
	}
}
