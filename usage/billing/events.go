package billing

import "github.com/arbutuswinch/winch"

// Events of this package.
const (
	// EventWindowSealed: the figures of a window are fixed.
	EventWindowSealed winch.EventNumber = 6101
	// EventWindowReported: the platform took a window's figures.
	EventWindowReported winch.EventNumber = 6102
	// EventReportFailed: a report was not taken or its outcome is unknown; it is sent again.
	EventReportFailed winch.EventNumber = 6103
	// EventReportDiffers: the platform holds other figures for the window.
	EventReportDiffers winch.EventNumber = 6104
	// EventReportFenced: the platform has seen a higher fencing number; this term reports nothing more.
	EventReportFenced winch.EventNumber = 6105
	// EventSealFailed: collected counts could not be read, or a seal could not be kept.
	EventSealFailed winch.EventNumber = 6106
	// EventSealWaits: a window that is due is not sealed yet, as counts of hosts are missing.
	EventSealWaits winch.EventNumber = 6107
)
