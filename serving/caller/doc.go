// Package caller serves the caller port: completions, streams, the list of models
// and calls of plain services, and the same requests when another data centre
// hands them over.
//
// A request goes through a ledger of states (queued, dispatching, sent, answered).
// "Not run" is said only in states in which no byte can have reached an endpoint, or
// when the endpoint itself said so. A call that may not be repeated is never sent
// again after that; its caller gets the distinct outcome "outcome_unknown".
//
// A stream that breaks, stalls or is preempted is continued on another endpoint
// from what was delivered. A stream that cannot go on ends with an error event.
//
// # Usage
//
//	server, err := caller.New(caller.Options{
//		Configurations: configurations, Dispatcher: dispatcher, Usage: usage, Claims: claims,
//		Engines: engines, Services: services, Peers: peers, Clock: clock, Logger: logger, Meter: meter,
//	})
//	if err != nil {
//		return err
//	}
//	httpServer.HandlePrefix("/", server.Handler())
//	...
//	err = server.Drain(ctx)
//
// Durations in headers are as Go writes them ("1.5s"); Retry-After is in whole seconds.
package caller
