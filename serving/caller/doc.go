// Package caller serves the HTTP API for callers: completions, streamed or not, the
// list of models, and calls to plain services, which are HTTP services below /services/
// as opposed to model engines. It also serves requests that hosts in other data centres
// forward to this one.
//
// A state machine (package runstate) tracks each request: queued, dispatching, sent,
// answered or outcome unknown. The response header X-Run-State is "not_run" only if no byte can have
// reached an endpoint or the endpoint itself reported that it did not run the request. Once
// a non-repeatable call may have reached an endpoint, it is never sent again; if no response
// arrives, its outcome is unknown and the caller gets the error "outcome_unknown".
//
// If a stream breaks, stalls or is preempted, it is resumed on another endpoint after the
// output that the caller already has. A stream that cannot be resumed ends with an error
// event.
//
// # Usage
//
//	server, err := caller.New(caller.Options{
//		Configurations: configurations, Dispatcher: dispatcher, Usage: usage, Claims: claims,
//		Engines: engines, Services: services, Peers: peers, PeerSecret: secret, Clock: clock, Logger: logger, Meter: meter,
//	})
//	if err != nil {
//		return err
//	}
//	http.Handle("/", server.Handler())
//	http.Handle("/peer/serve/", server.PeerHandler())
//	...
//	err = server.Drain(ctx)
//
// Headers carry durations in Go syntax ("1.5s"), except Retry-After, which is in whole
// seconds.
package caller
