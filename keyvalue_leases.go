package winch

import (
	"context"
	"time"
)

// LeaseID identifies a lease of the key-value service.
type LeaseID int64

// LeasedKeyValue is a key-value service whose keys can be attached to leases: when a
// lease ends, its keys are deleted.
//
// Errors are those of KeyValue. ErrNotFound means that the lease has ended.
type LeasedKeyValue interface {
	KeyValue
	// Grant creates a lease. Its time to live starts when the service receives the call.
	Grant(ctx context.Context, ttl time.Duration) (LeaseID, error)
	// Renew restarts the lease's time to live.
	Renew(ctx context.Context, lease LeaseID) error
	// End revokes the lease and deletes its keys.
	End(ctx context.Context, lease LeaseID) error
	// PutLeased is like Put, and attaches the key to the lease.
	PutLeased(ctx context.Context, key string, value []byte, expect Version, lease LeaseID) (Version, error)
}
