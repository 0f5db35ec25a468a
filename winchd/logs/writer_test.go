package logs

import (
	"bytes"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"testing"

	"gotest.tools/v3/assert"
)

// blockingOutput is an output whose first write blocks until unblock is closed.
type blockingOutput struct {
	unblock chan struct{}
	once    sync.Once

	mu      sync.Mutex
	written bytes.Buffer
}

func (o *blockingOutput) Write(data []byte) (int, error) {
	o.once.Do(func() { <-o.unblock })
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.written.Write(data)
}

func writeLine(t *testing.T, w *Writer, text string) {
	t.Helper()
	count, err := w.Write([]byte(text + "\n"))
	assert.NilError(t, err)
	assert.Equal(t, count, len(text)+1)
}

func TestWriter(t *testing.T) {
	t.Run("writes all lines in order", func(t *testing.T) {
		target := &blockingOutput{unblock: make(chan struct{})}
		close(target.unblock)
		w := New(target, 100)
		for _, text := range []string{"a", "b", "c"} {
			writeLine(t, w, text)
		}
		assert.NilError(t, w.Close())
		assert.Equal(t, target.written.String(), "a\nb\nc\n")
	})
	t.Run("never blocks and reports the number of dropped lines", func(t *testing.T) {
		target := &blockingOutput{unblock: make(chan struct{})}
		w := New(target, 2)
		for range 50 {
			writeLine(t, w, "x")
		}
		close(target.unblock)
		assert.NilError(t, w.Close())
		written, dropped := target.written.String(), 0
		for _, match := range regexp.MustCompile(`"Dropped":(\d+)`).FindAllStringSubmatch(written, -1) {
			count, err := strconv.Atoi(match[1])
			assert.NilError(t, err)
			dropped += count
		}
		assert.Assert(t, dropped > 0)
		assert.Equal(t, strings.Count(written, "x\n")+dropped, 50, "each line must be written or counted as dropped")
	})
	t.Run("accepts lines after Close", func(t *testing.T) {
		w := New(&bytes.Buffer{}, 2)
		assert.NilError(t, w.Close())
		writeLine(t, w, "late")
		assert.NilError(t, w.Close())
	})
}
