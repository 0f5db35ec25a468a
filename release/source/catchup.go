package source

import (
	"context"
	"errors"
	"time"

	"github.com/arbutuswinch/winch"
)

const (
	// catchUpPause is the pause between two attempts to get a configuration that is known to exist.
	catchUpPause = 200 * time.Millisecond
	// catchUpStall is the time without a byte after which a read of the source is given up meanwhile.
	catchUpStall = time.Second
)

// hearOfNewer records that an edition exists, and wakes catchUp if this host does not have it. The host from has the edition, if it is
// not empty.
func (f *Follower) hearOfNewer(heard evidence, from winch.HostID) {
	now := f.options.Clock.Now()
	f.mu.Lock()
	first := !f.state.behind()
	f.state.hear(now, heard, from)
	behind, current, newest, holder := f.state.behind(), f.state.edition, f.state.news.edition, f.state.news.holder
	f.mu.Unlock()
	if !behind {
		return
	}
	if first {
		f.options.Logger.Info("a newer configuration exists", "Event", EventConfigurationBehind, "Revision", current.revision, "Version", current.version,
			"NewestRevision", newest.revision, "Newest", newest.version, "At", string(holder))
	}
	select {
	case f.wake <- struct{}{}:
	default:
	}
}

// runCatchUp gets newer configurations as soon as this host hears of them, until ctx is done.
func (f *Follower) runCatchUp(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-f.wake:
		}
		f.catchUp(ctx)
	}
}

// catchUp gets the newest configuration. It alternates between the host that is known to have it and the source until one of them
// has delivered it.
func (f *Follower) catchUp(ctx context.Context) {
	for ctx.Err() == nil && f.isBehind() {
		if f.fetchFromHolder(ctx) == nil {
			continue
		}
		// A failure is logged with those of the regular reads.
		_ = f.readOnce(ctx, f.options.Clock.Now(), catchUpStall)
		if !f.isBehind() {
			return
		}
		select {
		case <-ctx.Done():
		case <-time.After(catchUpPause):
		}
	}
}

func (f *Follower) isBehind() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.state.behind()
}

// errNoHolder: no other host is known to have the newest configuration.
var errNoHolder = errors.New("no host is known to have it")

// fetchFromHolder fetches the configuration from the host that is known to have a newer one, or else from the hub.
func (f *Follower) fetchFromHolder(ctx context.Context) error {
	f.mu.Lock()
	known, holder := f.state.edition, f.state.news.holder
	if holder == "" {
		holder = f.hub
	}
	f.mu.Unlock()
	if f.options.Membership == nil || holder == "" || holder == f.options.Self {
		return errNoHolder
	}
	membership := f.options.Membership
	for _, host := range membership.Hosts(f.options.Clock.Now(), membership.Self().DataCentre) {
		if host.ID == holder {
			return f.fetchFrom(ctx, host, known)
		}
	}
	return errNoHolder
}
