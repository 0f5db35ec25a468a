package peer

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"time"

	"github.com/arbutuswinch/winch"
	"github.com/arbutuswinch/winch/usage"
	"github.com/arbutuswinch/winch/usage/keyvalue"
)

// store writes the counters that the scope selects and that are not stored yet. If all writes
// succeed, it records that the counters reported by other hosts are stored; the next summaries
// tell the hosts. It returns whether all writes succeeded.
func (c *Counters) store(ctx context.Context, now time.Time, included scope) bool {
	c.mu.Lock()
	parts := c.table.unstored(c.options.Shards, included)
	if included == scopeAll {
		c.addNewlyComplete(now, parts)
	}
	snapshot := map[winch.HostID]hostState{}
	for host, state := range c.hosts {
		snapshot[host] = state
	}
	c.mu.Unlock()
	failed, lastErr := 0, error(nil)
	for p := range parts {
		if err := c.storePart(ctx, now, p); err != nil {
			failed, lastErr = failed+1, err
		}
	}
	if failed > 0 {
		c.options.Logger.Warn("failed to store usage counts", "Event", EventCountsNotStored, "Parts", failed, "Error", lastErr)
		return false
	}
	if included == scopeReported {
		maps.DeleteFunc(snapshot, func(_ winch.HostID, state hostState) bool { return state.forwarded })
	}
	c.markHostsStored(snapshot)
	return true
}

// storeOnShutdown writes the counters of this process and those reported to it, and retries
// until they are stored or ctx ends.
func (c *Counters) storeOnShutdown(ctx context.Context) {
	ticker := time.NewTicker(shutdownRetryInterval)
	defer ticker.Stop()
	for !c.store(ctx, c.options.Clock.Now(), scopeReportedAndOwn) {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// addNewlyComplete adds to parts those for which a host has become complete since their entries
// were written.
func (c *Counters) addNewlyComplete(now time.Time, parts map[part]bool) {
	for p := range c.table.parts(c.options.Shards) {
		if len(c.completeHosts(now, p)) > len(c.complete[p]) {
			parts[p] = true
		}
	}
}

// hasUnstoredCompletion reports whether a host has become complete for a window that ended at
// least Settle ago, since the entry of the window was written.
func (c *Counters) hasUnstoredCompletion(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	parts := map[part]bool{}
	c.addNewlyComplete(now, parts)
	for p := range parts {
		if !now.Before(p.window.End(c.options.Window).Add(c.options.Settle)) {
			return true
		}
	}
	return false
}

// completeHosts returns the hosts whose counts of the part are complete, either in this table
// or according to the entry.
func (c *Counters) completeHosts(now time.Time, p part) usage.HostSet {
	complete := usage.HostSet{}
	maps.Copy(complete, c.complete[p])
	end := p.window.End(c.options.Window)
	if !now.Before(end) {
		complete[c.options.Membership.Self().ID] = true
	}
	for host, state := range c.hosts {
		if !state.asOf.Before(end) {
			complete[host] = true
		}
	}
	for host, asOf := range c.membersAsOf {
		if !asOf.Before(end) {
			complete[host] = true
		}
	}
	return complete
}

// markHostsStored records that everything the hosts had reported at the time of the snapshot is
// stored. Reports that arrived during the writes may not be stored yet.
func (c *Counters) markHostsStored(snapshot map[winch.HostID]hostState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for host, before := range snapshot {
		state := c.hosts[host]
		if state.incarnation == before.incarnation {
			state.stored = max(state.stored, before.received)
			c.hosts[host] = state
		}
	}
}

// storePart writes one entry. After a failure the entry is read and its counters are merged
// before the next write, which follows at once only after a conflict or a lost response.
func (c *Counters) storePart(ctx context.Context, now time.Time, p part) error {
	err := error(nil)
	for range maxStoreAttempts {
		if err = c.writePart(ctx, now, p); err == nil {
			c.options.Logger.Debug("usage counts stored", "Event", EventCountsStored, "Shard", p.shard, "Window", p.window.Start())
			return nil
		}
		delete(c.versions, p)
		if !errors.Is(err, winch.ErrConflict) && !errors.Is(err, winch.ErrOutcomeUnknown) {
			return err
		}
	}
	return err
}

func (c *Counters) writePart(ctx context.Context, now time.Time, p part) error {
	source := usage.Source{Window: p.window, DataCentre: c.options.Membership.Self().DataCentre}
	storeKey := keyvalue.CollectedKey(p.shard, source)
	c.mu.Lock()
	removalCount := c.removalCount
	c.mu.Unlock()
	written, known := c.versions[p]
	version := written.version
	if !known || written.removalCount != removalCount {
		found, err := c.readPart(ctx, p, storeKey)
		if err != nil {
			return err
		}
		version = found
	}
	c.mu.Lock()
	if c.removalCount != removalCount {
		c.mu.Unlock()
		return fmt.Errorf("store counts: copies were removed since the entry was read: %w", winch.ErrConflict)
	}
	collected := keyvalue.Collected{Cells: c.table.countersOf(p, c.options.Shards), Complete: c.completeHosts(now, p)}
	c.mu.Unlock()
	value, err := keyvalue.EncodeCollected(collected)
	if err != nil {
		return err
	}
	version, err = c.options.Store.Put(ctx, storeKey, value, version)
	if err != nil {
		return fmt.Errorf("store counts: %w", err)
	}
	c.versions[p] = writtenPart{version: version, removalCount: removalCount}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.table.markStored(collected.Cells)
	c.complete[p] = collected.Complete
	return nil
}

// readPart merges the stored entry into the table and returns its version.
func (c *Counters) readPart(ctx context.Context, p part, storeKey string) (winch.Version, error) {
	entry, err := c.options.Store.Get(ctx, storeKey)
	if errors.Is(err, winch.ErrNotFound) {
		return winch.VersionAbsent, nil
	}
	if err != nil {
		return 0, fmt.Errorf("read stored counts: %w", err)
	}
	collected, err := keyvalue.DecodeCollected(p.window, entry.Value)
	if err != nil {
		return 0, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.table.merge(collected.Cells, false)
	c.table.markStored(collected.Cells)
	c.complete[p] = collected.Complete
	return entry.Version, nil
}
