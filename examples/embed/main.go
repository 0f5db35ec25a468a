// Command embed shows how a program embeds the leases for duties. A duty is a task that one
// process at a time performs; a term is the period for which a process holds the lease for it.
// Two candidates hold the lease for one duty in turn: the first releases it when it stops, and
// the second acquires it with a higher fencing number.
package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/arbutuswinch/winch"
	"github.com/arbutuswinch/winch/clock/boottime"
	"github.com/arbutuswinch/winch/keyvalue/memory"
	"github.com/arbutuswinch/winch/lease/keyvalue"
	"github.com/arbutuswinch/winch/membership/peer"
)

const (
	duty           = winch.Duty("nightly-report")
	dataCentre     = winch.DataCentreID("yard-1")
	pollInterval   = 10 * time.Millisecond
	acquireTimeout = 20 * time.Second
	// The times are long, because the candidates do not exchange membership and must not suspect each other.
	suspectAfter = time.Hour
	forgetAfter  = 2 * time.Hour
)

// errAcquireTimeout is returned when a candidate does not acquire the lease in time.
var errAcquireTimeout = errors.New("lease not acquired in time")

// candidate represents a process that competes for the lease.
type candidate struct {
	table  *peer.Table
	holder *keyvalue.Holder
	stop   context.CancelFunc
	done   chan struct{}
}

func newCandidate(id winch.HostID, store winch.KeyValue, clock winch.Clock) (*candidate, error) {
	table := peer.NewTable(winch.Host{ID: id, DataCentre: dataCentre}, nil, suspectAfter, forgetAfter)
	holder, err := keyvalue.New(keyvalue.Options{
		Store: store, Duty: duty, DataCentre: dataCentre, Membership: table, Incarnation: winch.Incarnation(id), Clock: clock,
		TTL: time.Second, RenewEvery: 200 * time.Millisecond, InFlight: 100 * time.Millisecond, Drift: 50 * time.Millisecond,
		Logger: hclog.NewNullLogger(),
	})
	if err != nil {
		return nil, fmt.Errorf("create holder %s: %w", id, err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	c := &candidate{table: table, holder: holder, stop: cancel, done: make(chan struct{})}
	go func() {
		defer close(c.done)
		_ = holder.Run(ctx) // It releases the lease and returns when ctx is cancelled.
	}()
	return c, nil
}

// waitTerm polls until the candidate holds the lease, and returns its term.
func (c *candidate) waitTerm(clock winch.Clock) (winch.Term, error) {
	for deadline := clock.Now().Add(acquireTimeout); clock.Now().Before(deadline); time.Sleep(pollInterval) {
		if term, held := c.holder.Term(clock.Now()); held {
			return term, nil
		}
	}
	return winch.Term{}, errAcquireTimeout
}

// run starts two candidates one after the other and prints the term of each.
func run(out io.Writer) error {
	clock, err := boottime.New()
	if err != nil {
		return fmt.Errorf("create clock: %w", err)
	}
	store := memory.New()
	for _, id := range []winch.HostID{"first", "second"} {
		current, err := newCandidate(id, store, clock)
		if err != nil {
			return err
		}
		term, err := current.waitTerm(clock)
		if err != nil {
			return fmt.Errorf("wait for %s: %w", id, err)
		}
		fmt.Fprintf(out, "%s holds the lease for %s with fencing number %d\n", id, term.Duty, term.Number)
		current.stop()
		<-current.done
	}
	return nil
}

func main() {
	if err := run(os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "embed:", err)
		os.Exit(1)
	}
}
