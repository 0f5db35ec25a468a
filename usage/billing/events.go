package billing

import "github.com/arbutuswinch/winch"

// Event numbers of the log lines of this package.
const (
	// EventWindowSealed: the figures of a window were fixed.
	EventWindowSealed winch.EventNumber = 6101
	// EventWindowReported: the platform accepted the report of a window.
	EventWindowReported winch.EventNumber = 6102
	// EventReportFailed: a report was not accepted or its outcome is unknown; it is sent again.
	EventReportFailed winch.EventNumber = 6103
	// EventReportConflict: the platform already has a report of the window with different
	// figures.
	EventReportConflict winch.EventNumber = 6104
	// EventReportFenced: the platform rejected a report because it has seen a higher fencing
	// number; from the next step on, no reports are sent in this term.
	EventReportFenced winch.EventNumber = 6105
	// EventSealFailed: the stored usage state could not be read or written, or belongs to a newer
	// term; the next step reads it again.
	EventSealFailed winch.EventNumber = 6106
	// EventSealDelayed: a window that is due is not sealed yet because counts of some hosts are
	// missing.
	EventSealDelayed winch.EventNumber = 6107
	// EventLedgerOpened: the lease holder has read the stored usage state, at the start of its term or after a failure.
	EventLedgerOpened winch.EventNumber = 6108
	// EventSealsLost: the stored usage state is older than a seal that hosts know of, lacks its last seal, or is of an earlier era of the
	// key-value service, of whose end this process knows nothing. The windows up to that seal, or all that were due, are not sealed or
	// reported again.
	EventSealsLost winch.EventNumber = 6109
)
