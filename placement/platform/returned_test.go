package platform

import (
	"encoding/json"
	"fmt"
	"net/http/httptest"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/arbutuswinch/winch"
	"github.com/arbutuswinch/winch/platform/platformtest"
	"github.com/arbutuswinch/winch/platform/store"
)

const orderKey = "placement/yard-1/order"

// newClient returns a client of the store of its own, as of another host.
func newClient(t *testing.T, s *platformtest.Store) *store.Client {
	t.Helper()
	server := httptest.NewServer(s)
	t.Cleanup(server.Close)
	client, err := store.New(store.Options{Address: strings.TrimPrefix(server.URL, "http://")})
	assert.NilError(t, err)
	return client
}

// assertCounts compares the number of endpoints that the sent orders ask for.
func (f *fixture) assertCounts(t *testing.T, want ...int) {
	t.Helper()
	var counts []int
	for _, order := range f.sender.sent {
		counts = append(counts, order.Pools[0].Count)
	}
	assert.DeepEqual(t, counts, want)
}

// TestOrdersGoOnAfterTheStoreCameBack guards against a holder that stops to order because the version of its newest intent is of a former era.
func TestOrdersGoOnAfterTheStoreCameBack(t *testing.T) {
	for _, tells := range []bool{false, true} {
		t.Run(fmt.Sprintf("store tells its era %v", tells), func(t *testing.T) {
			s := platformtest.NewStore()
			if tells {
				s.TellEra()
			}
			f := newFixtureOn(t, newClient(t, s))
			empty := s.Backup()
			f.steps(t, 1)
			older := s.Backup()
			f.planner.count = 2
			f.steps(t, 1)
			s.Return(older)
			f.planner.count = 3
			// A step may meet the conflict, and the next one reads the intent again.
			f.steps(t, 2)
			f.assertCounts(t, 1, 2, 3)
			t.Run("and if the copy has no intent", func(t *testing.T) {
				s.Return(empty)
				f.planner.count = 4
				f.steps(t, 2)
				f.assertCounts(t, 1, 2, 3, 4)
			})
			t.Run("but not if another host has begun a later term since", func(t *testing.T) {
				s.Return(older)
				value, err := json.Marshal(wireIntent{FencingNumber: 9})
				assert.NilError(t, err)
				_, err = newClient(t, s).Put(t.Context(), orderKey, value, winch.VersionAny)
				assert.NilError(t, err)
				sent := len(f.sender.sent)
				f.planner.count = 5
				f.steps(t, 5)
				assert.Equal(t, len(f.sender.sent), sent)
			})
		})
	}
}
