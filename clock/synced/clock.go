// Package synced provides a time of day that is the same on all hosts.
//
// The wall clock of a single host may jump. With each exchange between hosts, every host
// sends its wall clock to the hub, which computes the median of all wall clocks and sends
// it to the hosts. In a large system the hub gets the medians of groups of hosts, and the heads of the
// groups pass its time on. A host stores the difference between that median and its own steady
// clock, which is that of package boottime and continues during a suspend, so that a jump
// of its own wall clock, or of a minority of the wall clocks, has no effect.
// Until at least 3 hosts have taken part in an exchange, the time is based on the host's
// wall clock at its start.
//
// # Usage
//
//	clock := synced.New(steady, time.Now)
//	exchange, err := peer.New(peer.Options{Sections: []winch.Section{clock.Section(table)}, ...})
//	if err != nil {
//		return err
//	}
//	window := usage.WindowOf(clock.Now(), time.Minute)
//
// Here peer is package membership/peer.
package synced

import (
	"encoding/json"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/arbutuswinch/winch"
)

const (
	sectionName winch.SectionName = "Clock"
	// minHosts is the smallest number of hosts whose median is not changed much by a jump
	// of one wall clock.
	minHosts = 3
	// maxOffsetAge is the age up to which a host's offset is used.
	maxOffsetAge = 3 * time.Second
)

// Clock implements winch.Clock. It is safe for concurrent use.
type Clock struct {
	steady winch.Clock
	wall   func() time.Time

	mu sync.Mutex
	// offset is the synchronised time less the time of the steady clock.
	offset time.Duration
	// hostOffsets holds, at the hub, the offsets of the other hosts' wall clocks.
	hostOffsets map[winch.HostID]hostOffset
	// adoptedAt is when the time of another host was adopted last, and adoptedHosts the number of hosts that had taken part in it.
	adoptedAt    time.Time
	adoptedHosts int
}

// hostOffset is a host's wall clock less this host's steady clock, as received at the
// given time.
type hostOffset struct {
	offset time.Duration
	at     time.Time
}

var _ winch.Clock = (*Clock)(nil)

// New returns a clock that starts at the time of the wall clock and advances with the
// steady clock.
func New(steady winch.Clock, wall func() time.Time) *Clock {
	return &Clock{steady: steady, wall: wall, offset: wallOffset(steady, wall), hostOffsets: map[winch.HostID]hostOffset{}}
}

// wallOffset returns the wall clock less the steady clock.
func wallOffset(steady winch.Clock, wall func() time.Time) time.Duration {
	// Round(0) removes Go's monotonic reading, so that Sub uses the wall clock.
	return wall().Round(0).Sub(steady.Now())
}

// Now returns the synchronised time.
func (c *Clock) Now() time.Time { return c.At(c.steady.Now()) }

// At returns the synchronised time for a time of the steady clock.
func (c *Clock) At(steady time.Time) time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return steady.Add(c.offset)
}

// pruneAndMedian returns the median offset of the hosts' wall clocks, this host's included, and
// the number of hosts. It deletes offsets that are too old. For an even number of hosts it
// returns the lower of the two middle values.
func (c *Clock) pruneAndMedian(now time.Time) (time.Duration, int) {
	values := []time.Duration{wallOffset(c.steady, c.wall)}
	c.mu.Lock()
	for id, hostOffset := range c.hostOffsets {
		if now.Sub(hostOffset.at) > maxOffsetAge {
			delete(c.hostOffsets, id)
			continue
		}
		values = append(values, hostOffset.offset)
	}
	c.mu.Unlock()
	slices.Sort(values)
	return values[(len(values)-1)/2], len(values)
}

type reportWire struct {
	// Wall is the host's wall clock in Unix microseconds.
	Wall int64
}

type summaryWire struct {
	// Time is the synchronised time in Unix microseconds.
	Time int64
	// Hosts is the number of hosts whose wall clocks were used.
	Hosts int
}

// section is the clock's part of the exchange between hosts.
type section struct {
	winch.NoDigest
	c          *Clock
	membership winch.Membership
}

// Section returns the clock's part of the exchange between hosts. The times that the exchange
// passes to it must be those of the steady clock.
func (c *Clock) Section(membership winch.Membership) winch.Section {
	return section{c: c, membership: membership}
}

// Name returns the section's name.
func (s section) Name() winch.SectionName { return sectionName }

// Report returns this host's wall clock, for the hub, or the median of its group if it relays the reports of others.
func (s section) Report(now time.Time) []byte {
	if !s.membership.RelaysReports(now) {
		return encode(reportWire{Wall: s.c.wall().UnixMicro()})
	}
	median, _ := s.c.pruneAndMedian(now)
	return encode(reportWire{Wall: now.Add(median).UnixMicro()})
}

// Collect records the offset of a host's wall clock at the hub.
func (s section) Collect(now time.Time, from winch.HostID, report []byte) error {
	wire := reportWire{}
	if err := json.Unmarshal(report, &wire); err != nil {
		return fmt.Errorf("decode wall clock of %s: %w: %w", from, winch.ErrInvalid, err)
	}
	s.c.mu.Lock()
	defer s.c.mu.Unlock()
	s.c.hostOffsets[from] = hostOffset{offset: time.UnixMicro(wire.Wall).Sub(now), at: now}
	return nil
}

// Summary returns the median of the hosts' wall clocks, and the number of hosts. The head of a group passes on the hub's time.
func (s section) Summary(now time.Time, to winch.HostID) []byte {
	self := s.membership.Self().ID
	if hosts := s.c.adopted(now); hosts > 0 && to != self && s.membership.RelaysReports(now) {
		return encode(summaryWire{Time: s.c.At(now).UnixMicro(), Hosts: hosts})
	}
	median, hosts := s.c.pruneAndMedian(now)
	return encode(summaryWire{Time: now.Add(median).UnixMicro(), Hosts: hosts})
}

// Apply adopts the hub's time if enough hosts took part. The hub is assumed to have sent
// it half-way through the exchange.
func (s section) Apply(now, sent time.Time, hub winch.HostID, summary []byte) error {
	wire := summaryWire{}
	if err := json.Unmarshal(summary, &wire); err != nil {
		return fmt.Errorf("decode synchronised time of %s: %w: %w", hub, winch.ErrInvalid, err)
	}
	if wire.Hosts < minHosts {
		return nil
	}
	middle := sent.Add(now.Sub(sent) / 2)
	s.c.mu.Lock()
	defer s.c.mu.Unlock()
	s.c.offset = time.UnixMicro(wire.Time).Sub(middle)
	s.c.adoptedAt, s.c.adoptedHosts = now, wire.Hosts
	if hub == s.membership.Self().ID {
		s.c.adoptedHosts = 0
	}
	return nil
}

// adopted returns how many hosts took part in the time that was adopted from another host, zero if that is too long ago.
func (c *Clock) adopted(now time.Time) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	if now.Sub(c.adoptedAt) > maxOffsetAge {
		return 0
	}
	return c.adoptedHosts
}

func encode(wire any) []byte {
	encoded, err := json.Marshal(wire)
	if err != nil {
		// Structs of numbers can always be encoded.
		return nil
	}
	return encoded
}
