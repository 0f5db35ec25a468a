package process

import (
	"context"
	"os"
	"os/signal"
	"sync"
	"syscall"
	"time"

	"github.com/go-kratos/kratos/v2"
)

// startLimit is the time after a termination signal within which a start that hangs ends.
const startLimit = time.Second

// Stops are the termination signals of the process. Application.Run takes them over.
type Stops struct {
	signals chan os.Signal
	running chan struct{}
	once    sync.Once
}

// ListenForStops listens for termination signals from now on. A program calls it before anything else, so that a signal during its
// start ends it as one during Run does: with status 0, by Run if the start gets so far within a second, or else at once.
func ListenForStops() *Stops {
	s := &Stops{signals: make(chan os.Signal, 1), running: make(chan struct{})}
	signal.Notify(s.signals, syscall.SIGTERM, syscall.SIGINT)
	go s.endStart()
	return s
}

// endStart ends the process if its start hangs after a signal.
func (s *Stops) endStart() {
	select {
	case <-s.running:
		return
	case received := <-s.signals:
		s.putBack(received)
	}
	select {
	case <-s.running:
	case <-time.After(startLimit):
		os.Exit(0)
	}
}

// putBack drops the signal if another one has arrived, which serves as well.
func (s *Stops) putBack(received os.Signal) {
	select {
	case s.signals <- received:
	default:
	}
}

// takeOver says that Run has begun. It reports whether a signal has arrived before.
func (s *Stops) takeOver() bool {
	s.once.Do(func() { close(s.running) })
	select {
	case <-s.signals:
		return true
	default:
		return false
	}
}

// stopAtSignal stops the application at a signal that arrived before the library listened. Both may stop it at the same signal.
func (s *Stops) stopAtSignal(ctx context.Context, app *kratos.App) {
	select {
	case <-ctx.Done():
	case <-s.signals:
		_ = app.Stop()
	}
}
