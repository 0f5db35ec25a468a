package caller

import (
	"time"

	"github.com/arbutuswinch/winch"
)

// reportStep is how many tokens are delivered between two usage records of a stream.
const reportStep winch.Tokens = 256

// account counts what one attempt delivered.
type account struct {
	// base is what earlier attempts delivered.
	base winch.Tokens
	// peer: the use is counted where the endpoint stands.
	peer     bool
	tokens   winch.Tokens
	reported winch.Tokens
	// input and output are the engine's own counts.
	known  bool
	input  winch.Tokens
	output winch.Tokens
	// started says that the first token came.
	started bool
}

func (a *account) count(chunk winch.Chunk) {
	if chunk.HasUsage {
		a.known, a.input, a.output = true, chunk.InputTokens, chunk.OutputTokens
	}
}

func (a *account) deliver(tokens winch.Tokens) { a.tokens += tokens }

// usage takes the counts of a whole answer in.
func (a *account) usage(chunk winch.Chunk) {
	a.count(chunk)
	a.tokens = chunk.Tokens
	if chunk.HasUsage {
		a.tokens = chunk.OutputTokens
	}
}

// final returns the tokens that count. The engine's own count replaces that of the
// events; on a continued stream it may cover the earlier attempts or not.
func (a *account) final() winch.Tokens {
	counted := a.tokens
	if a.known {
		counted = a.output
		if counted >= a.base+a.tokens {
			counted -= a.base
		}
	}
	return max(counted, a.reported)
}

// report records the delivered tokens once there are at least step of them.
func (s *Server) report(now time.Time, req *request, a *attempt, step winch.Tokens) {
	due := a.account.tokens - a.account.reported
	if due < step || a.account.peer || req.collect || req.organisation == "" {
		return
	}
	a.account.reported += due
	s.record(now, req, a, winch.UsageRecord{OutputTokens: due})
}

// settle records what is left of an attempt's output.
func (s *Server) settle(now time.Time, req *request, a *attempt) {
	if req.first == nil && (a.complete || a.account.tokens > 0) {
		req.first = a
	}
	if a.account.known {
		req.input = a.account.input
	}
	if a.account.peer {
		return
	}
	if req.collect {
		req.held += a.account.final()
		return
	}
	if due := a.account.final() - a.account.reported; due > 0 && req.organisation != "" {
		s.record(now, req, a, winch.UsageRecord{OutputTokens: due})
	}
}

// bill records the request and its input, once, with the endpoint that served it
// first, and the output of an answer that was collected. Where that was in another data centre, or where a peer hands over a stream
// that has begun, the other host does it.
func (s *Server) bill(now time.Time, req *request) {
	if req.first == nil || req.organisation == "" || req.collect && !req.began {
		return
	}
	record := winch.UsageRecord{}
	if !req.first.account.peer && !req.handedOn {
		record.Requests, record.InputTokens = 1, req.input
	}
	if req.collect {
		record.OutputTokens = req.held
	}
	if record.Requests > 0 || record.OutputTokens > 0 {
		s.record(now, req, req.first, record)
	}
}

func (s *Server) record(now time.Time, req *request, a *attempt, record winch.UsageRecord) {
	record.Organisation, record.Class, record.Supply = req.organisation, req.class.ID, a.endpoint.Supply
	s.options.Usage.Record(now, record)
}

// noteFirst notes the time of an attempt's first token.
func (s *Server) noteFirst(now time.Time, req *request, a *attempt) {
	if a.account.started {
		return
	}
	a.account.started = true
	a.slot.FirstToken(now)
	if req.firstToken == 0 {
		req.firstToken = now.Sub(req.arrived)
	}
}
