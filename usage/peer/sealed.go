package peer

import (
	"encoding/json"
	"fmt"
	"sync"
	"time"

	"github.com/arbutuswinch/winch"
)

const (
	sealedName winch.SectionName = "Sealed"
	// sealedNewsFor is how long a host tells of a window in each exchange. Afterwards it does so only to hosts that know less.
	sealedNewsFor = 5 * time.Second
	// maxSealedAhead is how far the clock of a host that tells of a window may be ahead.
	maxSealedAhead = time.Minute
	// maxSealedShards bounds the shards that a message may name.
	maxSealedShards = 4096
)

// SealedWindows implements winch.SealedWindows with what the hosts tell each other in the exchange. If the key-value service
// returns to an older state, the hosts still know which windows must not be sealed again. It is safe for concurrent use.
type SealedWindows struct {
	self winch.HostID

	mu     sync.Mutex
	shards map[winch.Shard]sealedWindow
	// known is, for each host that reports to this one, the sum of what it knows, and hubKnown that of the hub.
	known    map[winch.HostID]int64
	hubKnown int64
}

// sealedWindow is the newest sealed window of a shard, and when this host learned of it.
type sealedWindow struct {
	start   time.Time
	notedAt time.Time
}

var (
	_ winch.SealedWindows = (*SealedWindows)(nil)
	_ winch.Section       = (*SealedWindows)(nil)
)

// NewSealedWindows returns SealedWindows of the host that know of no window.
func NewSealedWindows(self winch.HostID) *SealedWindows {
	return &SealedWindows{self: self, shards: map[winch.Shard]sealedWindow{}, known: map[winch.HostID]int64{}}
}

// Newest returns the start of the newest sealed window of the shard, or the zero time.
func (s *SealedWindows) Newest(shard winch.Shard) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.shards[shard].start
}

// Told reports whether the hub, or a host that reports to this one, is known to know of all windows that this one knows of.
func (s *SealedWindows) Told() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	sum := s.sum()
	if s.hubKnown >= sum {
		return true
	}
	for _, known := range s.known {
		if known >= sum {
			return true
		}
	}
	return false
}

// sum returns the sum of the starts of all windows that this host knows, which grows with each window that it learns of.
func (s *SealedWindows) sum() int64 {
	sum := int64(0)
	for _, sealed := range s.shards {
		sum += sealed.start.Unix()
	}
	return sum
}

// Note records that the window was sealed. A window far in the future is ignored.
func (s *SealedWindows) Note(now time.Time, shard winch.Shard, start time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.note(now, shard, start)
}

func (s *SealedWindows) note(now time.Time, shard winch.Shard, start time.Time) {
	if start.After(s.shards[shard].start) && !start.After(now.Add(maxSealedAhead)) {
		s.shards[shard] = sealedWindow{start: start, notedAt: now}
	}
}

type wireSealedShard struct {
	Shard int
	// Window is the start of the window in Unix seconds.
	Window int64
}

// wireSealed holds the recently sealed windows, or all that the sender knows. Known is the result of SealedWindows.sum at the sender.
type wireSealed struct {
	Known  int64
	Shards []wireSealedShard `json:",omitempty"`
}

// Name returns the name of the section in the exchange.
func (s *SealedWindows) Name() winch.SectionName { return sealedName }

// Report returns the news for the hub, or all that this host knows if the hub knows less.
func (s *SealedWindows) Report(now time.Time) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.message(now, s.hubKnown)
}

// Collect records what a host reports.
func (s *SealedWindows) Collect(now time.Time, from winch.HostID, report []byte) error {
	known, err := s.apply(now, report)
	if err != nil {
		return err
	}
	if from == s.self {
		return nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.known[from] = known
	return nil
}

// Summary returns the news, or all that this host knows if the other one knows less.
func (s *SealedWindows) Summary(now time.Time, to winch.HostID) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.message(now, s.known[to])
}

// Apply records what the hub tells.
func (s *SealedWindows) Apply(now, _ time.Time, hub winch.HostID, summary []byte) error {
	known, err := s.apply(now, summary)
	if err != nil || hub == s.self {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.hubKnown = known
	return nil
}

// Digest returns all that this host knows.
func (s *SealedWindows) Digest(now time.Time, _ winch.DataCentreID) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.message(now, 0)
}

// ApplyDigest records what another data centre tells.
func (s *SealedWindows) ApplyDigest(now, _ time.Time, _ winch.DataCentreID, digest []byte) error {
	_, err := s.apply(now, digest)
	return err
}

// message returns the news for a host that knows as much as known says, or everything if this host knows more.
func (s *SealedWindows) message(now time.Time, known int64) []byte {
	wire := wireSealed{Known: s.sum()}
	for shard, sealed := range s.shards {
		if wire.Known > known || now.Sub(sealed.notedAt) <= sealedNewsFor {
			wire.Shards = append(wire.Shards, wireSealedShard{Shard: int(shard), Window: sealed.start.Unix()})
		}
	}
	return encode(wire)
}

func (s *SealedWindows) apply(now time.Time, message []byte) (known int64, err error) {
	if len(message) == 0 {
		return 0, nil
	}
	wire := wireSealed{}
	if err := json.Unmarshal(message, &wire); err != nil {
		return 0, fmt.Errorf("decode sealed windows: %w: %w", winch.ErrInvalid, err)
	}
	if len(wire.Shards) > maxSealedShards {
		return 0, fmt.Errorf("decode sealed windows: field Shards has more than %d elements: %w", maxSealedShards, winch.ErrInvalid)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, shard := range wire.Shards {
		if shard.Shard < 0 || shard.Window < 0 {
			return 0, fmt.Errorf("decode sealed windows: shard %d, window %d: %w", shard.Shard, shard.Window, winch.ErrInvalid)
		}
		s.note(now, winch.Shard(shard.Shard), time.Unix(shard.Window, 0).UTC())
	}
	return wire.Known, nil
}
