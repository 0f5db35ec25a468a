package endpoint

import (
	"fmt"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/arbutuswinch/winch"
)

// benchCore returns a core whose endpoints are half full or, if queued is not zero, full with
// that many queued requests.
func benchCore(endpoints, queued int) (*core, time.Time) {
	now := time.Unix(1_000_000, 0)
	configuration := twoClasses(endpoints, 16)
	for id, class := range configuration.Classes {
		class.QueueLimit, class.MaxWait, class.FirstTokenTarget = 1<<20, time.Hour, time.Hour
		configuration.Classes[id] = class
	}
	c := newCore(winch.Host{ID: "h0", DataCentre: "a"}, PolicyWinch, Settings{}, 1)
	c.configure(now, configuration, nil)
	for i := range endpoints * 16 / 2 {
		c.arrive(now, benchWork(i), nil, nil)
	}
	if queued > 0 {
		for i := range endpoints*16/2 + queued {
			c.arrive(now, benchWork(i), nil, nil)
		}
	}
	c.tick(now)
	c.effects = c.effects[:0]
	return c, now
}

func benchWork(i int) winch.Work {
	class := interactive
	if i%2 == 1 {
		class = background
	}
	return winch.Work{
		Request: "r", Organisation: winch.OrganisationID(fmt.Sprintf("o%d", i%2000)), Class: class, Model: chat,
		InputTokens: 200, Prefix: winch.PrefixHash(i % 1000),
	}
}

// BenchmarkDecision measures an arrival, which is routed or queued, and a release that assigns
// its slot to the next request.
func BenchmarkDecision(b *testing.B) {
	for _, endpoints := range []int{10, 100, 400} {
		for _, queued := range []int{0, 1000, 10000} {
			b.Run(fmt.Sprintf("endpoints=%d/queued=%d", endpoints, queued), func(b *testing.B) {
				c, now := benchCore(endpoints, queued)
				works := make([]winch.Work, 2000)
				for i := range works {
					works[i] = benchWork(i)
				}
				running := make([]*request, 0, endpoints*16+1)
				for _, e := range c.sortedEndpoints {
					for i := range e.tiers {
						for r := e.tiers[i].newest; r != nil; r = r.runNext {
							running = append(running, r)
						}
					}
				}
				b.ReportAllocs()
				b.ResetTimer()
				for i := range b.N {
					c.arrive(now, works[i%len(works)], nil, nil)
					if place := i % len(running); running[place].state == requestRunning {
						c.release(now, running[place], winch.OutcomeDone)
						c.recycle(running[place])
						running[place] = running[len(running)-1]
						running = running[:len(running)-1]
					}
					for j := range c.effects {
						if c.effects[j].kind == effectGranted {
							running = append(running, c.effects[j].request)
						}
					}
					c.effects = c.effects[:0]
				}
			})
		}
	}
}

func BenchmarkTick(b *testing.B) {
	for _, endpoints := range []int{10, 100, 400} {
		b.Run(fmt.Sprintf("endpoints=%d", endpoints), func(b *testing.B) {
			c, now := benchCore(endpoints, 1000)
			b.ReportAllocs()
			b.ResetTimer()
			for range b.N {
				c.tick(now)
				c.effects = c.effects[:0]
			}
		})
	}
}

// BenchmarkTokens measures Slot.Tokens while other goroutines call it on their own slots.
func BenchmarkTokens(b *testing.B) {
	configuration := twoClasses(1, 16)
	d, err := New(Options{Configurations: fixedConfigurations{configuration}, Clock: systemClock{}, Logger: hclog.NewNullLogger()})
	if err != nil {
		b.Fatal(err)
	}
	now := time.Now()
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		slot, err := d.Acquire(b.Context(), now, workOf(interactive, 1))
		if err != nil {
			b.Error(err)
			return
		}
		for pb.Next() {
			slot.Tokens(now, 1)
		}
		slot.Release(now, winch.OutcomeDone)
	})
}

// BenchmarkAcquire measures Acquire and Release with contention for the lock but not for slots.
func BenchmarkAcquire(b *testing.B) {
	d, err := New(Options{Configurations: fixedConfigurations{twoClasses(400, 16)}, Clock: systemClock{}, Logger: hclog.NewNullLogger()})
	if err != nil {
		b.Fatal(err)
	}
	now := time.Now()
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			slot, err := d.Acquire(b.Context(), now, workOf(interactive, 1))
			if err != nil {
				b.Error(err)
				return
			}
			slot.Release(now, winch.OutcomeDone)
		}
	})
}
