// Package agreed is the time of day on which the hosts agree.
//
// Wall clocks of single hosts jump. Each host tells its wall clock with the exchange; the
// hub takes the median of all, and tells it back. A host holds the difference between that
// and its own steady clock, so that a jump of its wall clock, or of a minority of others,
// changes nothing. Until enough hosts were heard the wall clock at the start counts.
//
// # Usage
//
//	clock := agreed.New(steady, time.Now)
//	exchange := peer.New(peer.Options{Sections: []winch.Section{clock.Section()}})
//	window := usage.WindowOf(clock.Now(), time.Minute)
package agreed

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
	// minHosts is the number of hosts from which a median tells jumps from the truth.
	minHosts = 3
	// maxOffsetAge is the age at which a host's reading counts no more.
	maxOffsetAge = 3 * time.Second
)

// Clock implements winch.Clock. It is safe for concurrent use.
type Clock struct {
	steady winch.Clock
	wall   func() time.Time

	mu sync.Mutex
	// offset is what the agreed time is ahead of the steady clock.
	offset time.Duration
	// hostOffsets are the other hosts' wall clocks, at the hub.
	hostOffsets map[winch.HostID]hostOffset
}

// hostOffset is what a host's wall clock was ahead of this host's steady clock.
type hostOffset struct {
	offset time.Duration
	at     time.Time
}

var _ winch.Clock = (*Clock)(nil)

// New returns a clock that begins at the wall clock's reading.
func New(steady winch.Clock, wall func() time.Time) *Clock {
	return &Clock{steady: steady, wall: wall, offset: wallOffset(steady, wall), hostOffsets: map[winch.HostID]hostOffset{}}
}

func wallOffset(steady winch.Clock, wall func() time.Time) time.Duration {
	return wall().Round(0).Sub(steady.Now())
}

// Now returns the agreed time.
func (c *Clock) Now() time.Time { return c.At(c.steady.Now()) }

// At returns the agreed time that belongs to a reading of the steady clock.
func (c *Clock) At(steady time.Time) time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return steady.Add(c.offset)
}

// median returns the median of what the hosts' wall clocks are ahead, and their number.
func (c *Clock) median(now time.Time) (time.Duration, int) {
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
	// Time is the agreed time in Unix microseconds.
	Time  int64
	Hosts int
}

// section is the clock's part of the exchange between hosts.
type section struct {
	winch.NoDigest
	c *Clock
}

// Section returns the clock's part of the exchange between hosts.
func (c *Clock) Section() winch.Section { return section{c: c} }

// Name returns the section's name.
func (s section) Name() winch.SectionName { return sectionName }

// Report tells this host's wall clock.
func (s section) Report(time.Time) []byte { return encode(reportWire{Wall: s.c.wall().UnixMicro()}) }

// Collect takes a host's wall clock in.
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

// Summary tells the median of the hosts' wall clocks.
func (s section) Summary(now time.Time, _ winch.HostID) []byte {
	median, hosts := s.c.median(now)
	return encode(summaryWire{Time: now.Add(median).UnixMicro(), Hosts: hosts})
}

// Apply takes the agreed time in. It was true half way through the exchange.
func (s section) Apply(now, sent time.Time, hub winch.HostID, summary []byte) error {
	wire := summaryWire{}
	if err := json.Unmarshal(summary, &wire); err != nil {
		return fmt.Errorf("decode agreed time of %s: %w: %w", hub, winch.ErrInvalid, err)
	}
	if wire.Hosts < minHosts {
		return nil
	}
	middle := sent.Add(now.Sub(sent) / 2)
	s.c.mu.Lock()
	defer s.c.mu.Unlock()
	s.c.offset = time.UnixMicro(wire.Time).Sub(middle)
	return nil
}

func encode(wire any) []byte {
	encoded, err := json.Marshal(wire)
	if err != nil {
		// Structs of numbers can always be encoded.
		return nil
	}
	return encoded
}
