package connlimit

import (
	"bytes"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestHeadMeter(t *testing.T) {
	t.Run("a usual head is part of the connection", func(t *testing.T) {
		m := headMeter{}
		m.add(bytes.Repeat([]byte("X-Name: some value\r\n"), 20))
		assert.Equal(t, m.beyond(), int64(0))
	})
	t.Run("fields count", func(t *testing.T) {
		m := headMeter{}
		m.add(bytes.Repeat([]byte("a:\r\n"), 1000))
		assert.Assert(t, m.beyond() >= 1000*fieldCost-includedHead)
	})
	t.Run("what is buffered counts for the next request", func(t *testing.T) {
		m := headMeter{}
		m.add(bytes.Repeat([]byte("a:\r\n"), 1000))
		m.restart()
		assert.Assert(t, m.beyond() >= 1000*fieldCost-includedHead)
		m.skip(make([]byte, readerSize+1))
		m.restart()
		assert.Equal(t, m.cost, int64(0))
	})
}

// FuzzHeadMeter guards against pieces of a head that cost less than the whole.
func FuzzHeadMeter(f *testing.F) {
	f.Add([]byte("GET / HTTP/1.1\r\nHost: a\r\n\r\n"), 3)
	f.Fuzz(func(t *testing.T, head []byte, piece int) {
		whole, pieces := headMeter{}, headMeter{}
		whole.add(head)
		size := max(1, piece%(len(head)+1))
		for rest := head; len(rest) > 0; rest = rest[min(len(rest), size):] {
			pieces.add(rest[:min(len(rest), size)])
		}
		if whole.cost != pieces.cost || whole.cost < int64(len(head)) || pieces.beyond()+includedHead < pieces.cost {
			t.Fatalf("whole %d, pieces %d", whole.cost, pieces.cost)
		}
	})
}

func TestChoose(t *testing.T) {
	const limit = 4 * batchShare
	now := int64(time.Hour)
	at := func(a activity, age time.Duration) candidate { return candidate{activity: a, since: now - int64(age)} }
	t.Run("none that the server works on", func(t *testing.T) {
		assert.Equal(t, len(choose([]candidate{at(working, time.Hour)}, now, limit)), 0)
	})
	t.Run("without a request before those with one, the oldest first, a batch at most", func(t *testing.T) {
		chosen := choose([]candidate{at(idle, time.Minute), at(waiting, 1), at(waiting, 3), at(waiting, 2), at(waiting, 5), at(waiting, 4)}, now, limit)
		assert.Equal(t, len(chosen), 4)
		for i, age := range []int64{5, 4, 3, 2} {
			assert.Equal(t, chosen[i], candidate{activity: waiting, since: now - age})
		}
	})
	t.Run("connections that were idle for a short time one at a time", func(t *testing.T) {
		chosen := choose([]candidate{at(idle, time.Second), at(idle, 2*time.Second)}, now, limit)
		assert.Equal(t, len(chosen), 1)
		assert.Equal(t, chosen[0], at(idle, 2*time.Second))
	})
	t.Run("slow ones last and only after a time", func(t *testing.T) {
		assert.Equal(t, len(choose([]candidate{at(slowBody, time.Second), at(slowReader, time.Second)}, now, limit)), 0)
		chosen := choose([]candidate{at(slowReader, time.Hour), at(slowBody, 3*time.Second), at(slowBody, 4*time.Second)}, now, limit)
		assert.Equal(t, len(chosen), 1)
		assert.Equal(t, chosen[0], at(slowBody, 4*time.Second))
	})
}
