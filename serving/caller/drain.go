package caller

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/arbutuswinch/winch"
	"github.com/arbutuswinch/winch/serving/internal/inflight"
)

// Draining reports whether a shutdown has begun. The host should then fail its readiness
// check.
func (s *Server) Draining() bool { return s.drain.Begun() }

// Open returns the number of requests in progress.
func (s *Server) Open() int64 { return s.open.Count() }

// Drain shuts the server down gracefully. New requests are accepted during the readiness
// delay and refused as not run after it; requests in progress are finished. Requests that
// are still in progress when ctx ends are cancelled with an error response or event, and
// Drain returns an error with their number. Before it returns, Drain waits for updates of
// claims in the background, which may take claimTimeout longer.
func (s *Server) Drain(ctx context.Context) error {
	s.options.Logger.Info("graceful shutdown started", "Event", EventDrainBegun, "Open", s.open.Count())
	defer s.closeStopped.Do(func() { close(s.stopped) })
	cancelled := s.drain.Run(ctx, s.open, inflight.DrainOptions{ReadinessDelay: s.options.Limits.ReadinessDelay, Cause: errStopping})
	s.background.Wait()
	if cancelled == 0 {
		s.options.Logger.Info("graceful shutdown ended", "Event", EventDrainEnded, "Cut", 0)
		return nil
	}
	s.options.Logger.Warn("graceful shutdown ended, requests were cancelled", "Event", EventDrainEnded, "Cut", cancelled)
	return fmt.Errorf("drain caller server: %d requests cancelled: %w", cancelled, ctx.Err())
}

// watchKeys cancels requests in progress whose API key is no longer valid. It checks at
// every change of the configuration, and repeatedly while a key cannot be verified.
func (s *Server) watchKeys() {
	recheck := time.NewTimer(0)
	defer recheck.Stop()
	for {
		changed := s.options.Configurations.Changed()
		if s.checkKeys() {
			recheck.Reset(s.options.Limits.UnverifiedKeyGrace / keyChecksPerGrace)
		}
		select {
		case <-changed:
		case <-recheck.C:
		case <-s.stopped:
			return
		}
	}
}

// keyChecksPerGrace is how often keys that cannot be verified are checked within UnverifiedKeyGrace.
const keyChecksPerGrace = 5

// checkKeys cancels the requests whose key was withdrawn, and those whose key could not be
// verified for UnverifiedKeyGrace. It returns true if there are keys that cannot be verified but are
// still within UnverifiedKeyGrace.
func (s *Server) checkKeys() bool {
	if s.options.guardSwitches.noKeyChecks {
		return false
	}
	now := s.now()
	invalidKeys, pending := map[winch.KeyHash]error{}, false
	for hash := range s.open.KeyHashes() {
		_, err := s.options.Configurations.Authorize(now, hash)
		switch {
		case s.withinUnverifiedKeyGrace(now, err):
			pending = true
		case errors.Is(err, winch.ErrIsolated):
			invalidKeys[hash] = errIsolated
		case err != nil:
			invalidKeys[hash] = errKeyWithdrawn
		}
	}
	if count := s.open.Cancel(invalidKeys); count > 0 {
		s.options.Logger.Info("requests cancelled, API keys withdrawn or not verifiable", "Event", EventInvalidKeysCancelled, "Keys", len(invalidKeys), "Requests", count)
	}
	return pending
}

// withinUnverifiedKeyGrace reports whether err is an isolation that began less than UnverifiedKeyGrace ago.
func (s *Server) withinUnverifiedKeyGrace(now time.Time, err error) bool {
	var isolation *winch.IsolationError
	return errors.As(err, &isolation) && now.Sub(isolation.Since) < s.options.Limits.UnverifiedKeyGrace
}
