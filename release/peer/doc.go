// Package peer distributes the configuration between hosts and says what a host
// may serve by it.
//
// The hub of a data centre watches the platform's record of commits and passes
// revisions on in the exchange with its hosts; hubs tell each other in digests.
// A host serves keyed requests only while it holds a proof that is younger than
// the freshness limit L: as of an instant on its own clock no revision newer than
// its own could have been accepted. A proof comes from the platform through the
// hub, from another data centre's hub, or from statements of the majorities of the
// hosts of more than half of the data centres. Ages are added up along the way, so
// that clocks need not agree.
//
// A data centre without any proof goes on for the isolation grace G, as long as a
// majority of its hosts agree that they know of nothing newer.
//
// A data centre has settled a revision when a majority of its hosts hold it. A
// revision is accepted when more than half of the data centres have settled it,
// and each other one has settled it too, at least L ago, or L+G have passed.
// After that no host that lacks the revision can hold a proof or a grace.
//
// # Usage
//
//	distributor, err := peer.New(peer.Options{
//		Membership: membership, Log: store, Clock: clock, Incarnation: incarnation, Logger: logger,
//	})
//	if err != nil {
//		return err
//	}
//	exchange.Add(distributor.Section())
//	go distributor.Run(ctx)
//	key, err := distributor.Authorize(clock.Now(), winch.HashKey(secret))
//
// Authorize returns winch.ErrUnauthorized for keys that are unknown or withdrawn
// and winch.ErrIsolated when keys can no longer be trusted.
package peer
