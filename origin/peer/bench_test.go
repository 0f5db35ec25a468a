package peer

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/arbutuswinch/winch"
)

// BenchmarkRecord records streams of a model with one version, and of one with two, which are told.
func BenchmarkRecord(b *testing.B) {
	for _, software := range [][]winch.SoftwareVersion{{"v1"}, {"v1", "v2"}} {
		b.Run(fmt.Sprint(len(software)), func(b *testing.B) {
			g := newGroup(b, 1, software...)
			for i := range b.N {
				g.hosts[0].begin(winch.RequestID(fmt.Sprintf("dealer/%016x", i)), "v1")
			}
		})
	}
}

// BenchmarkTell sends one record to another host.
func BenchmarkTell(b *testing.B) {
	g := newGroup(b, 2, "v1", "v2")
	all, now := g.hosts[0].keeper.clients.Load(), time.Now()
	call := tellCall{Streams: []streamWire{encodeStream(now, "dealer/0123456789abcdef", winch.StreamOrigin{Model: "model-pool", Software: "v1.1", At: now})}}
	encoded, _ := json.Marshal(call)
	b.ReportMetric(float64(len(encoded)), "body-B/op")
	for b.Loop() {
		if err := tellTo(b.Context(), all, g.hosts[1].self, call); err != nil {
			b.Fatal(err)
		}
	}
}
