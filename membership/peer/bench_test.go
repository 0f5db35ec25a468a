package peer

import (
	"fmt"
	"testing"
)

// BenchmarkHub measures how long it takes to choose a hub among the 45 hosts of one data
// centre, with 396 known hosts in total.
func BenchmarkHub(b *testing.B) {
	table := newTable()
	for i := range 395 {
		table.RecordAlive(epoch, host(fmt.Sprintf("host-%d", i), string(rune('a'+i%9))), 0)
	}
	b.ReportAllocs()
	for b.Loop() {
		table.Hub(epoch, "a")
	}
}
