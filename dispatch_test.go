package winch

import (
	"errors"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestRefusal(t *testing.T) {
	refusal := &Refusal{Reason: RefusedQueueFull, RetryAfter: time.Second}
	t.Run("matches the sentinel", func(t *testing.T) {
		assert.Assert(t, errors.Is(refusal, ErrRefused))
	})
	t.Run("names its reason", func(t *testing.T) {
		assert.Error(t, refusal, "refused: queue_full")
	})
}
