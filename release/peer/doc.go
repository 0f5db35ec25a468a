// Package peer distributes the configuration between hosts and decides what each
// host may serve with it.
//
// The hub of a data centre watches the release log on the platform, and passes new
// revisions on in the exchange with the hosts of its data centre. Hubs of different
// data centres exchange digests.
//
// A host serves requests with keys only while it holds a proof that is younger than
// the freshness limit L. A proof states that at some time, on the host's own clock,
// no revision newer than the host's could have been accepted. It comes from the
// platform through the hub, from the hub of another data centre, or from majorities
// of the hosts in more than half of the data centres. Messages carry ages instead of
// times, and each receiver adds the delay of the message, so clocks need not be
// synchronized.
//
// A data centre without a proof keeps serving for the isolation grace G, as long as
// a majority of its hosts agree that none of them knows a newer revision.
//
// A data centre has settled a revision when a majority of its hosts hold it. A
// revision is accepted when more than half of the data centres have settled it and
// for each data centre either L has passed since it settled the revision, or L+G have
// passed since more than half had. After that, no host that lacks the revision can
// still hold a proof or be within the grace.
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
// Authorize returns winch.ErrUnauthorized for keys that are unknown or withdrawn, and
// winch.ErrIsolated when this host may no longer accept keys.
package peer
