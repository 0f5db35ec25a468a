// Package forward serves requests that are passed on to endpoints with their bytes
// unchanged, by host name and path prefix.
//
// A request is admitted by the configuration in force, waits for a slot of the
// dispatcher, is sent, and its answer is passed on. The ledger of each request says
// whether it may be sent again, and whether a refusal may say that it was not run: only
// an endpoint's own word or a call of which no byte was written counts for that. What
// admits a request is looked at again before each send, since a key or a route may have
// gone while it waited.
//
// Answers that are no streams are read in full before they are passed on. Streams are
// passed on event by event; one that breaks goes on elsewhere when its route allows it,
// and else ends with its connection, so that it does not look complete.
//
// # Usage
//
//	server, err := forward.New(forward.Options{
//		Configurations: follower, Dispatcher: dispatcher, Protocol: caller.Protocol{}, Sender: runner.New(exchanger),
//		Usage: counters, Clock: clock, Logger: logger, Meter: meter,
//	})
//	if err != nil {
//		return err
//	}
//	go http.Serve(listener, server.Handler())
//	err = server.Drain(ctx)
package forward
