package winch

import (
	"context"
	"time"
)

// LeaseID names a lease of the key-value service.
type LeaseID int64

// LeasedKeyValue is a key-value service whose keys can be bound to leases: when a
// lease ends, its keys are removed.
//
// Errors are those of KeyValue. ErrNotFound says that the lease has ended.
type LeasedKeyValue interface {
	KeyValue
	// Grant returns a new lease. It runs from the arrival of the call.
	Grant(ctx context.Context, ttl time.Duration) (LeaseID, error)
	// Renew lets the lease run for its whole time again.
	Renew(ctx context.Context, lease LeaseID) error
	// End ends the lease, and removes its keys.
	End(ctx context.Context, lease LeaseID) error
	// PutLeased is Put for a key that is bound to the lease.
	PutLeased(ctx context.Context, key string, value []byte, expect Version, lease LeaseID) (Version, error)
}
