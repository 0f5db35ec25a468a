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
	s := &Server{options: Options{Limits: Limits{LapseDelay: delay}}}
	isolation := fmt.Errorf("authorize key: %w", &winch.Isolation{Since: since})
	t.Run("requests go on for the delay", func(t *testing.T) {
		assert.Assert(t, s.withinLapseDelay(since.Add(delay-1), isolation))
	})
	t.Run("and end after it, also when the process was paused meanwhile", func(t *testing.T) {
		assert.Assert(t, !s.withinLapseDelay(since.Add(delay), isolation))
		assert.Assert(t, !s.withinLapseDelay(since.Add(time.Hour), isolation))
	})
	t.Run("a withdrawn key has no delay", func(t *testing.T) {
		assert.Assert(t, !s.withinLapseDelay(since, winch.ErrUnauthorized))
	})
	t.Run("isolation of unknown age has no delay", func(t *testing.T) {
		assert.Assert(t, !s.withinLapseDelay(since, winch.ErrIsolated))
	})
}
