package keyvalue

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/arbutuswinch/winch"
	"github.com/arbutuswinch/winch/platform/platformtest"
)

// grantHook runs a function after a lease was granted.
type grantHook struct {
	winch.LeasedKeyValue
	after func()
}

func (g *grantHook) Grant(ctx context.Context, ttl time.Duration) (winch.LeaseID, error) {
	lease, err := g.LeasedKeyValue.Grant(ctx, ttl)
	after := g.after
	g.after = func() {}
	after()
	return lease, err
}

// TestLeaseGrantedBeforeTheStoreCameBackIsNotUsed guards against a host whose entry is bound to the lease of another host, and is deleted
// when that one stops.
func TestLeaseGrantedBeforeTheStoreCameBackIsNotUsed(t *testing.T) {
	s := platformtest.NewStore()
	s.TellEra()
	empty := s.Backup()
	a, b := newHost(t, s, "a"), newHost(t, s, "b")
	a.options.Store = &grantHook{LeasedKeyValue: a.options.Store, after: func() {
		s.Return(empty)
		b.keepRegistered(t.Context())
	}}
	a.keepRegistered(t.Context())
	a.keepRegistered(t.Context())
	assert.Assert(t, a.lease != b.lease, "both hosts use lease %d", a.lease)
	assertRegistered(t, s, map[winch.HostID]bool{"a": true, "b": true})
}
