package billing

import (
	"fmt"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/arbutuswinch/winch"
	"github.com/arbutuswinch/winch/platform/platformtest"
	"github.com/arbutuswinch/winch/platform/store"
	"github.com/arbutuswinch/winch/usage"
)

// newClient returns a client of the store of its own, as of another host.
func newClient(t *testing.T, s *platformtest.Store) winch.KeyValue {
	t.Helper()
	server := httptest.NewServer(s)
	t.Cleanup(server.Close)
	client, err := store.New(store.Options{Address: strings.TrimPrefix(server.URL, "http://")})
	assert.NilError(t, err)
	return client
}

// TestWindowsAreReportedAfterTheStoreCameBack guards against a reporter that is stuck with a head of a former era, and against windows that are
// reported again with other counts. The store comes back twice, and gives the revisions of the lost seals out again.
func TestWindowsAreReportedAfterTheStoreCameBack(t *testing.T) {
	for _, tells := range []bool{false, true} {
		for _, successor := range []bool{false, true} {
			t.Run(fmt.Sprintf("store tells its era %v, successor %v", tells, successor), func(t *testing.T) {
				platform := platformtest.NewStore()
				if tells {
					platform.TellEra()
				}
				s := newSimulation(t)
				s.service = newClient(t, platform)
				reporter := s.takeOver()
				steps := func(length time.Duration) {
					for range int(length / time.Second) {
						s.now = s.now.Add(time.Second)
						reporter.Step(t.Context(), s.now)
					}
				}
				run := func(windows int) {
					for range windows {
						s.count(t.Context(), usage.WindowOf(s.now, defaultWindow), "yard-1", 3)
						steps(defaultWindow)
					}
				}
				run(3)
				older := platform.Backup()
				run(2)
				steps(defaultWindow / 2)
				reports := len(s.reported)
				for range 2 {
					platform.Return(older)
					if successor {
						s.service = newClient(t, platform)
						reporter = s.takeOver()
					}
					// The hub stores again what it holds.
					for source := range s.counted {
						s.count(t.Context(), source.Window, source.DataCentre, 0)
					}
					s.now = usage.WindowOf(s.now, defaultWindow).End(defaultWindow)
					run(2)
				}
				steps(defaultWindow)
				assert.Equal(t, len(s.reported), reports+4, "each window that began after a loss is reported")
				assertNoLateCounts(t, s.reported)
			})
		}
	}
}
