package fenced

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/arbutuswinch/winch"
	"github.com/arbutuswinch/winch/httpjson"
)

// fakeClock is a clock that only changes when a test moves it.
type fakeClock struct{ offset atomic.Int64 }

func (c *fakeClock) Now() time.Time {
	return time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC).Add(time.Duration(c.offset.Load()))
}

func (c *fakeClock) move(by time.Duration) { c.offset.Add(int64(by)) }

// fakeGuard has a fixed term, which it returns until ValidUntil.
type fakeGuard struct{ term winch.Term }

func (g *fakeGuard) Term(now time.Time) (winch.Term, bool) {
	return g.term, now.Before(g.term.ValidUntil)
}

func (g *fakeGuard) Begin(now time.Time) (winch.Term, func(), error) {
	if !now.Before(g.term.ValidUntil) {
		return winch.Term{}, nil, winch.ErrNotLeaseHolder
	}
	return g.term, func() {}, nil
}

type fixture struct {
	clock    *fakeClock
	guard    *fakeGuard
	received atomic.Int64
	call     winch.FencedCall
}

// newFixture starts a receiver that answers every call with the status and counts the
// complete ones.
func newFixture(t *testing.T, status int) *fixture {
	t.Helper()
	f := &fixture{clock: &fakeClock{}}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		order := struct{ OrderID string }{}
		if httpjson.Decode(w, r, 1<<20, &order) == nil {
			f.received.Add(1)
		}
		httpjson.Write(w, status, struct{ Code string }{"answer"})
	}))
	t.Cleanup(server.Close)
	f.guard = &fakeGuard{term: winch.Term{Number: 7, ValidUntil: f.clock.Now().Add(5 * time.Second)}}
	f.call = winch.FencedCall{
		Address: strings.TrimPrefix(server.URL, "http://"), Path: "/orders", Number: 7,
		Body: []byte(`{"OrderID":"order-1"}`),
	}
	return f
}

// send sends the call, and moves the clock past the end of the term at the given stage.
func (f *fixture) send(t *testing.T, expireAt stage, disabled disabledGuards) error {
	t.Helper()
	sender, err := New(Options{Clock: f.clock, disabled: disabled, onStage: func(s stage) {
		if s == expireAt {
			f.clock.move(10 * time.Second)
		}
	}})
	assert.NilError(t, err)
	_, err = sender.Send(t.Context(), f.guard, f.call)
	return err
}

func TestSender(t *testing.T) {
	t.Run("sends within the term", func(t *testing.T) {
		f := newFixture(t, http.StatusOK)
		assert.NilError(t, f.send(t, 0, disabledGuards{}))
		assert.Equal(t, f.received.Load(), int64(1))
	})
	t.Run("rejects a call of another term", func(t *testing.T) {
		f := newFixture(t, http.StatusOK)
		f.call.Number = 6
		assert.Assert(t, errors.Is(f.send(t, 0, disabledGuards{}), winch.ErrNotLeaseHolder))
	})
	t.Run("returns ErrFenced when the receiver has seen a higher number", func(t *testing.T) {
		f := newFixture(t, http.StatusPreconditionFailed)
		assert.Assert(t, errors.Is(f.send(t, 0, disabledGuards{}), winch.ErrFenced))
	})
	t.Run("a call without a listening receiver was not received", func(t *testing.T) {
		f := newFixture(t, http.StatusOK)
		f.call.Address = "127.0.0.1:1"
		assert.Assert(t, errors.Is(f.send(t, 0, disabledGuards{}), winch.ErrUnavailable))
	})
	t.Run("a call that is cancelled early was not received", func(t *testing.T) {
		f := newFixture(t, http.StatusOK)
		ctx, cancel := context.WithCancel(t.Context())
		sender, err := New(Options{Clock: f.clock, onStage: func(s stage) {
			if s == stageConnected {
				cancel()
			}
		}})
		assert.NilError(t, err)
		_, err = sender.Send(ctx, f.guard, f.call)
		assert.Assert(t, errors.Is(err, winch.ErrUnavailable), "%v", err)
		assert.Equal(t, f.received.Load(), int64(0))
	})
}

func TestNoCallIsCompletedAfterTheTerm(t *testing.T) {
	for expireAt := stageStarted; expireAt <= stageAcknowledged; expireAt++ {
		t.Run(stageName(expireAt), func(t *testing.T) {
			f := newFixture(t, http.StatusOK)
			err := f.send(t, expireAt, disabledGuards{})
			assert.Assert(t, errors.Is(err, winch.ErrNotLeaseHolder), "%v", err)
			assert.Assert(t, errors.Is(err, winch.ErrUnavailable))
			assert.Equal(t, f.received.Load(), int64(0))
		})
	}
}

// stageName returns the name of the subtest for the stage. Some names differ from those of
// the constants.
func stageName(s stage) string {
	return map[stage]string{
		stageStarted: "begun", stageConnected: "connected", stageHalfWritten: "half written", stageHeadWritten: "held",
		stageAcknowledged: "drained", stageChecked: "checked", stageTailWritten: "sent",
	}[s]
}
