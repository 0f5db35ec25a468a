package endpoint

import (
	"fmt"
	"testing"
	"time"

	"github.com/arbutuswinch/winch"
)

// manyClasses returns a configuration of one model with the number of classes, in ten tiers.
func manyClasses(revision winch.Revision, classes int) *winch.Configuration {
	configuration := &winch.Configuration{Revision: revision, Classes: map[winch.ClassID]winch.Class{}}
	for i := range classes {
		id := winch.ClassID(fmt.Sprintf("class-%04d", i))
		configuration.Classes[id] = winch.Class{
			ID: id, Tier: winch.Tier(i%10 + 1), FirstTokenTarget: time.Duration(100+i) * time.Millisecond, Models: []winch.ModelID{chat},
		}
	}
	return configuration
}

// manyEndpoints returns a list of engines of one model.
func manyEndpoints(count int) []winch.EndpointStatus {
	statuses := []winch.EndpointStatus{}
	for i := range count {
		statuses = append(statuses, winch.EndpointStatus{State: winch.EndpointReady, Endpoint: winch.Endpoint{
			ID: winch.EndpointID(fmt.Sprintf("e-%04d", i)), DataCentre: "a", Kind: winch.EndpointEngine, Models: []winch.ModelID{chat}, SlotLimit: 16,
		}})
	}
	return statuses
}

// BenchmarkConfigure measures a change of the configuration: the layout, which is computed without the dispatcher's lock, the layout of a
// configuration with the same classes, and what is done under the lock. Tick and Request measure what the number of classes costs at other times.
func BenchmarkConfigure(b *testing.B) {
	for _, endpoints := range []int{12, 400, 3600} {
		for _, classes := range []int{5, 160, 550, 2000} {
			b.Run(fmt.Sprintf("endpoints=%d/classes=%d", endpoints, classes), func(b *testing.B) {
				now := time.Unix(1_000_000, 0)
				first, second := manyClasses(1, classes), manyClasses(2, classes)
				statuses := manyEndpoints(endpoints)
				built := newLayout("a", "", first, statuses, nil)
				c := newCore(winch.Host{ID: "h0", DataCentre: "a"}, PolicyPrefill, Settings{}, 1)
				c.apply(now, built)
				b.Run("Layout", func(b *testing.B) {
					b.ReportAllocs()
					for b.Loop() {
						newLayout("a", "", first, statuses, nil)
					}
				})
				b.Run("SameClasses", func(b *testing.B) {
					b.ReportAllocs()
					for b.Loop() {
						newLayout("a", "", second, statuses, built)
					}
				})
				b.Run("Locked", func(b *testing.B) {
					b.ReportAllocs()
					for b.Loop() {
						c.apply(now, built)
					}
				})
				b.Run("Tick", func(b *testing.B) {
					for b.Loop() {
						c.tick(now)
					}
				})
				b.Run("Request", func(b *testing.B) {
					for b.Loop() {
						r := c.arrive(now, winch.Work{Request: "r", Class: "class-0003", Model: chat, InputTokens: 200}, nil, nil)
						c.release(now, r, winch.OutcomeDone)
						c.effects = c.effects[:0]
					}
				})
			})
		}
	}
}
