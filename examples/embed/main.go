// Command embed shows how the lease part is embedded: two candidates stand for one
// duty, the first does the work until it stops, and the second takes it over with a
// higher fencing number.
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
	"github.com/arbutuswinch/winch/charge/keyvalue"
	"github.com/arbutuswinch/winch/clock/boottime"
	"github.com/arbutuswinch/winch/keyvalue/memory"
	"github.com/arbutuswinch/winch/membership/peer"
)

const (
	duty         = winch.Duty("nightly-report")
	centre       = winch.DataCentreID("yard-1")
	poll         = 10 * time.Millisecond
	limit        = 20 * time.Second
	suspectAfter = time.Hour
	forgetAfter  = 2 * time.Hour
)

// errNoTerm says that no candidate got the duty in time.
var errNoTerm = errors.New("no term within the limit")

// candidate is one process that may take on the duty.
type candidate struct {
	table  *peer.Table
	holder *keyvalue.Holder
	stop   context.CancelFunc
	done   chan struct{}
}

func newCandidate(id winch.HostID, store winch.KeyValue, clock winch.Clock) (*candidate, error) {
	table := peer.NewTable(winch.Host{ID: id, DataCentre: centre}, nil, suspectAfter, forgetAfter)
	holder, err := keyvalue.New(keyvalue.Options{
		Store: store, Duty: duty, DataCentre: centre, Membership: table, Incarnation: winch.Incarnation(id), Clock: clock,
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
		_ = holder.Run(ctx)
	}()
	return c, nil
}

// waitTerm polls until the candidate is in charge.
func (c *candidate) waitTerm(clock winch.Clock) (winch.Term, error) {
	for deadline := clock.Now().Add(limit); clock.Now().Before(deadline); time.Sleep(poll) {
		if term, held := c.holder.Term(clock.Now()); held {
			return term, nil
		}
	}
	return winch.Term{}, errNoTerm
}

// run lets two candidates hold the duty one after the other and prints their terms.
func run(out io.Writer) error {
	clock, err := boottime.New()
	if err != nil {
		return fmt.Errorf("create clock: %w", err)
	}
	store := memory.New()
	for _, id := range []winch.HostID{"first", "second"} {
		each, err := newCandidate(id, store, clock)
		if err != nil {
			return err
		}
		term, err := each.waitTerm(clock)
		if err != nil {
			return fmt.Errorf("wait for %s: %w", id, err)
		}
		fmt.Fprintf(out, "%s is in charge of %s with number %d\n", id, term.Duty, term.Number)
		each.stop()
		<-each.done
	}
	return nil
}

func main() {
	if err := run(os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "embed:", err)
		os.Exit(1)
	}
}
