package keyvalue

import "github.com/arbutuswinch/winch"

// Events of this package.
const (
	// EventCommitted: a note was committed.
	EventCommitted winch.EventNumber = 4001
	// EventCommitConflict: a note lost against another one.
	EventCommitConflict winch.EventNumber = 4002
	// EventCommitUnknown: the answer to a commit was lost; it is read back.
	EventCommitUnknown winch.EventNumber = 4003
	// EventSnapshot: a snapshot was written.
	EventSnapshot winch.EventNumber = 4004
	// EventSnapshotFailed: a snapshot could not be written; a later commit tries again.
	EventSnapshotFailed winch.EventNumber = 4005
	// EventAccepted: a revision was recorded as accepted.
	EventAccepted winch.EventNumber = 4006
)
