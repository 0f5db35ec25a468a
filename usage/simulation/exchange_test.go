package simulation

import (
	"context"
	"time"

	"github.com/arbutuswinch/winch"
)

// exchange lets the hosts that run tell each other of sealed windows and eras, through the first of them.
func (f *fleet) exchange(ctx context.Context) {
	for ctx.Err() == nil {
		sleep(ctx, exchangeEvery+time.Nanosecond)
		reachable := f.reachable()
		for _, p := range reachable {
			f.exchangeSection(p, reachable[0], p.sealed, reachable[0].sealed)
			f.exchangeSection(p, reachable[0], p.told, reachable[0].told)
		}
	}
}

// exchangeSection lets the process report its section to that of the hub.
func (f *fleet) exchangeSection(p, hub *process, own, hubs winch.Section) {
	f.must(hubs.Collect(time.Now(), p.machine.id, own.Report(time.Now())))
	f.must(own.Apply(time.Now(), time.Now(), hub.machine.id, hubs.Summary(time.Now(), p.machine.id)))
}

// reachable returns the processes that run, are not paused and see all others.
func (f *fleet) reachable() []*process {
	f.mu.Lock()
	defer f.mu.Unlock()
	reachable := []*process{}
	for _, m := range f.machines {
		if p := m.current; p != nil && !p.killed && time.Now().After(m.pausedUntil) && during(m.flaps).share == 0 {
			reachable = append(reachable, p)
		}
	}
	return reachable
}
