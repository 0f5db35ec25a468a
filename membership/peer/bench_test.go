package peer

import (
	"fmt"
	"testing"
)

// BenchmarkHub measures the choice of a hub among 44 hosts of 396.
func BenchmarkHub(b *testing.B) {
	table := newTable()
	for i := range 395 {
		table.Heard(epoch, host(fmt.Sprintf("host-%d", i), string(rune('a'+i%9))), 0)
	}
	b.ReportAllocs()
	for b.Loop() {
		table.Hub(epoch, "a")
	}
}
