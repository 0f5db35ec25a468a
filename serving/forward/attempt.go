package forward

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/arbutuswinch/winch"
	"github.com/arbutuswinch/winch/serving/internal/ledger"
)

// attempt is one try to run a request on an endpoint.
type attempt struct {
	slot     winch.Slot
	endpoint winch.Endpoint
	ctx      context.Context
	cancel   context.CancelCauseFunc
	reply    *winch.ForwardReply
	started  time.Time
	// delivered says that the endpoint sent a part of the answer.
	delivered bool
}

// attemptRecord is what the log tells of an attempt.
type attemptRecord struct {
	endpoint winch.EndpointID
	waited   time.Duration
	took     time.Duration
	status   int
	outcome  string
}

// run gets the request answered, by one endpoint after the other as far as the ledger,
// the route and the retry budget allow.
func (s *Server) run(ctx context.Context, w http.ResponseWriter, req *request) *fault {
	for {
		a, f := s.acquire(ctx, req)
		if f != nil {
			return f
		}
		err := s.send(w, req, a)
		f = s.settle(ctx, req, a, err)
		if f != nil || err == nil {
			return f
		}
	}
}

// acquire waits for a slot, and looks once more whether the request may run.
func (s *Server) acquire(ctx context.Context, req *request) (*attempt, *fault) {
	started := s.now()
	if f := s.admit(started, req); f != nil {
		return nil, s.denied(req, f)
	}
	slot, err := s.options.Dispatcher.Acquire(ctx, started, s.work(req))
	if err != nil {
		return nil, s.unacquired(ctx, req, err)
	}
	req.move(ledger.SlotGranted)
	now := s.now()
	model := req.grant.model
	f := s.admit(now, req)
	if f == nil && req.grant.model != model {
		f = notRun("route_changed", defaultUnreadyRetry)
	}
	if f == nil && ctx.Err() != nil {
		f = ended(ctx, req.sends > 0)
	}
	if f != nil {
		slot.Release(now, winch.OutcomeCancelled)
		req.move(ledger.SlotReturned)
		return nil, s.denied(req, f)
	}
	a := &attempt{slot: slot, endpoint: slot.Endpoint(), started: now}
	a.ctx, a.cancel = s.attemptContext(ctx, req)
	req.attempts = append(req.attempts, attemptRecord{endpoint: a.endpoint.ID, waited: now.Sub(started)})
	req.move(ledger.SendStarted)
	return a, nil
}

// denied is the answer to a request that may no longer run. One that was sent before
// cannot be told that it was not run.
func (s *Server) denied(req *request, f *fault) *fault {
	if req.ledger.RunState() == ledger.NotRun || f.promisesNothing() {
		return f
	}
	return lost(f.reason)
}

func (s *Server) unacquired(ctx context.Context, req *request, err error) *fault {
	var refusal *winch.Refusal
	switch {
	case errors.As(err, &refusal):
		return s.denied(req, refusedBy(refusal))
	case ctx.Err() != nil:
		return s.denied(req, ended(ctx, false))
	}
	return s.denied(req, notRun(string(winch.RefusedNoEndpoint), defaultUnreadyRetry))
}

// attemptContext returns the context of an attempt. A call that may not be repeated and
// is no stream goes on when its caller leaves: broken off, its outcome would be unknown.
func (s *Server) attemptContext(ctx context.Context, req *request) (context.Context, context.CancelCauseFunc) {
	if req.grant.forward.Kind == winch.ForwardOnce {
		ctx = req.own
	}
	attempting, cancel := context.WithCancelCause(ctx)
	limit := attemptLimit(req.grant, req.sends)
	if limit == 0 {
		return attempting, cancel
	}
	timer := time.AfterFunc(limit, func() { cancel(errSlowAttempt) })
	return attempting, func(cause error) {
		timer.Stop()
		cancel(cause)
	}
}

const (
	// slowTargets is how many times the target an attempt may take that can be repeated.
	slowTargets = 2.5
	minSlow     = 200 * time.Millisecond
)

// attemptLimit returns how long an attempt may take while another one is left; zero
// stands for the request's own time.
func attemptLimit(g grant, sends int) time.Duration {
	if g.forward.Kind != winch.ForwardIdempotent || sends+1 >= g.forward.MaxAttempts || g.class.FirstTokenTarget <= 0 {
		return 0
	}
	return max(minSlow, time.Duration(slowTargets*float64(g.class.FirstTokenTarget)))
}

func (s *Server) work(req *request) winch.Work {
	work := winch.Work{
		Request: req.ID, Organisation: req.grant.organisation, Class: req.grant.class.ID, Model: req.grant.model,
		InputTokens: req.InputTokens, OutputTokens: req.OutputTokens, Parts: req.Parts, Arrived: req.arrived, Deadline: req.deadline,
		Excluded: req.excluded, Fixed: !req.grant.forward.Repeatable() || req.grant.forward.Kind != winch.ForwardStream,
		Plain: req.grant.forward.Kind != winch.ForwardStream,
	}
	if req.began {
		work.OutputDone = 1
	}
	return work
}

// send sends the request and passes the answer on. The error says why the attempt gave none.
func (s *Server) send(w http.ResponseWriter, req *request, a *attempt) error {
	call := winch.ForwardCall{
		Request: req.ForwardRequest, Body: req.body, Organisation: req.grant.organisation, Tier: req.grant.class.Tier,
		Timeout: req.deadline.Sub(a.started), LastEvent: req.lastEvent,
	}
	reply, err := s.options.Sender.Forward(a.ctx, a.endpoint, call)
	if err != nil {
		return err
	}
	a.reply = reply
	s.observeLoad(a)
	req.attempts[len(req.attempts)-1].status = reply.Status
	if err := screen(req, reply); err != nil {
		return err
	}
	req.move(ledger.AnswerCame)
	if req.grant.forward.Kind == winch.ForwardStream && reply.Status == http.StatusOK {
		return s.relayStream(w, req, a)
	}
	return s.relayWhole(w, req, a)
}

var (
	// errEndpointRefused: the endpoint said that it did not run the request.
	errEndpointRefused = errors.New("refused by the endpoint")
	// errMisdirected: another endpoint has the address.
	errMisdirected = errors.New("another endpoint has the address")
	// errNotAuthentic: a success without the endpoint's signature.
	errNotAuthentic = errors.New("answer without signature")
	// errFailedStatus: the endpoint failed, and another one may succeed.
	errFailedStatus = errors.New("endpoint failed")
	// errAmbiguous: a status that would say "not run" without the endpoint's word for it.
	errAmbiguous = errors.New("status that promises what the endpoint does not")
)

// screen looks at the head of the answer. It returns an error for answers that are none:
// refusals, and failures after which the request may be tried elsewhere.
func screen(req *request, reply *winch.ForwardReply) error {
	switch {
	case reply.Misdirected:
		return errMisdirected
	case reply.NotExecuted:
		return errEndpointRefused
	case !reply.Authentic && reply.Status < http.StatusBadRequest:
		return errNotAuthentic
	case promisesNotRun(reply.Status):
		return errAmbiguous
	case req.began && reply.Status != http.StatusOK:
		// The caller has the beginning of another answer.
		return errFailedStatus
	case reply.Status >= http.StatusInternalServerError && req.mayRepeat():
		return errFailedStatus
	}
	return nil
}

// promisesNotRun tells whether callers take the status as word that the request was not run.
func promisesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// mayRepeat tells whether another attempt is allowed after one that may have run.
func (req *request) mayRepeat() bool {
	return req.ledger.Repeatable && req.sends+1 < req.grant.forward.MaxAttempts
}

func (s *Server) observeLoad(a *attempt) {
	load := a.reply.Load
	if load == nil {
		return
	}
	now := s.now()
	s.options.Loads.ObserveLoad(now, winch.LoadReport{
		Endpoint: a.endpoint.ID, AsOf: now, Running: load.Running, Waiting: load.Waiting,
	})
}

// move takes a happening into the ledger.
func (req *request) move(what ledger.Happening) {
	req.ledger, _ = req.ledger.Next(what)
}
