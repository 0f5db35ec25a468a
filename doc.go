// Package winch holds the domain types and the interfaces of arbutuswinch, a
// router for language-model traffic with service levels and priorities.
//
// Implementations stand below this package, one directory for each duty and
// inside it one package for each peer or protocol: serving/caller speaks to
// callers, release/keyvalue to the platform's key-value service, and so on.
// No slice imports the internals of another; they meet through the interfaces
// declared here.
//
// # Usage
//
// A part is embedded by constructing it with the interfaces that it needs:
//
//	store, err := keyvalue.New(keyvalue.Settings{Address: "127.0.0.1:7000"})
//	if err != nil {
//		return err
//	}
//	charge := lease.New(lease.Options{Store: store, Duty: "orders/centre-a"})
//	go charge.Run(ctx)
//	term, held := charge.Term(clock.Now())
//
// Functions that decide take the present time as an argument, and do no I/O.
// Durations are time.Duration and instants are time.Time throughout.
package winch
