package peer

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/arbutuswinch/winch"
	"github.com/arbutuswinch/winch/usage"
	"github.com/arbutuswinch/winch/usage/keyvalue"
)

// store writes the counters of the scope that are not stored yet, and lets the
// hosts that reported them know.
func (c *Counters) store(ctx context.Context, wanted scope) bool {
	c.mu.Lock()
	parts := c.table.unstored(c.options.Shards, wanted)
	received := map[winch.HostID]hostState{}
	for host, state := range c.hosts {
		received[host] = state
	}
	c.mu.Unlock()
	failed, last := 0, error(nil)
	for key := range parts {
		if err := c.storePart(ctx, key); err != nil {
			failed, last = failed+1, err
		}
	}
	if failed > 0 {
		c.options.Logger.Warn("counts not stored", "Event", EventCountsNotStored, "Parts", failed, "Error", last)
		return false
	}
	c.acknowledge(received)
	return true
}

// storeLast writes the host's own counts when it stops, and tries again until they are stored or ctx ends.
func (c *Counters) storeLast(ctx context.Context) {
	ticker := time.NewTicker(lastStorePause)
	defer ticker.Stop()
	for !c.store(ctx, scopeOwn) {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// acknowledge notes that what the hosts had reported is stored.
func (c *Counters) acknowledge(received map[winch.HostID]hostState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for host, then := range received {
		state := c.hosts[host]
		if state.incarnation == then.incarnation {
			state.stored = max(state.stored, then.received)
			c.hosts[host] = state
		}
	}
}

// storePart writes one entry. It merges what the entry holds when somebody else
// wrote it, or when the answer to a write was lost.
func (c *Counters) storePart(ctx context.Context, key part) error {
	err := error(nil)
	for range storeTries {
		if err = c.tryPart(ctx, key); err == nil {
			c.options.Logger.Debug("counts stored", "Event", EventCountsStored, "Shard", key.shard, "Window", key.window.Start())
			return nil
		}
		delete(c.versions, key)
		if !errors.Is(err, winch.ErrConflict) && !errors.Is(err, winch.ErrOutcomeUnknown) {
			return err
		}
	}
	return err
}

func (c *Counters) tryPart(ctx context.Context, key part) error {
	source := usage.Source{Window: key.window, DataCentre: c.options.Membership.Self().DataCentre}
	name := keyvalue.CollectedKey(key.shard, source)
	version, known := c.versions[key]
	if !known {
		found, err := c.readPart(ctx, key, name)
		if err != nil {
			return err
		}
		version = found
	}
	c.mu.Lock()
	cells := c.table.of(key, c.options.Shards)
	c.mu.Unlock()
	value, err := keyvalue.EncodeCollected(cells)
	if err != nil {
		return err
	}
	version, err = c.options.Store.Put(ctx, name, value, version)
	if err != nil {
		return fmt.Errorf("store counts: %w", err)
	}
	c.versions[key] = version
	c.mu.Lock()
	defer c.mu.Unlock()
	c.table.markStored(cells)
	return nil
}

// readPart merges the stored entry into the table and returns its version.
func (c *Counters) readPart(ctx context.Context, key part, name string) (winch.Version, error) {
	entry, err := c.options.Store.Get(ctx, name)
	if errors.Is(err, winch.ErrNotFound) {
		return winch.VersionAbsent, nil
	}
	if err != nil {
		return 0, fmt.Errorf("read stored counts: %w", err)
	}
	cells, err := keyvalue.DecodeCollected(key.window, entry.Value)
	if err != nil {
		return 0, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.table.merge(cells, false)
	c.table.markStored(cells)
	return entry.Version, nil
}
