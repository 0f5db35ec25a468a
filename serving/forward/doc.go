// Package forward is a reverse proxy: it routes requests by host name and path prefix and
// forwards them to endpoints with their bytes unchanged.
//
// A request is checked against the current configuration, waits for a slot from the
// dispatcher and is sent to the slot's endpoint; the response is relayed to the caller. Each
// request has a tracker, which records whether the request may have run and whether it may be
// sent again. A refusal states that the request was not run only if, in each attempt, either
// no byte was written or the endpoint reported that it did not run the request. The
// configuration is checked again before each send, because a key or a route may have been
// removed while the request was queued.
//
// Responses that are not streams are read in full before they are relayed. Streams are
// relayed event by event. A stream that breaks resumes at another endpoint if its route
// allows it; otherwise the caller's connection is closed, so that the response does not
// look complete.
//
// # Usage
//
//	server, err := forward.New(forward.Options{
//		Configurations: follower, Dispatcher: dispatcher, Protocol: caller.Protocol{}, Sender: runner.New(exchanger),
//		Usage: counters, Loads: dispatcher, Clock: clock, Logger: logger, Meter: meter,
//	})
//	if err != nil {
//		return err
//	}
//	go http.Serve(listener, server.Handler())
//	err = server.Drain(ctx)
package forward
