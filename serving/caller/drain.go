package caller

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/arbutuswinch/winch"
)

// drain is the state of a stop.
type drain struct {
	leaving  atomic.Bool
	refusing atomic.Bool
	stopped  chan struct{}
	once     *sync.Once
}

func newDrain() drain { return drain{stopped: make(chan struct{}), once: &sync.Once{}} }

func (d *drain) begun() bool   { return d.leaving.Load() }
func (d *drain) refuses() bool { return d.refusing.Load() }

// Draining reports whether a stop has begun; the host is then not ready for new connections.
func (s *Server) Draining() bool { return s.drain.begun() }

// Open returns the number of open requests.
func (s *Server) Open() int64 { return s.open.count() }

// Drain stops the server gracefully. Requests are still taken during the readiness
// delay, then refused as not run; open ones are finished. What is open when the
// context ends is cut off with an error event and reported as the error.
func (s *Server) Drain(ctx context.Context) error {
	s.drain.leaving.Store(true)
	s.options.Logger.Info("stop begun", "Event", EventDrainBegun, "Open", s.open.count())
	delay := time.NewTimer(s.options.Limits.ReadinessDelay)
	defer delay.Stop()
	select {
	case <-delay.C:
	case <-ctx.Done():
	}
	s.drain.refusing.Store(true)
	defer s.drain.once.Do(func() { close(s.drain.stopped) })
	select {
	case <-s.open.empty():
		s.background.Wait()
		s.options.Logger.Info("stop ended", "Event", EventDrainEnded, "Cut", 0)
		return nil
	case <-ctx.Done():
	}
	cut := s.open.cancelAll(errStopping)
	<-s.open.empty()
	s.background.Wait()
	s.options.Logger.Warn("stop ended", "Event", EventDrainEnded, "Cut", cut)
	if cut == 0 {
		return nil
	}
	return fmt.Errorf("drain caller port: %d requests cut off: %w", cut, ctx.Err())
}

// watchKeys ends the open requests of keys that are no longer valid.
func (s *Server) watchKeys() {
	recheck := time.NewTimer(0)
	defer recheck.Stop()
	for {
		changed := s.options.Configurations.Changed()
		if s.checkKeys() {
			recheck.Reset(s.options.Limits.LapseDelay / lapseChecks)
		}
		select {
		case <-changed:
		case <-recheck.C:
		case <-s.drain.stopped:
			return
		}
	}
}

// lapseChecks is how often keys that cannot be confirmed are looked at within the delay.
const lapseChecks = 5

// checkKeys ends the requests whose key was withdrawn, and those whose key could not
// be confirmed for the delay. It reports whether some still may be confirmed.
func (s *Server) checkKeys() bool {
	if s.options.unguarded.keys {
		return false
	}
	now := s.now()
	invalidKeys, pending := map[winch.KeyHash]error{}, false
	for hash := range s.open.hashes() {
		_, err := s.options.Configurations.Authorize(now, hash)
		switch {
		case s.lapsing(now, err):
			pending = true
		case errors.Is(err, winch.ErrIsolated):
			invalidKeys[hash] = errIsolated
		case err != nil:
			invalidKeys[hash] = errKeyWithdrawn
		}
	}
	if count := s.open.cancel(invalidKeys); count > 0 {
		s.options.Logger.Info("requests ended with their keys", "Event", EventKeysEnded, "Keys", len(invalidKeys), "Requests", count)
	}
	return pending
}

// lapsing tells whether err says that the key cannot be confirmed, but not for longer than the delay.
func (s *Server) lapsing(now time.Time, err error) bool {
	var isolation *winch.Isolation
	return errors.As(err, &isolation) && now.Sub(isolation.Since) < s.options.Limits.LapseDelay
}
