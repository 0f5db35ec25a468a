// Package endpoint chooses an endpoint for each request, queues requests that
// must wait, and decides which requests to refuse or preempt under overload.
//
// The decision logic is a state machine without I/O: its inputs are events and
// the current time, its outputs are grants, refusals and preemptions. Dispatcher
// adds locking, channels, logs and metrics. Requests queue on the host that
// received them, with a separate queue (lane) for each class and model or route,
// while each endpoint gets no more requests than it can serve within the targets
// of their classes. The hosts of a data centre exchange statistics through one of
// them, the hub; Section returns this package's part of that exchange.
//
// # Usage
//
//	dispatcher, err := endpoint.New(endpoint.Options{
//		Configurations: configurations, Source: ordered, Membership: members,
//		Clock: clock, Logger: logger, Meter: meter, Policy: endpoint.PolicyWinch, Seed: 1,
//	})
//	if err != nil {
//		return err
//	}
//	go dispatcher.Run(ctx)
//	slot, err := dispatcher.Acquire(ctx, clock.Now(), work)
//	if errors.Is(err, winch.ErrRefused) {
//		return err // not run; the *winch.Refusal holds the time to retry after
//	}
//	defer slot.Release(clock.Now(), outcome)
//
// Loads are numbers of requests. Errors are those of winch.Dispatcher.
package endpoint
