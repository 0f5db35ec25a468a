// Package keyvalue commits release notes to the platform's key-value service and
// reads them back.
//
// The head entry holds the newest committed note, and one compare-and-swap of it
// is the commit. Before a head is replaced, its value is copied to an entry of
// its own, by revision, and the note's id is indexed; both copies are the same
// whoever makes them, so that they can be made again. Nothing else has to be
// written for a note to be committed, and a change costs the bytes of the change.
// From time to time a whole configuration is written as a snapshot.
//
// Entries below the prefix:
//
//	head                      the newest commit
//	records/<bucket>/<n>      earlier commits by revision
//	notes/<id>                the revision of a note
//	parts/<write>/<n>         pieces of a note too long for the head
//	snapshot                  names the newest snapshot and the hashes of its pieces
//	snapshots/<write>/<n>     pieces of a snapshot
//	accepted                  the newest accepted revision
//	rosters/<data centre>     the hosts that count for the data centre's majority
//
// # Usage
//
//	store, err := keyvalue.New(keyvalue.Options{KeyValue: client, Incarnation: incarnation, Logger: logger})
//	if err != nil {
//		return err
//	}
//	result, err := store.Commit(ctx, configurations.Current(), note)
//
// Commit returns winch.ErrInvalid for a note that does not fit, a
// *winch.ReleaseConflict when another note came first, winch.ErrUnavailable or
// winch.ErrRateLimited when nothing was committed, and winch.ErrOutcomeUnknown when
// that could not be found out in time; applying the same note again resolves it.
package keyvalue
