// Package fenced sends calls that only the lease holder of a duty may
// complete, to receivers that check fencing numbers and to those that do not.
//
// The last bytes of the request, without which its JSON is incomplete, are withheld
// until the receiver's machine has acknowledged all other bytes. Then the sender reads
// the clock, rather than relying on a timer, and writes the last bytes only within the
// term, directly after that check and without waiting in between. A process that is stopped
// anywhere before the check and continues after its term has sent an incomplete
// request, which it aborts. Between the check and the write, a kernel timer is armed
// that kills the process at the end of the term, even if it is stopped. Bytes that
// were written but not acknowledged are dropped by the kernel after half a second
// (TCP_USER_TIMEOUT), and the connection is closed without lingering.
//
// Two risks remain. A call whose last bytes were written within the term can still be
// in the network or in the receiver after it. The successor must wait for the sum of
// half a second of retransmission, the network delay and the receiver's own delay.
// And when a whole machine is paused between the check and the write, the write may
// run before the timer interrupt when the machine continues.
//
// # Usage
//
//	sender, err := fenced.New(fenced.Options{Clock: clock})
//	if err != nil {
//		return err
//	}
//	term, held := holder.Term(clock.Now())
//	response, err := sender.Send(ctx, holder, winch.FencedCall{Address: address, Path: path, Body: body, Number: term.Number})
//
// ErrNotLeaseHolder and ErrUnavailable mean that the receiver did not receive the whole call.
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
	// withheldBytes is the number of bytes that are withheld until the last check.
	withheldBytes = 32
)

// Options are the dependencies and settings of a sender. A duration that is zero has its default value.
type Options struct {
	Clock winch.Clock
	// Margin is how long before the end of the term the sender stops writing last bytes.
	// The default is 250 ms.
	Margin time.Duration
	// Timeout limits the duration of a call, including the response. The default is 2 s.
	Timeout time.Duration
	// NoWatchdog disables the kernel timer that kills the process if it is still between
	// the last check and the last write when its term ends.
	NoWatchdog bool

	disabled disabledGuards
	onStage  func(stage)
}

// disabledGuards disables single guards, so that tests can show that each one is needed.
type disabledGuards struct {
	// timeouts disables the timeouts. After a stop of the process it depends on chance
	// whether a timeout fires in time.
	timeouts bool
	// withhold disables the withholding of the last bytes.
	withhold bool
	// check disables the check of the clock before the last bytes, and with it the watchdog.
	check bool
	// ackWait disables the wait for the receiver's acknowledgement before the last bytes.
	ackWait bool
	// ackTimeout disables TCP_USER_TIMEOUT, so that the kernel continues to deliver after the term.
	ackTimeout bool
}

// stage is a point in the course of a send at which tests stop the process.
type stage int

const (
	stageStarted stage = iota + 1
	stageConnected
	stageHalfWritten
	stageHeadWritten
	// stageAcknowledged: the receiver's machine has acknowledged the head.
	stageAcknowledged
	stageChecked
	// stageTailWritten is also reached when the check failed and nothing was written.
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

// Send sends the call as a POST request within the guard's term, and returns the body of
// the response.
func (s *Sender) Send(ctx context.Context, guard winch.LeaseGuard, call winch.FencedCall) ([]byte, error) {
	now := s.options.Clock.Now()
	term, done, err := guard.Begin(now)
	if err != nil {
		return nil, fmt.Errorf("send to %s: %w", call.Path, err)
	}
	defer done()
	writeDeadline := term.ValidUntil.Add(-s.options.Margin)
	if term.Number != call.Number || !now.Before(writeDeadline) {
		return nil, fmt.Errorf("send to %s in term %d: %w", call.Path, call.Number, winch.ErrNotLeaseHolder)
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
	response := json.RawMessage{}
	out := any(&response)
	if call.StatusOnly {
		// The client then expects no body.
		out = nil
	}
	if err := client.Call(ctx, call.Path, json.RawMessage(call.Body), out); err != nil {
		return nil, fmt.Errorf("send in term %d: %w", call.Number, err)
	}
	return response, nil
}
