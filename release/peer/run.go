package peer

import (
	"context"
	"slices"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/arbutuswinch/winch"
)

const (
	tickPeriod    = 200 * time.Millisecond
	retryPause    = 250 * time.Millisecond
	maxRetryPause = 2 * time.Second
	acceptPeriod  = 500 * time.Millisecond
	// acceptStagger is how much later than the hub of the previous data centre, in the order
	// of Membership.DataCentres, a hub records an accepted revision.
	acceptStagger = 3 * time.Second
)

// Run watches the release log and records accepted revisions while this host is the
// hub. It returns when ctx is done.
func (d *Distributor) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return d.watchLoop(ctx) })
	group.Go(func() error { return d.acceptLoop(ctx) })
	group.Go(func() error { return d.tickLoop(ctx) })
	return group.Wait()
}

// tickLoop detects changes that are due to the passing of time alone.
func (d *Distributor) tickLoop(ctx context.Context) error {
	for sleep(ctx, tickPeriod) {
		d.reevaluate(d.options.Clock.Now())
	}
	return nil
}

// reevaluate updates the roster, the acceptance and the authority.
func (d *Distributor) reevaluate(now time.Time) {
	listed := d.readMembership(now)
	d.mu.Lock()
	defer d.unlock()
	d.updateRoster(now, listed)
	d.updateAcceptance(now, listed)
	d.notifyChanges(now, false)
}

func sleep(ctx context.Context, duration time.Duration) bool {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

func (d *Distributor) isHub() bool { return d.readMembership(d.options.Clock.Now()).hub }

// watchLoop follows the head of the release log. Each response is a proof for the time
// just before its call.
func (d *Distributor) watchLoop(ctx context.Context) error {
	last, failures := winch.ReleaseHead{}, 0
	for ctx.Err() == nil {
		if !d.isHub() {
			// The next read returns at once, and reads the roster too.
			last = winch.ReleaseHead{}
			sleep(ctx, tickPeriod)
			continue
		}
		next, err := d.readHead(ctx, last)
		if err == nil {
			err = d.syncRoster(ctx, !last.Read)
		}
		if err == nil {
			if failures > 0 {
				d.options.Logger.Info("reading the release log succeeded again", "Event", EventWatchRestored, "Failures", failures)
			}
			last, failures = next, 0
			continue
		}
		if ctx.Err() != nil {
			return nil
		}
		if failures == 0 {
			d.options.Logger.Warn("reading the release log failed", "Event", EventWatchFailed, "Error", err)
		}
		failures++
		// The next read returns at once, and reads the roster too.
		last = winch.ReleaseHead{}
		// The shift is limited, so that it cannot overflow.
		sleep(ctx, min(maxRetryPause, retryPause<<min(failures, 4)))
	}
	return nil
}

// syncRoster writes changes of this data centre's roster to the platform. With load,
// which is set for the first read as the hub and after a failure, it first reads the platform's roster.
func (d *Distributor) syncRoster(ctx context.Context, load bool) error {
	if load && !d.state.limits.disabled.knownRoster {
		ids, err := d.options.Log.Roster(ctx, d.self.DataCentre)
		if err != nil {
			return err
		}
		d.mu.Lock()
		d.roster.add(d.options.Clock.Now(), ids)
		d.savedRoster = ids
		d.mu.Unlock()
	}
	added, dropped := d.rosterDiff()
	if len(added)+len(dropped) == 0 {
		return nil
	}
	if err := d.options.Log.ChangeRoster(ctx, d.self.DataCentre, added, dropped); err != nil {
		return err
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.savedRoster = slices.DeleteFunc(append(d.savedRoster, added...), func(id winch.HostID) bool { return slices.Contains(dropped, id) })
	return nil
}

// rosterDiff returns how the roster differs from the one that the platform holds.
func (d *Distributor) rosterDiff() (added, dropped []winch.HostID) {
	d.mu.Lock()
	defer d.mu.Unlock()
	ids := d.roster.ids()
	for _, id := range ids {
		if !slices.Contains(d.savedRoster, id) {
			added = append(added, id)
		}
	}
	for _, id := range d.savedRoster {
		if !slices.Contains(ids, id) {
			dropped = append(dropped, id)
		}
	}
	return added, dropped
}

// readHead waits for a head other than last, or for the maximum wait, and applies the response.
func (d *Distributor) readHead(ctx context.Context, last winch.ReleaseHead) (winch.ReleaseHead, error) {
	sent := d.options.Clock.Now()
	head, err := d.options.Log.WaitHead(ctx, last, d.options.WatchWait)
	if err != nil {
		return head, err
	}
	configuration, records, err := d.options.Log.Fetch(ctx, d.Current(), head)
	if err != nil {
		return head, err
	}
	d.applyHead(d.options.Clock.Now(), sent, head, configuration, records)
	return head, nil
}

// applyHead applies a head that was read by a call made at the time sent.
func (d *Distributor) applyHead(now, sent time.Time, head winch.ReleaseHead, configuration *winch.Configuration, records []winch.ReleaseRecord) {
	listed := d.readMembership(now)
	d.mu.Lock()
	defer d.unlock()
	if head.Revision < d.state.current.Revision {
		// Another host may have passed on a commit that was made after this read.
		d.options.Logger.Debug("the head is older than the configuration", "Event", EventStaleHead,
			"Head", head.Revision, "Revision", d.state.current.Revision)
	}
	d.afterUpdate(now, d.state.replaceIfNewer(now, configuration, records))
	// An older head is a proof too: the configuration is newer than all that was committed
	// when the call was sent.
	d.state.applyProof(proof{asOf: sent, revision: head.Revision})
	if sent.After(d.lastPlatformRead) {
		d.lastPlatformRead = sent
	}
	d.updateAcceptance(now, listed)
	d.notifyChanges(now, false)
}

// acceptLoop records accepted revisions on the platform while this host is the hub.
// The hubs of the data centres wait for each other, so that usually only one of them
// writes.
func (d *Distributor) acceptLoop(ctx context.Context) error {
	loaded := false
	for sleep(ctx, acceptPeriod) {
		if !d.isHub() {
			loaded = false
			continue
		}
		if !loaded {
			accepted, err := d.options.Log.Accepted(ctx)
			if err != nil {
				// watchLoop logs that the platform cannot be read.
				continue
			}
			d.recordAccepted(accepted)
			loaded = true
		}
		revision, due := d.dueAcceptance(d.options.Clock.Now())
		if !due {
			continue
		}
		if err := d.options.Log.MarkAccepted(ctx, revision); err != nil {
			d.options.Logger.Warn("recording the accepted revision failed", "Event", EventAcceptanceFailed, "Revision", revision, "Error", err)
			continue
		}
		d.recordAccepted(revision)
	}
	return nil
}

func (d *Distributor) recordAccepted(revision winch.Revision) {
	d.mu.Lock()
	defer d.unlock()
	d.state.accepted = max(d.state.accepted, revision)
}

// dueAcceptance returns the newest revision that this hub should record as accepted now.
// A hub takes the revisions that were accepted acceptStagger earlier for each data centre
// before its own. By then an earlier hub has usually recorded them, and its digest says so.
func (d *Distributor) dueAcceptance(now time.Time) (winch.Revision, bool) {
	turn := max(0, slices.Index(d.options.Membership.DataCentres(), d.self.DataCentre))
	listed := d.readMembership(now)
	d.mu.Lock()
	defer d.unlock()
	d.updateAcceptance(now, listed)
	revision := d.acceptance.newestAccepted(now.Add(-time.Duration(turn)*acceptStagger), d.state.accepted)
	return revision, revision > d.state.accepted
}
