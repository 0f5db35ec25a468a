// Package peer lets the hosts tell each other how far the key-value service has come: the newest era and the highest revision in it.
//
// A process that has just begun knows nothing of the service. If the service came back from an older copy shortly before, the process would
// take what it reads for the present state, and what the service gives out again for new. The section of the exchange tells it what the
// others know, and whether they know enough themselves: the word of a host that has just begun does not count.
//
// # Usage
//
//	section := peer.New(peer.Options{Self: "a", Tracker: tracker, Settle: 1500 * time.Millisecond})
//	// Pass the section to the exchange, and do not act on what depends on the era before the host has heard of it.
//	if section.Heard() {
//		...
//	}
package peer

import (
	"encoding/json"
	"fmt"
	"sync"
	"time"

	"github.com/arbutuswinch/winch"
	"github.com/arbutuswinch/winch/keyvalue/era"
)

const sectionName winch.SectionName = "Era"

// Options are the dependencies and settings of a Section. All fields are required.
type Options struct {
	Self    winch.HostID
	Tracker *era.Tracker
	// Settle is how long a host has to be the hub to have heard from all others, the time after which a silent host counts as dead.
	Settle time.Duration
}

// Section implements winch.Section. It is safe for concurrent use.
type Section struct {
	winch.NoDigest
	options Options

	mu      sync.Mutex
	settled bool
	// hubSince is when this host became the hub, zero if it is not.
	hubSince time.Time
}

var _ winch.Section = (*Section)(nil)

// New returns the section of a host that has heard nothing.
func New(options Options) *Section {
	return &Section{options: options}
}

// Heard reports whether this host has heard the newest era from the others.
func (s *Section) Heard() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.settled
}

// Name returns the name of the section in the exchange.
func (s *Section) Name() winch.SectionName { return sectionName }

// Report returns what this host knows.
func (s *Section) Report(time.Time) []byte { return s.message() }

// Collect records what a host reports. The error matches winch.ErrInvalid if the report cannot be decoded.
func (s *Section) Collect(_ time.Time, from winch.HostID, report []byte) error {
	_, err := s.learn(from, report)
	return err
}

// Summary returns what this host knows.
func (s *Section) Summary(time.Time, winch.HostID) []byte { return s.message() }

// Apply records what the hub tells. The error matches winch.ErrInvalid if the summary cannot be decoded.
func (s *Section) Apply(now, _ time.Time, hub winch.HostID, summary []byte) error {
	if hub == s.options.Self {
		s.noteHub(now)
		return nil
	}
	heard, err := s.learn(hub, summary)
	s.noteOtherHub(heard)
	return err
}

// noteHub records that this host is the hub. If it has been for long enough, all others have reported to it.
func (s *Section) noteHub(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.hubSince.IsZero() {
		s.hubSince = now
	}
	if now.Sub(s.hubSince) >= s.options.Settle {
		s.settled = true
	}
}

// noteOtherHub records that another host is the hub, and whether that one has heard the newest era.
func (s *Section) noteOtherHub(heard bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.hubSince = time.Time{}
	if heard {
		s.settled = true
	}
}

// wireMessage is what a host knows. Position is a winch.Version; Heard is set if the host has heard the newest era itself.
type wireMessage struct {
	Position int64 `json:",omitempty"`
	Heard    bool  `json:",omitempty"`
}

func (s *Section) message() []byte {
	s.mu.Lock()
	wire := wireMessage{Heard: s.settled}
	s.mu.Unlock()
	wire.Position = int64(s.options.Tracker.Position())
	// Numbers and booleans can always be encoded.
	encoded, _ := json.Marshal(wire)
	return encoded
}

// learn records what another host knows, and reports whether it has heard the newest era.
func (s *Section) learn(from winch.HostID, message []byte) (heard bool, err error) {
	if len(message) == 0 {
		return false, nil
	}
	wire := wireMessage{}
	if err := json.Unmarshal(message, &wire); err != nil {
		return false, fmt.Errorf("decode era: %w: %w", winch.ErrInvalid, err)
	}
	if err := s.options.Tracker.Learned(winch.Version(wire.Position), from); err != nil {
		return false, fmt.Errorf("decode era: %w", err)
	}
	return wire.Heard, nil
}
