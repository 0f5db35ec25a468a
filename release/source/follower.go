// Package source follows a configuration that operators keep outside of the product,
// and keeps the evidence that it is the newest.
//
// The source is read at a fixed pace by calls whose answers prove which version was the
// newest when the call was made. Evidence counts from before the call was sent, on a
// clock that runs during a suspend. Keys are honoured only while the evidence is
// younger than the freshness limit; open routes are served by the last configuration
// for as long as it takes. Versions only go up.
//
// Hosts pass the newest configuration and their evidence on to each other, so that one
// that the source turns away goes on as long as others reach it.
//
// # Usage
//
//	follower, err := source.New(source.Options{Source: operator, Clock: clock, Logger: logger, FreshnessLimit: 4 * time.Second})
//	if err != nil {
//		return err
//	}
//	go follower.Run(ctx)
//	key, err := follower.Authorize(clock.Now(), winch.HashKey(secret))
package source

import (
	"cmp"
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/arbutuswinch/winch"
	"github.com/arbutuswinch/winch/internal/dependency"
	"github.com/arbutuswinch/winch/internal/periodic"
)

const (
	defaultPollEvery      = 600 * time.Millisecond
	defaultFreshnessLimit = 4 * time.Second
)

// Options are the settings of a follower. The zero value of a duration stands for its default.
type Options struct {
	Source winch.ConfigurationSource
	Clock  winch.Clock
	Logger hclog.Logger
	// PollEvery is the time between two readings of the source. The default is 600 ms.
	PollEvery time.Duration
	// FreshnessLimit is the age of the evidence up to which keys are honoured. The default is 4 s.
	FreshnessLimit time.Duration
	// Relayed is the age up to which evidence that another host passed on spares a reading. The default is none.
	Relayed time.Duration
}

// Follower implements winch.ConfirmedConfigurations. It is safe for concurrent use.
type Follower struct {
	options Options

	mu      sync.Mutex
	state   state
	changed chan struct{}
	// reports are the versions that the other hosts told, at the hub.
	reports map[winch.HostID]winch.Version
	// hubVersion is what the hub told last.
	hubVersion winch.Version
	// origin names this process in its stamps; stamp is the last of the hub's.
	origin uint64
	stamp  stamp
	// lastRead is when this host read the source last.
	lastRead time.Time
	// source logs the loss and the return of the source; only Run uses it.
	source *dependency.Dependency
}

var _ winch.ConfirmedConfigurations = (*Follower)(nil)

// New returns a follower, which knows no configuration until Run.
func New(options Options) (*Follower, error) {
	if options.Source == nil || options.Clock == nil || options.Logger == nil {
		return nil, fmt.Errorf("create follower: Source, Clock and Logger are needed: %w", winch.ErrInvalid)
	}
	options.PollEvery = cmp.Or(options.PollEvery, defaultPollEvery)
	options.FreshnessLimit = cmp.Or(options.FreshnessLimit, defaultFreshnessLimit)
	return &Follower{
		options: options, state: state{configuration: &winch.Configuration{}},
		changed: make(chan struct{}), reports: map[winch.HostID]winch.Version{}, origin: rand.Uint64() | 1,
		source: dependency.New("configuration source", options.Logger, EventSourceFailed, EventSourceRegained),
	}, nil
}

// Run reads the source until ctx ends. It returns nil.
func (f *Follower) Run(ctx context.Context) error {
	return periodic.RunPaced(ctx, func() time.Duration { return f.options.PollEvery }, f.Step)
}

// Step reads the source once; Run calls it at its pace.
func (f *Follower) Step(ctx context.Context) {
	sent := f.options.Clock.Now()
	f.mu.Lock()
	known := f.state.version
	relayedRecently := f.state.confirmedAt.After(f.lastRead) && sent.Sub(f.state.confirmedAt) <= f.options.Relayed
	f.mu.Unlock()
	if relayedRecently {
		return
	}
	raw, version, err := f.options.Source.Fetch(ctx, known)
	if err == nil {
		f.mu.Lock()
		f.lastRead = sent
		f.mu.Unlock()
		err = f.applyVersion(raw, version, sent, "source")
	}
	f.source.Note(err)
}

// applyVersion brings in what was the newest at the instant confirmed. Raw is nil for evidence only.
func (f *Follower) applyVersion(raw []byte, version winch.Version, confirmed time.Time, from string) error {
	if raw == nil {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.state.confirm(version, confirmed)
		return nil
	}
	configuration, err := f.options.Source.Decode(raw)
	if err != nil {
		return err
	}
	f.mu.Lock()
	replaced := f.state.replaceIfNewer(configuration, raw, version, confirmed)
	if replaced {
		close(f.changed)
		f.changed = make(chan struct{})
	}
	f.mu.Unlock()
	if replaced {
		f.options.Logger.Info("configuration in force", "Event", EventConfiguration, "Revision", configuration.Revision,
			"Version", version, "From", from, "ConfirmedAt", confirmed, "Forwards", len(configuration.Forwards),
			"Organisations", len(configuration.Organisations), "Keys", len(configuration.Keys))
	}
	return nil
}

// SetFreshnessLimit changes the age of the evidence up to which keys are honoured.
func (f *Follower) SetFreshnessLimit(limit time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.options.FreshnessLimit = limit
}

// Current returns the newest configuration that was learnt, never nil.
func (f *Follower) Current() *winch.Configuration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.state.configuration
}

// Authorize returns the organisation's key, winch.ErrUnauthorized, or a *winch.Isolation
// when the evidence is too old.
func (f *Follower) Authorize(now time.Time, hash winch.KeyHash) (winch.Key, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.state.authorize(now, hash, f.options.FreshnessLimit)
}

// Authority returns what may be served now.
func (f *Follower) Authority(now time.Time) winch.Authority {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.state.authority(now, f.options.FreshnessLimit)
}

// ConfirmedAt returns when the configuration in force was known to be the newest.
func (f *Follower) ConfirmedAt() time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.state.confirmedAt
}

// Changed returns a channel that is closed at the next change of the configuration.
func (f *Follower) Changed() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.changed
}
