package caller

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/arbutuswinch/winch"
)

func TestUnverifiedKeyGrace(t *testing.T) {
	const grace = time.Second
	since := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	s := &Server{options: Options{Limits: Limits{UnverifiedKeyGrace: grace}}}
	isolation := fmt.Errorf("authorize key: %w", &winch.IsolationError{Since: since})
	t.Run("requests continue during the grace period", func(t *testing.T) {
		assert.Assert(t, s.withinUnverifiedKeyGrace(since.Add(grace-1), isolation))
	})
	t.Run("requests end after the grace period, also if the process was paused meanwhile", func(t *testing.T) {
		assert.Assert(t, !s.withinUnverifiedKeyGrace(since.Add(grace), isolation))
		assert.Assert(t, !s.withinUnverifiedKeyGrace(since.Add(time.Hour), isolation))
	})
	t.Run("no grace period for a withdrawn key", func(t *testing.T) {
		assert.Assert(t, !s.withinUnverifiedKeyGrace(since, winch.ErrUnauthorized))
	})
	t.Run("no grace period if the start of the isolation is unknown", func(t *testing.T) {
		assert.Assert(t, !s.withinUnverifiedKeyGrace(since, winch.ErrIsolated))
	})
}
