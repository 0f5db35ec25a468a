package peer

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/arbutuswinch/winch"
	"github.com/arbutuswinch/winch/release"
)

// fakeLog is an in-memory release log. Its calls return immediately.
type fakeLog struct {
	mu          sync.Mutex
	unavailable bool
	records     []winch.ReleaseRecord
	current     *winch.Configuration
	accepted    winch.Revision
	rosters     map[winch.DataCentreID][]winch.HostID
	calls       int
}

func newFakeLog() *fakeLog {
	return &fakeLog{current: release.Empty(), rosters: map[winch.DataCentreID][]winch.HostID{}}
}

func (l *fakeLog) startCall() error {
	l.calls++
	if l.unavailable {
		return fmt.Errorf("call: %w", winch.ErrUnavailable)
	}
	return nil
}

func (l *fakeLog) Head(context.Context) (winch.ReleaseHead, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	head := winch.ReleaseHead{Read: true, Revision: l.current.Revision}
	if len(l.records) > 0 {
		head.Record = &l.records[len(l.records)-1]
	}
	return head, l.startCall()
}

func (l *fakeLog) WaitHead(ctx context.Context, _ winch.ReleaseHead, _ time.Duration) (winch.ReleaseHead, error) {
	return l.Head(ctx)
}

func (l *fakeLog) Fetch(_ context.Context, current *winch.Configuration, head winch.ReleaseHead) (*winch.Configuration, []winch.ReleaseRecord, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if err := l.startCall(); err != nil {
		return nil, nil, err
	}
	if head.Revision <= current.Revision {
		return current, nil, nil
	}
	return l.current, slices.Clone(l.records[current.Revision:]), nil
}

func (l *fakeLog) Commit(_ context.Context, _ *winch.Configuration, note winch.Note) (winch.ReleaseResult, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if err := l.startCall(); err != nil {
		return winch.ReleaseResult{}, err
	}
	record := winch.ReleaseRecord{Revision: l.current.Revision + 1, Note: note, Write: "write", Author: "author"}
	l.records = append(l.records, record)
	l.current = release.ApplyRecord(l.current, record)
	return winch.ReleaseResult{Note: note.ID, Revision: record.Revision, Record: &record, Configuration: l.current}, nil
}

func (l *fakeLog) Find(context.Context, winch.NoteID) (winch.ReleaseResult, error) {
	return winch.ReleaseResult{}, winch.ErrNotFound
}

func (l *fakeLog) Accepted(context.Context) (winch.Revision, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.accepted, l.startCall()
}

func (l *fakeLog) MarkAccepted(_ context.Context, revision winch.Revision) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if err := l.startCall(); err != nil {
		return err
	}
	l.accepted = max(l.accepted, revision)
	return nil
}

func (l *fakeLog) Roster(_ context.Context, centre winch.DataCentreID) ([]winch.HostID, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.rosters[centre]), l.startCall()
}

func (l *fakeLog) ChangeRoster(_ context.Context, centre winch.DataCentreID, added, dropped []winch.HostID) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if err := l.startCall(); err != nil {
		return err
	}
	hosts := slices.DeleteFunc(append(slices.Clone(l.rosters[centre]), added...), func(id winch.HostID) bool { return slices.Contains(dropped, id) })
	slices.Sort(hosts)
	l.rosters[centre] = slices.Compact(hosts)
	return nil
}

// fakeClock is a clock that tests set.
type fakeClock struct {
	mu  sync.Mutex
	now time.Time
}

func (c *fakeClock) Now() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.now
}

func (c *fakeClock) advance(duration time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.now = c.now.Add(duration)
}

// fakeMembership is the membership as one host sees it.
type fakeMembership struct {
	self    winch.Host
	centres []winch.DataCentreID
	hosts   func(winch.DataCentreID) []winch.Host
	// hub may be nil; then the first host of a data centre is its hub.
	hub func(winch.DataCentreID) (winch.Host, bool)
}

func (m *fakeMembership) Self() winch.Host                  { return m.self }
func (m *fakeMembership) DataCentres() []winch.DataCentreID { return m.centres }

func (m *fakeMembership) Hosts(_ time.Time, centre winch.DataCentreID) []winch.Host {
	return m.hosts(centre)
}

func (m *fakeMembership) Hub(_ time.Time, centre winch.DataCentreID) (winch.Host, bool) {
	if m.hub != nil {
		return m.hub(centre)
	}
	hosts := m.hosts(centre)
	if len(hosts) == 0 {
		return winch.Host{}, false
	}
	return hosts[0], true
}

func (m *fakeMembership) Candidate(time.Time, winch.Duty, winch.DataCentreID) bool { return false }

func (m *fakeMembership) RelaysReports(time.Time) bool { return false }

func (m *fakeMembership) Rank(time.Time, winch.Duty, winch.DataCentreID) int { return 0 }
