package peer

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/arbutuswinch/winch"
)

const (
	// historyEvery is the interval at which the history is loaded until that succeeds, and then saved by the hub if it has changed.
	historyEvery = time.Second
	// settleTime is how long after its start a host saves nothing: until hosts know each other, each is its own hub.
	settleTime = 3 * time.Second
	// historyTimeout limits one load or save.
	historyTimeout = time.Second
)

// runHistory loads the versions that served before this host started, and lets the hub save changes, until ctx ends.
func (k *Keeper) runHistory(ctx context.Context) {
	if k.options.History == nil {
		return
	}
	ticker := time.NewTicker(historyEvery)
	defer ticker.Stop()
	for ctx.Err() == nil {
		k.stepHistory(ctx)
		select {
		case <-ctx.Done():
		case <-ticker.C:
		}
	}
}

func (k *Keeper) stepHistory(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, historyTimeout)
	defer cancel()
	now := k.options.Clock.Now()
	if !k.historyLoaded.Load() {
		k.loadHistory(ctx, now)
		return
	}
	if now.Sub(k.started) < settleTime {
		return
	}
	membership := k.options.Membership
	hub, found := membership.Hub(now, membership.Self().DataCentre)
	if !found || hub.ID != membership.Self().ID {
		return
	}
	k.followEra(ctx, now)
	k.saveHistory(ctx, now)
}

// followEra loads the history when a new era of its store has begun, so that it is saved again: the older copy from which the store came
// back may lack versions. This host still knows them.
func (k *Keeper) followEra(ctx context.Context, now time.Time) {
	if k.options.Eras == nil || k.options.Eras.Newest() == k.historyEra {
		return
	}
	era := k.options.Eras.Newest()
	if k.loadHistory(ctx, now) {
		k.historyEra = era
	}
}

// loadHistory loads the versions and reports whether it could.
func (k *Keeper) loadHistory(ctx context.Context, now time.Time) bool {
	served, err := k.options.History.Load(ctx, now)
	if err != nil {
		k.options.Logger.Info("earlier software versions are not known yet", "Event", EventHistoryFailed, "Error", err)
		return false
	}
	k.mu.Lock()
	for _, each := range served {
		k.book.ObserveServed(each.Model, each.Software, each.At)
	}
	k.mu.Unlock()
	k.savedVersions = nil
	k.historyLoaded.Store(true)
	return true
}

// saveHistory saves the versions if others are listed than when this host has last saved them.
func (k *Keeper) saveHistory(ctx context.Context, now time.Time) {
	memory, listed := k.memory(), k.listedVersions()
	if len(listed) == 0 || slices.Equal(listed, k.savedVersions) {
		return
	}
	k.mu.Lock()
	served := k.book.AllServed(now, memory)
	k.mu.Unlock()
	served = slices.DeleteFunc(served, func(each winch.ServedSoftware) bool {
		return slices.Contains(listed, version{model: each.Model, software: each.Software})
	})
	for _, each := range listed {
		served = append(served, winch.ServedSoftware{Model: each.model, Software: each.software, At: now})
	}
	if err := k.options.History.Save(ctx, now, served); err != nil {
		// Another host may have saved since. What it has saved is loaded first.
		k.historyLoaded.Store(false)
		k.options.Logger.Info("software versions not saved", "Event", EventHistoryFailed, "Error", err)
		return
	}
	k.savedVersions = listed
}

// version is a software version of a model.
type version struct {
	model    winch.ModelID
	software winch.SoftwareVersion
}

func compareVersions(a, b version) int {
	return cmp.Or(cmp.Compare(a.model, b.model), cmp.Compare(a.software, b.software))
}

// listedVersions returns the versions of all listed endpoints, sorted.
func (k *Keeper) listedVersions() []version {
	var listed []version
	for _, status := range k.options.Endpoints.Endpoints() {
		for _, model := range status.Endpoint.Models {
			each := version{model: model, software: status.Endpoint.Software}
			if !slices.Contains(listed, each) {
				listed = append(listed, each)
			}
		}
	}
	slices.SortFunc(listed, compareVersions)
	return listed
}

// knowsEarlierVersions reports whether this host knows which versions served before it started, as far as streams can last.
func (k *Keeper) knowsEarlierVersions(now time.Time, memory time.Duration) bool {
	return k.options.History == nil || k.historyLoaded.Load() || now.Sub(k.started) >= memory
}
