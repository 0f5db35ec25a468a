package caller

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/arbutuswinch/winch"
	"github.com/arbutuswinch/winch/serving/internal/open"
)

// Draining reports whether a stop has begun; the host is then not ready for new connections.
func (s *Server) Draining() bool { return s.drain.Begun() }

// Open returns the number of open requests.
func (s *Server) Open() int64 { return s.open.Count() }

// Drain stops the server gracefully. Requests are still taken during the readiness
// delay, then refused as not run; open ones are finished. What is open when the
// context ends is cut off with an error event and reported as the error.
func (s *Server) Drain(ctx context.Context) error {
	s.options.Logger.Info("stop begun", "Event", EventDrainBegun, "Open", s.open.Count())
	defer s.stopKeyWatch.Do(func() { close(s.stopped) })
	cancelled := s.drain.Run(ctx, s.open, open.Stop{ReadinessDelay: s.options.Limits.ReadinessDelay, Cause: errStopping})
	s.background.Wait()
	if cancelled == 0 {
		s.options.Logger.Info("stop ended", "Event", EventDrainEnded, "Cut", 0)
		return nil
	}
	s.options.Logger.Warn("stop ended", "Event", EventDrainEnded, "Cut", cancelled)
	return fmt.Errorf("drain caller port: %d requests cut off: %w", cancelled, ctx.Err())
}

// watchKeys ends the open requests of keys that are no longer valid.
func (s *Server) watchKeys() {
	recheck := time.NewTimer(0)
	defer recheck.Stop()
	for {
		changed := s.options.Configurations.Changed()
		if s.checkKeys() {
			recheck.Reset(s.options.Limits.LapseDelay / keyChecksPerDelay)
		}
		select {
		case <-changed:
		case <-recheck.C:
		case <-s.stopped:
			return
		}
	}
}

// lapseChecks is how often keys that cannot be confirmed are looked at within the delay.
const keyChecksPerDelay = 5

// checkKeys ends the requests whose key was withdrawn, and those whose key could not
// be confirmed for the delay. It reports whether some still may be confirmed.
func (s *Server) checkKeys() bool {
	if s.options.disabledGuards.keyChecks {
		return false
	}
	now := s.now()
	invalidKeys, pending := map[winch.KeyHash]error{}, false
	for hash := range s.open.Hashes() {
		_, err := s.options.Configurations.Authorize(now, hash)
		switch {
		case s.withinLapseDelay(now, err):
			pending = true
		case errors.Is(err, winch.ErrIsolated):
			invalidKeys[hash] = errIsolated
		case err != nil:
			invalidKeys[hash] = errKeyWithdrawn
		}
	}
	if count := s.open.Cancel(invalidKeys); count > 0 {
		s.options.Logger.Info("requests ended with their keys", "Event", EventKeysEnded, "Keys", len(invalidKeys), "Requests", count)
	}
	return pending
}

// lapsing tells whether err says that the key cannot be confirmed, but not for longer than the delay.
func (s *Server) withinLapseDelay(now time.Time, err error) bool {
	var isolation *winch.Isolation
	return errors.As(err, &isolation) && now.Sub(isolation.Since) < s.options.Limits.LapseDelay
}
