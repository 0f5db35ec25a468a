// Package registry follows the list of endpoints that register themselves.
//
// The list is read at a fixed pace. While it cannot be read, the last one counts.
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
// A follower is the dispatcher's winch.EndpointSource.
package registry

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/arbutuswinch/winch"
	"github.com/arbutuswinch/winch/internal/dependency"
	"github.com/arbutuswinch/winch/internal/periodic"
)

const (
	defaultPollEvery = 600 * time.Millisecond
	// outageAge is the age of the last list from which the next one counts as the first after an outage.
	outageAge = 1500 * time.Millisecond
	// returnTime is the time after an outage in which endpoints whose entries lapsed meanwhile
	// enter themselves again.
	returnTime = 1800 * time.Millisecond
	// leaveSlack is the difference of two statements of a leave time that says nothing new.
	leaveSlack = 500 * time.Millisecond
)

// Options are the settings of a follower. The zero value of a duration stands for its default.
type Options struct {
	Lister winch.EndpointLister
	Clock  winch.Clock
	Logger hclog.Logger
	// PollEvery is the time between two readings. The default is 600 ms.
	PollEvery time.Duration
	// Relayed is the age up to which a list that another host passed on spares a reading. The default is none.
	Relayed time.Duration
}

// Follower implements winch.EndpointSource. It is safe for concurrent use.
type Follower struct {
	options Options

	mu sync.Mutex
	// listed is the newest list, which other hosts are told, and hash its hash.
	listed []winch.EndpointStatus
	hash   uint64
	// current is listed with the endpoints that have time to come back.
	current []winch.EndpointStatus
	readAt  time.Time
	changed chan struct{}
	// known are the hashes of the lists that other hosts have, at the hub.
	known map[winch.HostID]uint64
	// returnUntil is until when endpoints stay that are missing after an outage.
	returnUntil time.Time
	// ownAt is when this host read the list last.
	ownAt time.Time
	// list logs the loss and the return of the list; only Run uses it.
	list *dependency.Dependency
}

var _ winch.EndpointSource = (*Follower)(nil)

// New returns a follower, which knows no endpoint until Run.
func New(options Options) (*Follower, error) {
	if options.Lister == nil || options.Clock == nil || options.Logger == nil {
		return nil, fmt.Errorf("create endpoint follower: Lister, Clock and Logger are needed: %w", winch.ErrInvalid)
	}
	options.PollEvery = cmp.Or(options.PollEvery, defaultPollEvery)
	return &Follower{
		options: options, changed: make(chan struct{}), known: map[winch.HostID]uint64{},
		list: dependency.New("endpoint list", options.Logger, EventListFailed, EventListRegained),
	}, nil
}

// Run reads the list until ctx ends. It returns nil.
func (f *Follower) Run(ctx context.Context) error {
	return periodic.RunPaced(ctx, func() time.Duration { return f.options.PollEvery }, f.Step)
}

// Step reads the list once; Run calls it at its pace.
func (f *Follower) Step(ctx context.Context) {
	sent := f.options.Clock.Now()
	if f.relayed(sent) {
		return
	}
	listed, err := f.options.Lister.ListEndpoints(ctx, sent)
	f.list.Note(err)
	if err != nil {
		return
	}
	f.mu.Lock()
	f.ownAt = sent
	f.mu.Unlock()
	f.take(sent, listed)
}

// afterOutage adds the endpoints that are missing for a while after an outage, since
// entries lapse while the list is away, and their endpoints have to enter themselves
// again. Other hosts are not told of those: they may know better.
func (f *Follower) afterOutage(at time.Time, listed []winch.EndpointStatus) []winch.EndpointStatus {
	if !f.readAt.IsZero() && at.Sub(f.readAt) > outageAge {
		f.returnUntil = at.Add(returnTime)
	}
	if !at.Before(f.returnUntil) {
		return listed
	}
	listed = slices.Clone(listed)
	present := map[winch.EndpointID]bool{}
	for _, status := range listed {
		present[status.Endpoint.ID] = true
	}
	for _, status := range f.current {
		if !present[status.Endpoint.ID] {
			listed = append(listed, status)
		}
	}
	sortByID(listed)
	return listed
}

func sortByID(listed []winch.EndpointStatus) {
	slices.SortFunc(listed, func(a, b winch.EndpointStatus) int { return cmp.Compare(a.Endpoint.ID, b.Endpoint.ID) })
}

// relayed tells whether another host's list is new enough to spare a reading.
func (f *Follower) relayed(now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.readAt.After(f.ownAt) && now.Sub(f.readAt) <= f.options.Relayed
}

// take replaces the list, and logs what changed.
func (f *Follower) take(at time.Time, listed []winch.EndpointStatus) {
	sortByID(listed)
	f.mu.Lock()
	before, after := f.current, f.afterOutage(at, listed)
	f.listed, f.hash, f.readAt = listed, hashOf(listed), at
	same := slices.EqualFunc(before, after, equal)
	if !same {
		f.current = after
		close(f.changed)
		f.changed = make(chan struct{})
	}
	f.mu.Unlock()
	if !same {
		f.logChanges(before, after)
	}
}

func equal(a, b winch.EndpointStatus) bool {
	return a.State == b.State && a.Endpoint.ID == b.Endpoint.ID && a.Endpoint.Address == b.Endpoint.Address &&
		a.StartedAt.Equal(b.StartedAt) && a.Endpoint.SlotLimit == b.Endpoint.SlotLimit &&
		a.Endpoint.Supply == b.Endpoint.Supply && slices.Equal(a.Endpoint.Models, b.Endpoint.Models) &&
		a.LeavesAt.IsZero() == b.LeavesAt.IsZero() && a.LeavesAt.Sub(b.LeavesAt).Abs() < leaveSlack
}

func (f *Follower) logChanges(before, after []winch.EndpointStatus) {
	known := map[winch.EndpointID]winch.EndpointStatus{}
	for _, status := range before {
		known[status.Endpoint.ID] = status
	}
	for _, status := range after {
		old, found := known[status.Endpoint.ID]
		delete(known, status.Endpoint.ID)
		if !found || !equal(old, status) {
			f.options.Logger.Info("endpoint listed", "Event", EventEndpointListed, "Endpoint", status.Endpoint.ID,
				"State", status.State, "Before", old.State, "Models", status.Endpoint.Models, "DataCentre", status.Endpoint.DataCentre,
				"Address", status.Endpoint.Address, "Supply", status.Endpoint.Supply, "LeavesAt", status.LeavesAt)
		}
	}
	for id := range known {
		f.options.Logger.Info("endpoint no longer listed", "Event", EventEndpointUnlisted, "Endpoint", id)
	}
}

// Endpoints returns the newest list. It must not be modified.
func (f *Follower) Endpoints() []winch.EndpointStatus {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.current
}

// In returns the endpoints of one data centre as those that were ordered there.
func (f *Follower) In(centre winch.DataCentreID) winch.OrderedEndpoints {
	return ordered{follower: f, centre: centre}
}

// ordered implements winch.OrderedEndpoints.
type ordered struct {
	follower *Follower
	centre   winch.DataCentreID
}

// Current returns the data centre's endpoints, or nil when no list was read yet.
func (o ordered) Current() []winch.OrderedEndpoint {
	listed := o.follower.Endpoints()
	if listed == nil {
		return nil
	}
	endpoints := []winch.OrderedEndpoint{}
	for _, status := range listed {
		if status.Endpoint.DataCentre != o.centre || len(status.Endpoint.Models) == 0 {
			continue
		}
		model := status.Endpoint.Models[0]
		endpoints = append(endpoints, winch.OrderedEndpoint{
			ID: status.Endpoint.ID, DataCentre: o.centre, Address: status.Endpoint.Address, Model: model, Supply: status.Endpoint.Supply,
			Pool: winch.ScalingPool(model, o.centre, status.Endpoint.Supply), State: status.State, LeavesAt: status.LeavesAt,
		})
	}
	return endpoints
}

// Changed returns a channel that is closed at the next change of the list.
func (o ordered) Changed() <-chan struct{} { return o.follower.Changed() }

// Changed returns a channel that is closed at the next change of the list.
func (f *Follower) Changed() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.changed
}
