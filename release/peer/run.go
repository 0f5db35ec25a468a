package peer

import (
	"context"
	"slices"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/arbutuswinch/winch"
)

const (
	tickPeriod   = 200 * time.Millisecond
	retryPause   = 250 * time.Millisecond
	maxRetry     = 2 * time.Second
	acceptPeriod = 500 * time.Millisecond
	// acceptStagger is the time that each further data centre leaves the ones
	// before it to record an accepted revision.
	acceptStagger = 3 * time.Second
)

// Run watches the record of commits while this host is the hub, and records
// accepted revisions. It returns when ctx is done.
func (d *Distributor) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return d.watch(ctx) })
	group.Go(func() error { return d.accept(ctx) })
	group.Go(func() error { return d.tick(ctx) })
	return group.Wait()
}

// tick announces changes of authority that come with time alone.
func (d *Distributor) tick(ctx context.Context) error {
	for pause(ctx, tickPeriod) {
		d.review(d.options.Clock.Now())
	}
	return nil
}

// review draws what follows from the passing of time.
func (d *Distributor) review(now time.Time) {
	live := d.liveHosts(now)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.observe(now, live)
	d.settle(now, live)
	d.announce(now, false)
}

func pause(ctx context.Context, duration time.Duration) bool {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

func (d *Distributor) isHub() bool { return d.liveHosts(d.options.Clock.Now()).hub }

// watch follows the head. The instant before each call is what its answer proves for.
func (d *Distributor) watch(ctx context.Context) error {
	last, failures := winch.ReleaseHead{}, 0
	for ctx.Err() == nil {
		if !d.isHub() {
			last = winch.ReleaseHead{}
			pause(ctx, tickPeriod)
			continue
		}
		next, err := d.step(ctx, last)
		if err == nil {
			err = d.keepRoster(ctx, !last.Read)
		}
		if err == nil {
			if failures > 0 {
				d.options.Logger.Info("record of commits read again", "Event", EventWatchRestored, "Failures", failures)
			}
			last, failures = next, 0
			continue
		}
		if ctx.Err() != nil {
			return nil
		}
		if failures == 0 {
			d.options.Logger.Warn("cannot read the record of commits", "Event", EventWatchFailed, "Error", err)
		}
		failures++
		last = winch.ReleaseHead{}
		pause(ctx, min(maxRetry, retryPause<<min(failures, 4)))
	}
	return nil
}

// keepRoster keeps the platform's roster of this data centre as this hub knows
// it. A host that becomes the hub reads the roster first.
func (d *Distributor) keepRoster(ctx context.Context, read bool) error {
	if read && !d.state.limits.unguarded.roster {
		ids, err := d.options.Log.Roster(ctx, d.self.DataCentre)
		if err != nil {
			return err
		}
		d.mu.Lock()
		d.roster.merge(d.options.Clock.Now(), ids)
		d.saved = ids
		d.mu.Unlock()
	}
	added, dropped := d.rosterChange()
	if len(added)+len(dropped) == 0 {
		return nil
	}
	if err := d.options.Log.ChangeRoster(ctx, d.self.DataCentre, added, dropped); err != nil {
		return err
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.saved = slices.DeleteFunc(append(d.saved, added...), func(id winch.HostID) bool { return slices.Contains(dropped, id) })
	return nil
}

func (d *Distributor) rosterChange() (added, dropped []winch.HostID) {
	d.mu.Lock()
	defer d.mu.Unlock()
	ids := d.roster.ids()
	for _, id := range ids {
		if !slices.Contains(d.saved, id) {
			added = append(added, id)
		}
	}
	for _, id := range d.saved {
		if !slices.Contains(ids, id) {
			dropped = append(dropped, id)
		}
	}
	return added, dropped
}

// step waits for one answer and takes it in.
func (d *Distributor) step(ctx context.Context, last winch.ReleaseHead) (winch.ReleaseHead, error) {
	sent := d.options.Clock.Now()
	head, err := d.options.Log.Next(ctx, last, d.options.WatchWait)
	if err != nil {
		return head, err
	}
	configuration, records, err := d.options.Log.Fetch(ctx, d.Current(), head)
	if err != nil {
		return head, err
	}
	d.takeHead(d.options.Clock.Now(), sent, head, configuration, records)
	return head, nil
}

// takeHead takes in a head that was read by a call sent at the given instant.
func (d *Distributor) takeHead(now, sent time.Time, head winch.ReleaseHead, configuration *winch.Configuration, records []winch.ReleaseRecord) {
	live := d.liveHosts(now)
	d.mu.Lock()
	defer d.mu.Unlock()
	if head.Revision < d.state.current.Revision {
		// Another host may have told of a commit that is newer than this answer.
		d.options.Logger.Debug("head is older than the configuration", "Event", EventRevisionBack,
			"Head", head.Revision, "Revision", d.state.current.Revision)
	}
	d.learnt(now, d.state.learn(now, configuration, records))
	d.state.prove(proof{asOf: sent, revision: head.Revision})
	if sent.After(d.watched) {
		d.watched = sent
	}
	d.settle(now, live)
	d.announce(now, false)
}

// accept records, at the hubs, what was accepted. Data centres take turns, so
// that mostly one of them calls the platform.
func (d *Distributor) accept(ctx context.Context) error {
	asked := false
	for pause(ctx, acceptPeriod) {
		if !d.isHub() {
			asked = false
			continue
		}
		if !asked {
			accepted, err := d.options.Log.Accepted(ctx)
			if err != nil {
				continue
			}
			d.noteAccepted(accepted)
			asked = true
		}
		revision, due := d.due(d.options.Clock.Now())
		if !due {
			continue
		}
		if err := d.options.Log.MarkAccepted(ctx, revision); err != nil {
			d.options.Logger.Warn("accepted revision not recorded", "Event", EventAcceptanceFailed, "Revision", revision, "Error", err)
			continue
		}
		d.noteAccepted(revision)
	}
	return nil
}

func (d *Distributor) noteAccepted(revision winch.Revision) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.state.accepted = max(d.state.accepted, revision)
}

// due returns the newest revision that this hub should record as accepted now.
func (d *Distributor) due(now time.Time) (winch.Revision, bool) {
	turn := max(0, slices.Index(d.options.Membership.DataCentres(), d.self.DataCentre))
	live := d.liveHosts(now)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.settle(now, live)
	revision := d.acceptance.newest(now.Add(-time.Duration(turn)*acceptStagger), d.state.accepted)
	return revision, revision > d.state.accepted
}
