// Package keyvalue stores the log of committed release notes in the platform's
// key-value service.
//
// The head entry holds the newest committed note. Replacing it by compare-and-swap
// is the commit. Before a head is replaced, its value is copied to a record keyed
// by revision, and an index entry keyed by the note's id is written. Every writer
// writes the same content to these two entries, so writing them again is harmless.
// Apart from the parts of a long note, a commit needs no other writes, so its cost is
// proportional to the size of the note. After a commit, a record that has passed the
// retention is deleted, and from time to time a snapshot of the whole configuration is
// written.
//
// Entries below the prefix; each call of Commit and each snapshot has its own write id:
//
//	head                      the newest commit
//	records/<bucket>/<n>      earlier commits by revision
//	notes/<id>                index entry of a note: its revision, write id and hash
//	parts/<write id>/<n>      parts of a note that is too long for the head
//	snapshot                  the revision of the newest snapshot, and the keys and hashes of its parts
//	snapshots/<write id>/<n>  parts of a snapshot
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
