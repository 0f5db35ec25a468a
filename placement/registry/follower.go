// Package registry keeps the platform's list of registered endpoints, and distributes it
// within a data centre.
//
// The list is read at a fixed interval. While it cannot be read, the last list is used.
//
// Where Options.Evacuations is set, the evacuated data centres are read beside the list and marked in it. They have a time of
// their own: an older reading never replaces a newer one, whichever list it comes with.
//
// # Usage
//
//	follower, err := registry.New(registry.Options{Lister: lister, Clock: clock, Logger: logger})
//	if err != nil {
//		return err
//	}
//	go follower.Run(ctx)
//	endpoints := follower.Endpoints()
//
// The dispatcher uses a follower as its winch.EndpointSource.
package registry

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/arbutuswinch/winch"
	"github.com/arbutuswinch/winch/internal/dependency"
	"github.com/arbutuswinch/winch/internal/relay"
)

const (
	defaultPollEvery = 600 * time.Millisecond
	// outageThreshold is the time without a list after which, if a read failed, the next list counts as the first one after
	// an outage. Entries do not expire earlier.
	outageThreshold = 2 * time.Second
	// reRegistrationGrace is the time that endpoints have to register again whose entries expired during an outage, or were lost
	// because the store came back from an older copy.
	reRegistrationGrace = 1800 * time.Millisecond
	// leaveTolerance is the difference below which two leave times count as equal.
	leaveTolerance = 500 * time.Millisecond
)

// Options are the dependencies and settings of a follower. A duration that is zero has its default value.
type Options struct {
	Lister winch.EndpointLister
	// Evacuations lists the evacuated data centres. It may be nil: then none counts as evacuated.
	Evacuations winch.EvacuationLister
	// Eras tells that the store of the list came back from an older copy. If it is nil, it never does.
	Eras   winch.EraSource
	Clock  winch.Clock
	Logger hclog.Logger
	// Self is this host, whose own list does not count as relayed while it is the hub.
	Self winch.HostID
	// PollEvery is the time between reads. The default is 600 ms.
	PollEvery time.Duration
	// MaxRelayedAge is a limit of age. While a list received from another host is at most this old,
	// Step does not read the list itself. The default is zero: Step always reads it.
	MaxRelayedAge time.Duration
}

// Follower implements winch.EndpointSource. It is safe for concurrent use.
type Follower struct {
	options Options

	mu sync.Mutex
	// latest is the newest list as it was read, which is sent to other hosts, and hash the hash of it and of the evacuations.
	latest      []winch.EndpointStatus
	evacuations evacuationReading
	hash        uint64
	// coldMark is the part of hash that stands for the cold ends; see cold.go.
	coldMark uint64
	// lister is that of Options.Evacuations or SetEvacuations.
	lister winch.EvacuationLister
	// current is latest, with the evacuated endpoints marked, later statements of endpoints in place of earlier ones (see statements.go) and,
	// after an outage, the endpoints that still have time to register again.
	current []winch.EndpointStatus
	// readAt is when latest was read, by this host or by another one.
	readAt  time.Time
	changed chan struct{}
	// hostHashes holds, at the hub, the hash of the list that each host reported.
	hostHashes map[winch.HostID]uint64
	// graceUntil is when endpoints that are missing after an outage, or in a new era of the store, are removed.
	graceUntil time.Time
	// era is that of the store as of the newest list, and eraSince when the first list of it was read, zero for the first era of all.
	era      winch.Era
	eraSince time.Time
	// holds is set if current has a later statement of an endpoint than latest.
	holds  bool
	reader *relay.Reader
	// readFailed reports whether a read of this host failed since the last list.
	readFailed bool
}

var (
	_ winch.EndpointSource   = (*Follower)(nil)
	_ winch.EvacuationSource = (*Follower)(nil)
)

// New returns a follower, which has no list until Run or Step reads it.
func New(options Options) (*Follower, error) {
	if options.Lister == nil || options.Clock == nil || options.Logger == nil {
		return nil, fmt.Errorf("create endpoint follower: Lister, Clock and Logger are required: %w", winch.ErrInvalid)
	}
	options.PollEvery = cmp.Or(options.PollEvery, defaultPollEvery)
	follower := &Follower{options: options, lister: options.Evacuations, changed: make(chan struct{}), hostHashes: map[winch.HostID]uint64{}}
	follower.reader = relay.NewReader(
		relay.Settings{Self: options.Self, PollEvery: options.PollEvery, MaxAge: options.MaxRelayedAge}, options.Clock,
		dependency.New("access to the endpoint list", options.Logger, EventListFailed, EventListRecovered),
		dependency.New("relayed endpoint list", options.Logger, EventRelayStale, EventRelayRecovered), follower.read)
	return follower, nil
}

// Run reads the list until ctx is done: at the interval PollEvery or, while another host relays it, as soon as the relayed
// list is older than MaxRelayedAge. It returns nil.
func (f *Follower) Run(ctx context.Context) error { return f.reader.Run(ctx) }

// Step reads the list once, unless a list from another host is recent enough. Run calls it periodically.
func (f *Follower) Step(ctx context.Context) { f.reader.Step(ctx) }

// read reads the list. It implements relay.ReadFunc.
func (f *Follower) read(ctx context.Context, sent time.Time, limit time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	results := f.readEvacuations(ctx, sent)
	statuses, err := f.options.Lister.ListEndpoints(ctx, sent)
	evacuated := <-results
	if err != nil || f.lacksEvacuations(evacuated.reading) {
		f.mu.Lock()
		f.readFailed = true
		f.mu.Unlock()
		return errors.Join(err, evacuated.err)
	}
	f.update(reading{at: sent, received: f.options.Clock.Now(), from: ownReading, evacuations: evacuated.reading}, statuses)
	// A list without the evacuations is better than none, but the reading has failed.
	return evacuated.err
}

// followEra starts the grace time if a new era of the store has begun before the list was read at the given time. It is called with the lock.
func (f *Follower) followEra(at time.Time) {
	if f.options.Eras == nil || f.options.Eras.Newest() == f.era {
		return
	}
	f.era = f.options.Eras.Newest()
	if !f.readAt.IsZero() {
		f.eraSince, f.graceUntil = at, at.Add(reRegistrationGrace)
	}
}

// keepMissingAfterOutage returns the list and, during the grace time after an outage or in a new era, also
// the previous endpoints that it lacks: entries expire during an outage or are lost with the older era, and their endpoints
// have to register again. The first list after an outage starts the grace time. The added
// endpoints are not sent to other hosts, which may have newer information.
func (f *Follower) keepMissingAfterOutage(at time.Time, statuses []winch.EndpointStatus) []winch.EndpointStatus {
	if !f.readAt.IsZero() && f.readFailed && at.Sub(f.readAt) > outageThreshold {
		f.graceUntil = at.Add(reRegistrationGrace)
	}
	f.readFailed = false
	if !at.Before(f.graceUntil) {
		return statuses
	}
	statuses = slices.Clone(statuses)
	present := map[winch.EndpointID]bool{}
	for _, status := range statuses {
		present[status.Endpoint.ID] = true
	}
	for _, status := range f.current {
		if !present[status.Endpoint.ID] {
			statuses = append(statuses, status)
		}
	}
	sortByID(statuses)
	return statuses
}

// recovering reports whether a list read at the given time may not be the one in use, because of an outage before it or earlier statements in it.
func (f *Follower) recovering(at time.Time) bool {
	return f.holds || f.readFailed && at.Sub(f.readAt) > outageThreshold || at.Before(f.graceUntil) || len(f.current) != len(f.latest)
}

func sortByID(statuses []winch.EndpointStatus) {
	slices.SortFunc(statuses, compareID)
}

func compareID(a, b winch.EndpointStatus) int { return cmp.Compare(a.Endpoint.ID, b.Endpoint.ID) }

// reading tells when and by whom a list was read.
type reading struct {
	// at is when the read began, and received when this host got the list.
	at, received time.Time
	// from is the host that read the list, or ownReading.
	from winch.HostID
	// evacuations are those that came with the list, if any.
	evacuations evacuationReading
	// coldMark is that of the list, if another host has read it.
	coldMark uint64
}

// ownReading is the origin of a list that this host has read itself.
const ownReading winch.HostID = "self"

// update replaces the list and the evacuations unless newer ones are in use, and logs the changes.
func (f *Follower) update(r reading, statuses []winch.EndpointStatus) {
	sortByID(statuses)
	f.mu.Lock()
	newer, evacuated := !r.at.Before(f.readAt), f.lister != nil && r.evacuations.supersedes(f.evacuations)
	if !newer && !evacuated {
		f.mu.Unlock()
		return
	}
	if r.from == ownReading {
		keepColdEnds(f.latest, statuses)
		r.coldMark = coldMarkOf(statuses)
	}
	before, after, evacuatedBefore := f.current, f.current, f.evacuations.DataCentres
	previousReadAt := f.readAt
	if newer {
		f.followEra(r.at)
		after = f.keepMissingAfterOutage(r.at, f.keepLaterStatements(r.at, statuses))
		f.latest, f.coldMark, f.readAt = statuses, r.coldMark, r.at
	}
	if evacuated {
		f.evacuations = r.evacuations.after(f.evacuations)
	}
	evacuations := f.evacuations
	after = markEvacuated(after, evacuations.DataCentres)
	f.updateHash()
	same := !f.replaceCurrent(after)
	f.mu.Unlock()
	logEvacuations(f.options.Logger.With("Age", r.received.Sub(r.evacuations.at).String(), "From", string(r.from)), evacuations.Version,
		evacuatedBefore, evacuations.DataCentres)
	if !same {
		f.logChanges(r, previousReadAt, before, after)
	}
}

// replaceCurrent replaces the list in use, and reports whether it differs. It is called with the lock.
func (f *Follower) replaceCurrent(statuses []winch.EndpointStatus) bool {
	if slices.EqualFunc(f.current, statuses, equalStatus) {
		return false
	}
	f.current = statuses
	close(f.changed)
	f.changed = make(chan struct{})
	return true
}

// equalStatus reports whether two entries are equal, apart from small differences in the leave time and the cold end.
func equalStatus(a, b winch.EndpointStatus) bool {
	return a.Evacuated == b.Evacuated && equalEntry(a, b)
}

// equalEntry is equalStatus for what the endpoints themselves have registered.
func equalEntry(a, b winch.EndpointStatus) bool {
	return a.State == b.State && a.Endpoint.ID == b.Endpoint.ID && a.Endpoint.Address == b.Endpoint.Address &&
		a.StartedAt.Equal(b.StartedAt) && a.Endpoint.SlotLimit == b.Endpoint.SlotLimit &&
		a.Endpoint.Supply == b.Endpoint.Supply && a.Endpoint.Software == b.Endpoint.Software && slices.Equal(a.Endpoint.Models, b.Endpoint.Models) &&
		a.LeavesAt.IsZero() == b.LeavesAt.IsZero() && a.LeavesAt.Sub(b.LeavesAt).Abs() < leaveTolerance && equalCold(a, b)
}

// logChanges logs what changed. Age is how old the list is that tells of the change, and Gap how much later it was read
// than the one before, so that the change was known to this host at most Age and Gap after it was made.
func (f *Follower) logChanges(r reading, previousReadAt time.Time, before, after []winch.EndpointStatus) {
	gap := time.Duration(0)
	if !previousReadAt.IsZero() {
		gap = r.at.Sub(previousReadAt)
	}
	logger := f.options.Logger.With("Age", r.received.Sub(r.at).String(), "Gap", gap.String(), "From", string(r.from))
	previousByID := map[winch.EndpointID]winch.EndpointStatus{}
	for _, status := range before {
		previousByID[status.Endpoint.ID] = status
	}
	for _, status := range after {
		previous, found := previousByID[status.Endpoint.ID]
		delete(previousByID, status.Endpoint.ID)
		if !found || !equalEntry(previous, status) {
			logger.Info("endpoint added or changed", "Event", EventEndpointListed, "Endpoint", status.Endpoint.ID,
				"State", status.State, "Before", previous.State, "Models", status.Endpoint.Models, "DataCentre", status.Endpoint.DataCentre,
				"Address", status.Endpoint.Address, "Supply", status.Endpoint.Supply, "LeavesAt", status.LeavesAt,
				"Software", status.Endpoint.Software, "Started", status.StartedAt, "ColdUntil", status.ColdUntil)
		}
	}
	for id := range previousByID {
		logger.Info("endpoint no longer listed", "Event", EventEndpointUnlisted, "Endpoint", id)
	}
}

// Endpoints returns the current list, sorted by id. It must not be modified.
func (f *Follower) Endpoints() []winch.EndpointStatus {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.current
}

// ReadAt returns when the newest list was read, by this host or by the one that relayed it; zero before the first list.
func (f *Follower) ReadAt() time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.readAt
}

// OrderedEndpoints returns the registered endpoints of one data centre as winch.OrderedEndpoints.
func (f *Follower) OrderedEndpoints(centre winch.DataCentreID) winch.OrderedEndpoints {
	return dataCentreView{follower: f, centre: centre}
}

// dataCentreView implements winch.OrderedEndpoints for one data centre.
type dataCentreView struct {
	follower *Follower
	centre   winch.DataCentreID
}

// Current returns the data centre's endpoints, or nil when no list was read yet.
func (v dataCentreView) Current() []winch.OrderedEndpoint {
	statuses := v.follower.Endpoints()
	if statuses == nil {
		return nil
	}
	endpoints := []winch.OrderedEndpoint{}
	for _, status := range statuses {
		if status.Endpoint.DataCentre != v.centre || len(status.Endpoint.Models) == 0 {
			continue
		}
		// Only the first model counts. Pool is the one that a planner orders for the model's
		// Scaling, since registered endpoints have no pool of their own.
		model := status.Endpoint.Models[0]
		endpoints = append(endpoints, winch.OrderedEndpoint{
			ID: status.Endpoint.ID, DataCentre: v.centre, Address: status.Endpoint.Address, Model: model, Supply: status.Endpoint.Supply, Software: status.Endpoint.Software,
			Pool: winch.ScalingPool(model, v.centre, status.Endpoint.Supply), State: status.State, LeavesAt: status.LeavesAt,
		})
	}
	return endpoints
}

// Changed returns a channel that is closed at the next change of the list.
func (v dataCentreView) Changed() <-chan struct{} { return v.follower.Changed() }

// Changed returns a channel that is closed at the next change of the list.
func (f *Follower) Changed() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.changed
}
