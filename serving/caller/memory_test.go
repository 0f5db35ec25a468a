package caller

import (
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/arbutuswinch/winch/internal/memory"
	"github.com/arbutuswinch/winch/serving/internal/runstate"
)

// TestBodyBeyondTheBudgetIsRefused guards against bodies of open requests that take more memory together than the process has.
func TestBodyBeyondTheBudgetIsRefused(t *testing.T) {
	budget := memory.NewBudget(1 << 20)
	backend := newFakeService(t)
	server := newTestServer(t, func(o *Options) { o.Memory = budget }, backend.endpoint("s1"))
	const path = "/services/booking/holds"
	t.Run("one that does not fit", func(t *testing.T) {
		assertError(t, server.send(t, http.MethodPost, path, strings.Repeat("x", 2<<20)), http.StatusServiceUnavailable, "no_memory", runstate.NotRun)
	})
	t.Run("one that fits is served and gives its memory back", func(t *testing.T) {
		assert.Equal(t, server.send(t, http.MethodPost, path, strings.Repeat("x", 100<<10)).StatusCode, http.StatusOK)
		assert.Equal(t, budget.Usage().Used, int64(0))
	})
}

func TestGrowBody(t *testing.T) {
	t.Run("declared length", func(t *testing.T) {
		assert.Equal(t, nextBodySize(0, 100, 4<<20), int64(101))
		assert.Equal(t, nextBodySize(0, 1<<20, 4<<20), int64(firstBodyStep))
		assert.Equal(t, nextBodySize(firstBodyStep, 1<<20, 4<<20), int64(bodyStepFactor*firstBodyStep))
		assert.Equal(t, nextBodySize(1<<19, 1<<20, 4<<20), int64(1<<20+1))
	})
	t.Run("unknown length", func(t *testing.T) {
		assert.Equal(t, nextBodySize(3<<20, -1, 4<<20), int64(4<<20+1))
	})
}
