package keyvalue

import "github.com/arbutuswinch/winch"

// Events of this package.
const (
	// EventCommitted: a note is committed, by this call or, with Repeated, by an earlier one.
	EventCommitted winch.EventNumber = 4001
	// EventCommitConflict: a note conflicts with one that was committed after its base.
	EventCommitConflict winch.EventNumber = 4002
	// EventCommitOutcomeUnknown: the response to a commit was lost; whether the note was
	// committed is read from the key-value service.
	EventCommitOutcomeUnknown winch.EventNumber = 4003
	// EventSnapshot: a snapshot was written.
	EventSnapshot winch.EventNumber = 4004
	// EventSnapshotFailed: writing a snapshot failed; a later commit retries it.
	EventSnapshotFailed winch.EventNumber = 4005
	// EventAccepted: a revision was recorded as accepted.
	EventAccepted winch.EventNumber = 4006
)
