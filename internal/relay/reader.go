package relay

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/arbutuswinch/winch"
	"github.com/arbutuswinch/winch/internal/dependency"
	"github.com/arbutuswinch/winch/internal/periodic"
)

// ReadFunc reads the source and takes over what it has read. The read began at sent, by this host's clock. It must end with an
// error once there was no progress for the limit.
type ReadFunc func(ctx context.Context, sent time.Time, limit time.Duration) error

// Reader reads a source at the pace of a Pacer. It is safe for concurrent use, but Run and Step read one at a time.
type Reader struct {
	clock winch.Clock
	read  ReadFunc
	// log tells when the source fails and recovers, and relayed when what the hub relays gets too old and recovers.
	log, relayed *dependency.Dependency

	mu    sync.Mutex
	pacer *Pacer
}

// errStale means that this host reads the source itself, because what the hub relays is too old.
var errStale = errors.New("relayed reading is too old, so that this host reads itself")

// NewReader returns a reader to which nothing was relayed yet. Log and relayed tell of the source and of what the hub relays.
func NewReader(settings Settings, clock winch.Clock, log, relayed *dependency.Dependency, read ReadFunc) *Reader {
	return &Reader{clock: clock, read: read, log: log, relayed: relayed, pacer: NewPacer(settings)}
}

// Run reads the source until ctx is done: at the interval PollEvery or, while the hub relays readings, as soon as the last
// one is older than MaxAge. It returns nil.
func (r *Reader) Run(ctx context.Context) error {
	// Unlike periodic.Run, RunPaced leaves at least one interval between the starts of two reads, also after a slow one.
	return periodic.RunPaced(ctx, r.untilNextStep, r.Step)
}

func (r *Reader) untilNextStep() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.pacer.Until(r.clock.Now())
}

// Step reads the source once, unless what the hub relayed is recent enough. Run calls it at each interval.
func (r *Reader) Step(ctx context.Context) {
	sent := r.clock.Now()
	r.mu.Lock()
	due, limit := r.pacer.Due(sent), r.pacer.ReadTimeout()
	stale := r.pacer.Stale(sent)
	r.mu.Unlock()
	r.noteRelayed(stale)
	if !due {
		return
	}
	err := r.read(ctx, sent, limit)
	r.log.Note(err)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.pacer.ReadDone(err)
	if err == nil {
		r.pacer.OwnReading(sent)
	}
}

func (r *Reader) noteRelayed(stale bool) {
	if stale {
		r.relayed.Note(errStale)
		return
	}
	r.relayed.Note(nil)
}

// Received records that the hub relayed a reading that was made at the given time.
func (r *Reader) Received(hub winch.HostID, readAt time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.pacer.Received(hub, readAt)
}
