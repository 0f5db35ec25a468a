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

// store writes the counters of the scope that are not stored yet. If all writes succeed, it
// records that the counters reported by other hosts are stored, which the next summaries
// acknowledge.
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
	for key := range parts {
		if err := c.storePart(ctx, now, key); err != nil {
			failed, lastErr = failed+1, err
		}
	}
	if failed > 0 {
		c.options.Logger.Warn("failed to store usage counts", "Event", EventCountsNotStored, "Parts", failed, "Error", lastErr)
		return false
	}
	c.markHostsStored(snapshot)
	return true
}

// storeOnShutdown writes the counters of this process and those reported to it, and retries
// until they are stored or ctx ends.
func (c *Counters) storeOnShutdown(ctx context.Context) {
	ticker := time.NewTicker(shutdownRetryInterval)
	defer ticker.Stop()
	for !c.store(ctx, c.options.Clock.Now(), scopeOwn) {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// addNewlyComplete adds the parts that have complete hosts which their entries do not list yet.
func (c *Counters) addNewlyComplete(now time.Time, parts map[part]bool) {
	for key := range c.table.parts(c.options.Shards) {
		if len(c.completeHosts(now, key)) > len(c.complete[key]) {
			parts[key] = true
		}
	}
}

// hasUnstoredCompletion reports whether there is a settled window with a complete host that its
// entry does not list yet.
func (c *Counters) hasUnstoredCompletion(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	parts := map[part]bool{}
	c.addNewlyComplete(now, parts)
	for key := range parts {
		if !now.Before(key.window.End(c.options.Window).Add(c.options.Settle)) {
			return true
		}
	}
	return false
}

// completeHosts returns the hosts whose counts of the part are complete, either in this table
// or according to the entry.
func (c *Counters) completeHosts(now time.Time, key part) usage.HostSet {
	complete := usage.HostSet{}
	maps.Copy(complete, c.complete[key])
	end := key.window.End(c.options.Window)
	if !now.Before(end) {
		complete[c.options.Membership.Self().ID] = true
	}
	for host, state := range c.hosts {
		if !state.asOf.Before(end) {
			complete[host] = true
		}
	}
	return complete
}

// markHostsStored records that everything the hosts had reported at the time of the snapshot is
// stored.
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

// storePart writes one entry. After a conflict or a lost response it reads the entry, merges
// its counters and writes again.
func (c *Counters) storePart(ctx context.Context, now time.Time, key part) error {
	err := error(nil)
	for range maxStoreAttempts {
		if err = c.writePart(ctx, now, key); err == nil {
			c.options.Logger.Debug("usage counts stored", "Event", EventCountsStored, "Shard", key.shard, "Window", key.window.Start())
			return nil
		}
		delete(c.versions, key)
		if !errors.Is(err, winch.ErrConflict) && !errors.Is(err, winch.ErrOutcomeUnknown) {
			return err
		}
	}
	return err
}

func (c *Counters) writePart(ctx context.Context, now time.Time, key part) error {
	source := usage.Source{Window: key.window, DataCentre: c.options.Membership.Self().DataCentre}
	entryKey := keyvalue.CollectedKey(key.shard, source)
	c.mu.Lock()
	dropCount := c.dropCount
	c.mu.Unlock()
	written, known := c.versions[key]
	version := written.version
	if !known || written.dropCount != dropCount {
		found, err := c.readPart(ctx, key, entryKey)
		if err != nil {
			return err
		}
		version = found
	}
	c.mu.Lock()
	if c.dropCount != dropCount {
		c.mu.Unlock()
		return fmt.Errorf("store counts: copies were dropped since the entry was read: %w", winch.ErrConflict)
	}
	collected := keyvalue.Collected{Cells: c.table.countersOf(key, c.options.Shards), Complete: c.completeHosts(now, key)}
	c.mu.Unlock()
	value, err := keyvalue.EncodeCollected(collected)
	if err != nil {
		return err
	}
	version, err = c.options.Store.Put(ctx, entryKey, value, version)
	if err != nil {
		return fmt.Errorf("store counts: %w", err)
	}
	c.versions[key] = writtenPart{version: version, dropCount: dropCount}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.table.markStored(collected.Cells)
	c.complete[key] = collected.Complete
	return nil
}

// readPart merges the stored entry into the table and returns its version.
func (c *Counters) readPart(ctx context.Context, key part, entryKey string) (winch.Version, error) {
	entry, err := c.options.Store.Get(ctx, entryKey)
	if errors.Is(err, winch.ErrNotFound) {
		return winch.VersionAbsent, nil
	}
	if err != nil {
		return 0, fmt.Errorf("read stored counts: %w", err)
	}
	collected, err := keyvalue.DecodeCollected(key.window, entry.Value)
	if err != nil {
		return 0, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.table.merge(collected.Cells, false)
	c.table.markStored(collected.Cells)
	c.complete[key] = collected.Complete
	return entry.Version, nil
}
