// Package fenced sends calls that only the process in charge of a duty may
// complete, to receivers that check fencing numbers and to those that do not.
//
// The last bytes of the request, without which its JSON is incomplete, are held
// back until everything else was acknowledged by the receiver's machine. Then
// the clock is checked, not a timer's firing, and only within the term are they
// written, at once after the check on the same thread. A process that is stopped
// anywhere before the check and wakes after its term leaves an incomplete request,
// which it aborts. Between the check and the write a kernel timer stands ready to
// kill the process at the end of the term, stopped or not. Bytes that were
// written but could not be delivered are dropped by the kernel half a second later
// (TCP_USER_TIMEOUT), and the connection is closed without lingering.
//
// What remains: a call whose last bytes left within the term is still in the
// network or in the receiver after it. The successor's wait has to cover that:
// half a second of retransmission, the way, and the receiver's own delay. And a whole
// machine that is paused between check and write may run the write before its
// timer interrupt when it goes on.
//
// # Usage
//
//	sender, err := fenced.New(fenced.Options{Clock: clock})
//	if err != nil {
//		return err
//	}
//	term, held := holder.Term(clock.Now())
//	answer, err := sender.Send(ctx, holder, winch.FencedCall{Address: address, Path: path, Body: body, Number: term.Number})
//
// ErrNotInCharge and ErrUnavailable say that the receiver did not get the whole call.
package fenced

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/arbutuswinch/winch"
	"github.com/arbutuswinch/winch/httpjson"
)

const (
	defaultMargin  = 250 * time.Millisecond
	defaultTimeout = 2 * time.Second
	// withheldBytes is the number of bytes that are written last.
	withheldBytes = 32
)

// Options are the settings of a sender. The zero value of a duration stands for its default.
type Options struct {
	Clock winch.Clock
	// Margin is the time before the end of the term from which on no last bytes are
	// written. The default is 250 ms.
	Margin time.Duration
	// Timeout bounds a call, answer included. The default is 2 s.
	Timeout time.Duration
	// NoWatchdog leaves out the kernel timer that kills the process when it is
	// stopped between the last check and the last write until its term is over.
	NoWatchdog bool

	disabled disabledGuards
	onStage  func(stage)
}

// disabledGuards takes out single guards, to show that tests notice it.
type disabledGuards struct {
	// timers sets no timeouts, which after a stop may fire early enough or not.
	timers bool
	// hold writes the whole request at once.
	hold bool
	// check writes the last bytes without looking at the clock.
	check bool
	// drain does not wait for the receiver before the last bytes.
	drain bool
	// abort lets the kernel go on delivering after the term.
	abort bool
}

// stage is a point of a send, at which tests stop the process.
type stage int

const (
	stageStarted stage = iota + 1
	stageConnected
	stageHalfWritten
	stageHeadWritten
	stageDrained
	stageChecked
	stageTailWritten
)

// Sender implements winch.FencedSender. It is safe for concurrent use.
type Sender struct{ options Options }

var _ winch.FencedSender = (*Sender)(nil)

// New returns a sender.
func New(options Options) (*Sender, error) {
	if options.Clock == nil {
		return nil, fmt.Errorf("sender option Clock is missing: %w", winch.ErrInvalid)
	}
	if options.Margin == 0 {
		options.Margin = defaultMargin
	}
	if options.Timeout == 0 {
		options.Timeout = defaultTimeout
	}
	if options.onStage == nil {
		options.onStage = func(stage) {}
	}
	return &Sender{options: options}, nil
}

// Send posts the call within the guard's term and returns the body of the answer.
func (s *Sender) Send(ctx context.Context, guard winch.TermGuard, call winch.FencedCall) ([]byte, error) {
	now := s.options.Clock.Now()
	term, done, err := guard.Begin(now)
	if err != nil {
		return nil, fmt.Errorf("send to %s: %w", call.Path, err)
	}
	defer done()
	writeDeadline := term.ValidUntil.Add(-s.options.Margin)
	if term.Number != call.Number || !now.Before(writeDeadline) {
		return nil, fmt.Errorf("send to %s in term %d: %w", call.Path, call.Number, winch.ErrNotInCharge)
	}
	s.options.onStage(stageStarted)
	client, err := httpjson.NewClient(httpjson.Options{
		Address:   call.Address,
		Header:    call.Header,
		Timeout:   min(s.options.Timeout, writeDeadline.Sub(now)),
		Transport: &transport{options: s.options, guard: guard, number: call.Number, writeDeadline: writeDeadline, killAt: term.ValidUntil},
	})
	if err != nil {
		return nil, fmt.Errorf("send to %s: %w", call.Path, err)
	}
	answer := json.RawMessage{}
	out := any(&answer)
	if call.StatusOnly {
		out = nil
	}
	if err := client.Call(ctx, call.Path, json.RawMessage(call.Body), out); err != nil {
		return nil, fmt.Errorf("send in term %d: %w", call.Number, err)
	}
	return answer, nil
}
