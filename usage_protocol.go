package winch

import "time"

// UsageFigure is the usage of an organisation in a window.
type UsageFigure struct {
	Organisation OrganisationID
	Requests     int64
	InputTokens  Tokens
	OutputTokens Tokens
	// Adjustment is set when the usage belongs to an earlier window whose report did not contain it.
	Adjustment bool
}

// UsageReport is the report of one shard for one window. Usage that becomes known later is part of
// the report of a later window (UsageFigure.Adjustment).
type UsageReport struct {
	Shard Shard
	// Window is the start of the window.
	Window time.Time
	// Length is the length of the window.
	Length  time.Duration
	Holder  HostID
	Number  FencingNumber
	Figures []UsageFigure
}

// UsageProtocol encodes usage reports in the format of the receiver.
type UsageProtocol interface {
	Encode(report UsageReport) (FencedCall, error)
}

// SealedWindows is what the hosts know of the windows whose usage was fixed, besides what the key-value service says.
type SealedWindows interface {
	// Newest returns the start of the newest window of the shard that is known to be sealed, or the zero time.
	Newest(shard Shard) time.Time
	// Told reports whether another host is known to know of all windows that this one knows of.
	Told() bool
	// Note records that the window that begins at start was sealed.
	Note(now time.Time, shard Shard, start time.Time)
}
