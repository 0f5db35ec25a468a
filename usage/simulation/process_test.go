package simulation

import (
	"cmp"
	"context"
	"sync"
	"time"

	"github.com/arbutuswinch/winch"
	"github.com/arbutuswinch/winch/keyvalue/era"
	told "github.com/arbutuswinch/winch/keyvalue/peer"
	lease "github.com/arbutuswinch/winch/lease/keyvalue"
	"github.com/arbutuswinch/winch/usage/billing"
	"github.com/arbutuswinch/winch/usage/peer"
)

// process is one run of a host's program.
type process struct {
	machine     *machine
	incarnation winch.Incarnation
	startedAt   time.Time
	joins       time.Duration
	offset      time.Duration
	cancel      context.CancelFunc
	running     sync.WaitGroup
	sealed      *peer.SealedWindows
	eras        *era.Tracker
	// told is what the process and others tell each other of eras.
	told *told.Section
	// killed, leaving, endedAt and waits are guarded by the mutex of the fleet.
	killed  bool
	leaving bool
	endedAt time.Time
	waits   int
}

// run starts the components as winchd does.
func (p *process) run(ctx context.Context) {
	m, f := p.machine, p.machine.fleet
	members := membership{process: p}
	wait := inFlight
	if f.faults.noInFlight {
		wait = time.Nanosecond
	}
	holder, err := lease.New(lease.Options{
		Store: m.view(p, "lease"), Duty: platformDuty, Membership: members, Incarnation: p.incarnation, Standbys: f.standbys,
		TTL: leaseLength, RenewEvery: renewEvery, InFlight: wait, Informed: p.informed(), Clock: p,
	})
	f.must(err)
	sealed := winch.SealedWindows(p.sealed)
	if f.faults.noExchange {
		sealed = nil
	}
	reporter, err := billing.New(billing.Options{
		Protocol: protocol{}, Shard: shard, Sealed: sealed, Host: m.id, Incarnation: p.incarnation, Lease: holder,
		Sender: &sender{host: p, random: f.rng(string(p.incarnation) + "reports"), receiver: f.receiver, faults: f.faults},
		Store:  m.view(p, "ledger"), Eras: p.eras, Window: windowLength, Grace: usageGrace, MaxGrace: usageMaxGrace, CatchUpDelay: usageCatchUp,
		Membership: members, OnTimeFrom: centre, Retention: f.retained, Interval: usageInterval, Clock: p, WindowClock: windowClock{p},
	})
	f.must(err)
	orders := &sender{host: p, random: f.rng(string(p.incarnation) + "orders"), receiver: f.receiver, faults: f.faults}
	for _, run := range []func(context.Context) error{holder.Run, reporter.Run, func(ctx context.Context) error { return p.order(ctx, holder, orders) }} {
		stagger := spread(m.random, 0, 100*time.Millisecond)
		p.running.Go(func() {
			time.Sleep(stagger)
			_ = run(ctx)
		})
	}
}

// order sends an order in each interval of the term.
func (p *process) order(ctx context.Context, holder *lease.Holder, sender *sender) error {
	for ctx.Err() == nil {
		sleep(ctx, cmp.Or(p.machine.fleet.faults.orderEvery, orderInterval))
		term, held := holder.Term(p.Now())
		if !held || ctx.Err() != nil {
			continue
		}
		p.machine.fleet.noteTerm(term.Number)
		_, _ = sender.Send(ctx, holder, winch.FencedCall{Path: orderPath, Body: []byte("{}"), Number: term.Number})
	}
	return nil
}

// Now implements winch.Clock with a steady clock, which a paused process reads only when it goes on.
func (p *process) Now() time.Time {
	p.proceed()
	return time.Now().Add(p.offset)
}

type windowClock struct{ process *process }

// Now implements winch.Clock with the time by which usage is assigned to windows.
func (c windowClock) Now() time.Time {
	c.process.proceed()
	m := c.process.machine
	if now := time.Now(); now.Before(m.syncedAt) {
		return now.Add(m.skew)
	}
	return time.Now().Add(m.skew / 200)
}

// proceed waits while the process is paused, and reports whether it has not been killed.
func (p *process) proceed() bool {
	for {
		p.machine.fleet.mu.Lock()
		until, killed := p.machine.pausedUntil, p.killed
		wait := time.Until(until)
		if wait > 0 {
			// No two of the process's calls go on at the same time, so that a seed always gives the same run.
			p.waits++
			until = until.Add(time.Duration(p.waits) * time.Nanosecond)
		}
		p.machine.fleet.mu.Unlock()
		if killed || wait <= 0 {
			return !killed
		}
		time.Sleep(time.Until(until))
	}
}

func (p *process) dead() bool {
	p.machine.fleet.mu.Lock()
	defer p.machine.fleet.mu.Unlock()
	return p.killed
}

func (p *process) leave() {
	p.machine.fleet.mu.Lock()
	defer p.machine.fleet.mu.Unlock()
	p.leaving = true
}

// stop ends the process at once.
func (p *process) stop() {
	p.machine.fleet.mu.Lock()
	p.killed, p.endedAt = true, time.Now()
	p.machine.fleet.mu.Unlock()
	p.cancel()
}

// isSeen reports whether other hosts believe the process to be alive.
func (p *process) isSeen(now time.Time) bool {
	return p != nil && now.Sub(p.startedAt) >= p.joins && (p.endedAt.IsZero() || now.Sub(p.endedAt) < maxForget-p.joins)
}
