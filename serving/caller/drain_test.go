package caller

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/arbutuswinch/winch"
)

func TestLapseDelay(t *testing.T) {
	const delay = time.Second
	since := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	s := &Server{options: Options{Limits: Limits{UnverifiedKeyGrace: delay}}}
	isolation := fmt.Errorf("authorize key: %w", &winch.IsolationError{Since: since})
	t.Run("requests continue during the delay", func(t *testing.T) {
		assert.Assert(t, s.withinUnverifiedKeyGrace(since.Add(delay-1), isolation))
	})
	t.Run("requests end after the delay, also if the process was paused meanwhile", func(t *testing.T) {
		assert.Assert(t, !s.withinUnverifiedKeyGrace(since.Add(delay), isolation))
		assert.Assert(t, !s.withinUnverifiedKeyGrace(since.Add(time.Hour), isolation))
	})
	t.Run("no delay for a withdrawn key", func(t *testing.T) {
		assert.Assert(t, !s.withinUnverifiedKeyGrace(since, winch.ErrUnauthorized))
	})
	t.Run("no delay if the start of the isolation is unknown", func(t *testing.T) {
		assert.Assert(t, !s.withinUnverifiedKeyGrace(since, winch.ErrIsolated))
	})
}
