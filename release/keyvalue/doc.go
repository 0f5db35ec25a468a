// Package keyvalue stores the log of committed release notes in the platform's
// key-value service.
//
// The head entry holds the newest committed note. Replacing it by compare-and-swap
// is the commit. Before a head is replaced, its value is copied to a record keyed
// by revision, and an index entry keyed by the note's id is written. Every writer
// writes the same content to these two entries, so writing them again is harmless.
// A commit needs no other writes, so its cost is proportional to the size of the
// note. Snapshots of the whole configuration are written from time to time.
//
// Entries below the prefix:
//
//	head                      the newest commit
//	records/<bucket>/<n>      earlier commits by revision
//	notes/<id>                the revision of a note
//	parts/<write>/<n>         parts of a note that is too long for the head
//	snapshot                  the revision of the newest snapshot, and its parts with their hashes
//	snapshots/<write>/<n>     parts of a snapshot
//	accepted                  the newest accepted revision
//	rosters/<data centre>     the hosts that are counted for the data centre's majority
//
// # Usage
//
//	store, err := keyvalue.New(keyvalue.Options{KeyValue: client, Incarnation: incarnation, Logger: logger})
//	if err != nil {
//		return err
//	}
//	result, err := store.Commit(ctx, configurations.Current(), note)
//
// Commit returns winch.ErrInvalid for a note that cannot be applied, a
// *winch.ReleaseConflict for a note that conflicts with an earlier commit, and
// winch.ErrUnavailable or winch.ErrRateLimited when nothing was committed. It returns
// winch.ErrOutcomeUnknown when the note may or may not have been committed; committing
// the same note again resolves that.
package keyvalue
