package winch

import "time"

// UsageFigure is what an organisation used in a window.
type UsageFigure struct {
	Organisation OrganisationID
	Requests     int64
	InputTokens  Tokens
	OutputTokens Tokens
	// Adjustment says that the use was in an earlier window, whose report was made without it.
	Adjustment bool
}

// UsageReport is the sealed use of one window.
type UsageReport struct {
	Shard Shard
	// Window is the start of the window, Length its length.
	Window  time.Time
	Length  time.Duration
	Holder  HostID
	Number  FencingNumber
	Figures []UsageFigure
}

// UsageProtocol encodes usage reports as the receiver takes them.
type UsageProtocol interface {
	Encode(report UsageReport) (FencedCall, error)
}

// PlacementOrder is an order for one pool.
type PlacementOrder struct {
	ID         OrderID
	Number     FencingNumber
	Holder     HostID
	DataCentre DataCentreID
	Pools      []PoolOrder
}

// OrderProtocol encodes orders as the receiver takes them: one call, or one for each pool.
type OrderProtocol interface {
	Encode(order PlacementOrder) ([]FencedCall, error)
}
