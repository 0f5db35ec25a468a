// Package source follows a configuration that operators maintain in an external store,
// and tracks how long ago it was known to be the newest.
//
// The source is polled at a fixed interval. Each response proves that a configuration was the
// newest at some time between the request and the response. This evidence gets the time
// of the request, so that it is never taken for newer than it is. The clock must also
// advance while the machine is suspended. Keys are accepted only while the evidence is
// younger than the freshness limit. Open routes, which need no key, are served with the
// last configuration, however old the evidence is, as long as nothing newer is known to exist. Else requests of all
// kinds are refused once the evidence is older than the superseded limit.
//
// Configurations are ordered by the operator's revision, which never decreases at a host. The version of the entry in the store only
// decides between different contents of one revision, since it falls when the store comes back from an older copy. From then until the
// operator has written its newest configuration again, the newest revision that a host knows stays in force. The older copy does not
// renew its evidence, because a newer revision may have been lost as well; so keys are refused once the evidence is older than the freshness
// limit. A host that knows only the older copy gets the newer revision from the others, and refuses requests until it has it.
//
// The hosts of a data centre pass their evidence on through their hub, with the newest configuration or, if that is large, the news
// that it exists; it is then fetched by a call of its own. So a host that cannot reach the source keeps serving as long as another host
// of its data centre can.
//
// # Usage
//
//	follower, err := source.New(source.Options{Source: configurationSource, Clock: clock, Logger: logger, FreshnessLimit: 4 * time.Second})
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
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/arbutuswinch/winch"
	"github.com/arbutuswinch/winch/httpjson"
	"github.com/arbutuswinch/winch/internal/dependency"
	"github.com/arbutuswinch/winch/internal/relay"
)

const (
	defaultPollEvery      = 600 * time.Millisecond
	defaultFreshnessLimit = 4 * time.Second
)

// Options are the settings of a Follower. A zero duration selects the default.
type Options struct {
	Source winch.ConfigurationSource
	Clock  winch.Clock
	Logger hclog.Logger
	// Membership finds the hosts from which a newer configuration is fetched. If it is nil, only the source is read.
	Membership winch.Membership
	// Self is this host, whose own evidence does not count as relayed while it is the hub.
	Self winch.HostID
	// PollEvery is the interval between two reads of the source. The default is 600 ms.
	PollEvery time.Duration
	// FreshnessLimit is the age of the evidence up to which keys are accepted. The default is 4 s.
	FreshnessLimit time.Duration
	// SupersededLimit is the age of the evidence up to which any request is served by a configuration of which a newer version
	// is known to exist. The default is FreshnessLimit.
	SupersededLimit time.Duration
	// MaxRelayedAge is the age up to which evidence from another host replaces a read of the
	// source. The default is zero: the source is read at every interval.
	MaxRelayedAge time.Duration
}

// Follower implements winch.ConfirmedConfigurations. It is safe for concurrent use.
type Follower struct {
	options Options

	mu      sync.Mutex
	state   state
	changed chan struct{}
	// reported are the editions that the other hosts reported last; used at the hub.
	reported map[winch.HostID]edition
	// hubEdition is the edition in the hub's last summary.
	hubEdition edition
	// origin is a random id of this process. As the hub, it sends the id with the reading of
	// its clock in each summary, to recognize its own readings in reports.
	origin uint64
	// stamp is the reading of the hub's clock in its last summary.
	stamp receivedStamp
	// hub is the host whose summary was received last.
	hub    winch.HostID
	reader *relay.Reader
	// reading is held during a read of the source.
	reading  sync.Mutex
	contents *contentServer
	// clients call the other hosts. It is nil until the secret that they share is known.
	clients atomic.Pointer[httpjson.Clients]
	// wake is signalled when this host has heard of a newer configuration than it has.
	wake chan struct{}
	// older is the last reading of the source that was logged as older than the configuration in force.
	older edition
}

var _ winch.ConfirmedConfigurations = (*Follower)(nil)

// New returns a Follower. It has no configuration until Run reads one.
func New(options Options) (*Follower, error) {
	if options.Source == nil || options.Clock == nil || options.Logger == nil {
		return nil, fmt.Errorf("create follower: Source, Clock and Logger are required: %w", winch.ErrInvalid)
	}
	options.PollEvery = cmp.Or(options.PollEvery, defaultPollEvery)
	options.FreshnessLimit = cmp.Or(options.FreshnessLimit, defaultFreshnessLimit)
	options.SupersededLimit = cmp.Or(options.SupersededLimit, options.FreshnessLimit)
	// An origin of zero means that no stamp was received, so the lowest bit is set.
	follower := &Follower{
		options: options, state: state{decoded: newDecoded(&winch.Configuration{}, nil, winch.VersionAbsent)},
		changed: make(chan struct{}), reported: map[winch.HostID]edition{}, origin: rand.Uint64() | 1,
		contents: newContentServer(), wake: make(chan struct{}, 1),
	}
	follower.reader = relay.NewReader(
		relay.Settings{Self: options.Self, PollEvery: options.PollEvery, MaxAge: options.MaxRelayedAge}, options.Clock,
		dependency.New("configuration source", options.Logger, EventSourceFailed, EventSourceRecovered),
		dependency.New("relayed configuration", options.Logger, EventRelayStale, EventRelayRecovered), follower.read)
	return follower, nil
}

// Run reads the source until ctx is done: at the interval PollEvery or, while the hub relays evidence, as soon as that is
// older than MaxRelayedAge. A newer configuration of which this host hears is fetched at once. Run returns nil.
func (f *Follower) Run(ctx context.Context) error {
	done := make(chan struct{})
	go func() {
		defer close(done)
		f.runCatchUp(ctx)
	}()
	err := f.reader.Run(ctx)
	<-done
	return err
}

// Step reads the source once, unless recent evidence from another host makes that
// unnecessary. Run calls it at each interval.
func (f *Follower) Step(ctx context.Context) { f.reader.Step(ctx) }

// readOnce reads the source unless another read is in progress, whose result serves as well. It implements relay.ReadFunc.
func (f *Follower) readOnce(ctx context.Context, sent time.Time, limit time.Duration) error {
	if !f.reading.TryLock() {
		return nil
	}
	defer f.reading.Unlock()
	return f.read(ctx, sent, limit)
}

// read fetches the configuration.
func (f *Follower) read(ctx context.Context, sent time.Time, limit time.Duration) error {
	f.mu.Lock()
	expected := f.state.expected
	f.mu.Unlock()
	raw, version, err := f.options.Source.Fetch(ctx, expected.edition.version, winch.LongRead{StallLimit: limit, Changed: f.hearOfChange})
	if err != nil {
		return err
	}
	if raw == nil {
		return f.applyUnchanged(expected, sent)
	}
	next, err := f.decode(raw, version)
	f.mu.Lock()
	confirmed := f.state.settle(reading{edition: next.edition, err: err}, sent, f.options.FreshnessLimit)
	f.mu.Unlock()
	if err != nil {
		return err
	}
	inForce, replaced := f.apply(next, confirmed, fromSource)
	f.logOlder(next.edition, inForce, replaced)
	return nil
}

// applyUnchanged processes a read that returned what the source was expected to have.
func (f *Follower) applyUnchanged(expected reading, sent time.Time) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if expected.edition.isNone() {
		return nil
	}
	confirmed := f.state.settle(expected, sent, f.options.FreshnessLimit)
	f.state.confirm(expected.edition, confirmed)
	return expected.err
}

// hearOfChange processes that the source has another edition than was expected, before it has arrived.
func (f *Follower) hearOfChange() {
	f.mu.Lock()
	next := f.state.edition.successor()
	f.mu.Unlock()
	f.hearOfNewer(evidence{edition: next}, "")
}

// fromSource stands for the source where the origin of a configuration is logged.
const fromSource = "source"

// applyRelayed processes a configuration that another host has, in its stored form, and that was the newest at the time confirmed.
func (f *Follower) applyRelayed(raw []byte, version winch.Version, confirmed time.Time, from winch.HostID) error {
	next, err := f.decode(raw, version)
	if err != nil {
		f.mu.Lock()
		f.state.rejected = next.edition
		f.mu.Unlock()
		return err
	}
	f.apply(next, confirmed, string(from))
	return nil
}

// decode decodes a stored form. With an error, only the edition is set.
func (f *Follower) decode(raw []byte, version winch.Version) (decoded, error) {
	configuration, err := f.options.Source.Decode(raw)
	if err != nil {
		return decoded{edition: editionOf(0, raw, version)}, err
	}
	return newDecoded(configuration, raw, version), nil
}

// apply records that next was the newest at the time confirmed, and puts it in force if it is newer. It returns what was in force before,
// and whether next replaced it.
func (f *Follower) apply(next decoded, confirmed time.Time, from string) (edition, bool) {
	f.mu.Lock()
	inForce := f.state.edition
	replaced := f.state.replaceIfNewer(next, confirmed)
	if replaced {
		close(f.changed)
		f.changed = make(chan struct{})
	}
	f.mu.Unlock()
	if replaced {
		c := next.configuration
		f.options.Logger.Info("configuration in force", "Event", EventConfigurationInForce, "Revision", c.Revision,
			"Version", next.edition.version, "From", from, "ConfirmedAt", confirmed, "Forwards", len(c.Forwards),
			"Organisations", len(c.Organisations), "Keys", len(c.Keys), "KeysOptional", c.KeysOptional)
	}
	return inForce, replaced
}

// SetLimits changes the ages of the evidence up to which keys are accepted, and up to which a configuration is used of which a
// newer version is known to exist.
func (f *Follower) SetLimits(freshness, superseded time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.options.FreshnessLimit, f.options.SupersededLimit = freshness, superseded
}

// Current returns the newest configuration that was received, never nil.
func (f *Follower) Current() *winch.Configuration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.state.configuration
}

// Authorize returns the key with the hash. It returns winch.ErrUnauthorized if there is
// none, and a *winch.IsolationError if the evidence is too old.
func (f *Follower) Authorize(now time.Time, hash winch.KeyHash) (winch.Key, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.state.authorize(now, hash, f.options.FreshnessLimit, f.options.SupersededLimit)
}

// Authority returns which requests this host may serve now.
func (f *Follower) Authority(now time.Time) winch.Authority {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.state.authority(now, f.options.FreshnessLimit, f.options.SupersededLimit)
}

// ConfirmedAt returns the last time at which the configuration in force was known to be the newest.
func (f *Follower) ConfirmedAt() time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.state.confirmedAt
}

// Superseded reports whether a newer configuration is known to exist than the one in force, unless this host is isolated.
func (f *Follower) Superseded(now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.state.superseded(now, f.options.FreshnessLimit)
}

// Changed returns a channel that is closed at the next change of the configuration.
func (f *Follower) Changed() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.changed
}
