// Package endpoint chooses an endpoint for each request, queues requests that
// must wait, and decides which are refused or moved when there is not room for all.
//
// The deciding core is a state machine without I/O: an event and the present
// time go in, and grants, refusals and preemptions come out. Dispatcher puts
// a lock, channels, logs and metrics around it. Requests queue at the entry
// hosts, apart by class and model, while each endpoint holds no more than it
// can serve within its classes' targets. Hosts of one data centre share
// figures by the exchange section that Section returns.
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
//		return err // not run; the *winch.Refusal tells when to come back
//	}
//	defer slot.Release(clock.Now(), outcome)
//
// Durations are time.Duration, and loads are numbers of requests. Errors are
// those of winch.Dispatcher.
package endpoint
