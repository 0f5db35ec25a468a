// Package peer distributes the configuration between hosts and decides what each
// host may serve with it.
//
// The membership makes one host of each data centre its hub. Hosts exchange messages at
// intervals: each host sends its hub a report and gets a summary, and the hubs of
// different data centres send each other digests. The hub watches the release log on the
// platform and passes new revisions on in these messages.
//
// # Proofs
//
// A host accepts keys only while it holds a proof that is younger than the freshness
// limit L. A proof is a time on the host's own clock and a revision: no newer revision
// is accepted, in the sense below, within L after that time. The host must hold that
// revision or a newer one. A proof comes from a read of the platform, from the hub of
// another data centre, or from majorities of the hosts in more than half of the data
// centres.
//
// Summaries and digests carry ages instead of times; the receiver counts an age back from
// the start of the exchange. A report carries the token of the last summary, to which the
// hub dates it. So clocks need not be synchronised.
//
// There is one exception: after its last proof has expired, a host keeps accepting keys for
// up to the isolation grace G, as long as a majority of the hosts of its data centre know
// no newer revision. Keys of organisations with StrictKeys get no grace.
//
// # Acceptance
//
// A data centre has settled a revision when a majority of its hosts hold it. A revision
// is accepted when a hub has recorded it as accepted on the platform. A hub does so once
// these times, each with Options.Margin added, have passed:
//
//   - L since the revision was first known to be committed
//   - L since a data centre settled it, for each that has
//   - L+G since more than half of the data centres had settled it, for each data centre
//     that has not
//
// After that, no host that lacks the revision accepts keys. Its last proof from the
// platform is from before the commit, and its last proof from majorities is from before
// more than half of the data centres had settled the revision; both expire after L. In a
// data centre that has settled the revision, no majority allows the grace any more; in
// one that has not, the grace lasts for at most G after the proof.
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
