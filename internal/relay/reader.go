package relay

import (
	"context"
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
	// log tells when the source fails and recovers.
	log *dependency.Dependency

	mu    sync.Mutex
	pacer *Pacer
}

// NewReader returns a reader to which nothing was relayed yet.
func NewReader(settings Settings, clock winch.Clock, log *dependency.Dependency, read ReadFunc) *Reader {
	return &Reader{clock: clock, read: read, log: log, pacer: NewPacer(settings)}
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
	r.mu.Unlock()
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

// Received records that the hub relayed a reading that was made at the given time.
func (r *Reader) Received(hub winch.HostID, readAt time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.pacer.Received(hub, readAt)
}
