package simulation

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/arbutuswinch/winch"
	"github.com/arbutuswinch/winch/keyvalue/era"
	told "github.com/arbutuswinch/winch/keyvalue/peer"
	"github.com/arbutuswinch/winch/usage/peer"
)

// machine is a host. It runs one process after the other.
type machine struct {
	fleet    *fleet
	id       winch.HostID
	random   *rand.Rand
	troubles []trouble
	// flaps are the times during which the machine sees only some of the others.
	flaps []trouble
	// syncedAt is when the machine's window clock was corrected by skew.
	syncedAt    time.Time
	skew        time.Duration
	pausedUntil time.Time
	starts      int
	current     *process
}

func (f *fleet) newMachine(name string) *machine {
	m := &machine{fleet: f, id: winch.HostID(name), random: f.rng(name)}
	if f.faults.reversedEvery > 0 {
		return m
	}
	if f.faults.danger == 0 {
		m.troubles = m.drawTroubles(0.5)
	}
	m.flaps = m.drawTroubles(0.3)
	m.skew = spread(m.random, -maxSkew, maxSkew)
	m.syncedAt = f.begin.Add(spread(m.random, 0, 6*time.Second))
	return m
}

// live starts the machine's program, and pauses, kills, stops and starts it again until ctx ends.
func (m *machine) live(ctx context.Context) {
	sleep(ctx, spread(m.random, 0, 1500*time.Millisecond))
	m.start(ctx)
	if m.fleet.faults.restartsInSeries {
		m.restartInSeries(ctx)
	}
	if m.fleet.faults.reversedEvery > 0 {
		<-ctx.Done()
	}
	for ctx.Err() == nil {
		sleep(ctx, spread(m.random, 500*time.Millisecond, 15*time.Second)/m.fleet.hurry)
		switch m.random.IntN(5) {
		case 0, 1:
			m.pause(spread(m.random, 50*time.Millisecond, longestPause) / m.fleet.hurry)
		case 2:
			m.end(ctx, false)
		case 3:
			m.end(ctx, true)
		default:
			m.startTwin(ctx)
		}
	}
	m.current.stop()
	m.current.running.Wait()
}

func (m *machine) pause(length time.Duration) {
	m.fleet.mu.Lock()
	defer m.fleet.mu.Unlock()
	m.pausedUntil = time.Now().Add(length)
}

// mayPause pauses the machine now and then, just when it is in the middle of a call.
func (m *machine) mayPause(random *rand.Rand) {
	if m.fleet.faults.reversedEvery == 0 && random.IntN(25) == 0 {
		m.pause(spread(random, 500*time.Millisecond, longestPause))
	}
}

// end kills the process or stops it in order, and starts another.
func (m *machine) end(ctx context.Context, inOrder bool) {
	p := m.current
	if inOrder {
		p.leave()
		sleep(ctx, spread(m.random, 0, 1500*time.Millisecond)/m.fleet.hurry)
		p.cancel()
		p.running.Wait()
	}
	p.stop()
	p.running.Wait()
	sleep(ctx, spread(m.random, 50*time.Millisecond, 3*time.Second)/m.fleet.hurry)
	if ctx.Err() == nil {
		m.start(ctx)
	}
}

// restartInSeries ends the process, in order or not, and starts another, whenever it is the machine's turn.
func (m *machine) restartInSeries(ctx context.Context) {
	number, series := slices.Index(m.fleet.machines, m), time.Duration(len(m.fleet.machines))*turnLength
	sleep(ctx, time.Duration(number+1)*turnLength)
	for ctx.Err() == nil {
		m.end(ctx, m.random.IntN(2) == 0)
		sleep(ctx, series-time.Since(m.fleet.begin)%series+time.Duration(number)*turnLength)
	}
}

// startTwin starts a second process, which runs to the end, if faults selects that.
func (m *machine) startTwin(ctx context.Context) {
	if !m.fleet.faults.twins || m.starts > 1 {
		return
	}
	first := m.current
	m.start(ctx)
	sleep(ctx, spread(m.random, time.Second, 10*time.Second))
	first.stop()
}

func (m *machine) start(ctx context.Context) {
	m.starts++
	p := &process{machine: m, incarnation: winch.Incarnation(fmt.Sprintf("%s-%d", m.id, m.starts)), startedAt: time.Now(),
		joins: spread(m.random, 0, maxJoin), offset: spread(m.random, 0, time.Hour), sealed: peer.NewSealedWindows(m.id),
	}
	eras, err := era.New(era.Options{})
	m.fleet.must(err)
	p.eras, p.told = eras, told.New(told.Options{Self: m.id, Tracker: eras, Settle: silentAfter})
	if m.fleet.faults.sharedIncarnation {
		p.incarnation = winch.Incarnation(m.id)
	}
	processCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	p.cancel = cancel
	m.fleet.mu.Lock()
	m.current = p
	m.fleet.mu.Unlock()
	p.run(processCtx)
}

func (m *machine) view(p *process, component string) *view {
	return &view{store: m.fleet.store, host: p, random: m.fleet.rng(string(p.incarnation) + component)}
}

func sleep(ctx context.Context, length time.Duration) {
	select {
	case <-time.After(length):
	case <-ctx.Done():
	}
}
