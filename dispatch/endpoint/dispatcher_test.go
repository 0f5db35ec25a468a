package endpoint

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/arbutuswinch/winch"
)

type fixedConfigurations struct{ configuration *winch.Configuration }

func (f fixedConfigurations) Current() *winch.Configuration { return f.configuration }
func (f fixedConfigurations) Authorize(time.Time, winch.KeyHash) (winch.Key, error) {
	return winch.Key{}, winch.ErrUnauthorized
}
func (f fixedConfigurations) Authority(time.Time) winch.Authority { return winch.AuthorityFull }
func (f fixedConfigurations) Changed() <-chan struct{}            { return nil }

type systemClock struct{}

func (systemClock) Now() time.Time { return time.Now() }

// Class interactive has the highest tier and short targets, class background the lowest tier and long targets.
const (
	chat        winch.ModelID = "chat"
	interactive winch.ClassID = "interactive"
	background  winch.ClassID = "background"
)

// twoClasses returns a configuration with the classes interactive and background and engines that serve both.
func twoClasses(endpoints, slots int) *winch.Configuration {
	c := &winch.Configuration{
		Revision: 1,
		Classes: map[winch.ClassID]winch.Class{
			interactive: {ID: interactive, Tier: 1, FirstTokenTarget: 1300 * time.Millisecond, InterTokenTarget: 77 * time.Millisecond, MaxWait: 3 * time.Second, QueueLimit: 100},
			background:  {ID: background, Tier: 3, FirstTokenTarget: 20 * time.Second, MaxWait: 60 * time.Second, QueueLimit: 100, Floor: 0.1},
		},
		Endpoints: map[winch.EndpointID]winch.Endpoint{},
	}
	for i := range endpoints {
		id := winch.EndpointID(fmt.Sprintf("engine-%03d", i))
		c.Endpoints[id] = winch.Endpoint{ID: id, DataCentre: "a", Kind: winch.EndpointEngine, Models: []winch.ModelID{chat}, SlotLimit: slots}
	}
	return c
}

func newDispatcher(t *testing.T, c *winch.Configuration, logger hclog.Logger) *Dispatcher {
	t.Helper()
	d, err := New(Options{Configurations: fixedConfigurations{c}, Clock: systemClock{}, Logger: logger, Seed: 1})
	assert.NilError(t, err)
	return d
}

func workOf(class winch.ClassID, id int) winch.Work {
	return winch.Work{Request: winch.RequestID(fmt.Sprintf("r%d", id)), Organisation: "depot", Class: class, Model: chat, InputTokens: 10}
}

func mustAcquire(t *testing.T, d *Dispatcher, work winch.Work) winch.Slot {
	t.Helper()
	slot, err := d.Acquire(context.Background(), time.Now(), work)
	assert.NilError(t, err)
	return slot
}

// waitQueued waits until the class has the wanted number of queued requests.
func waitQueued(t *testing.T, d *Dispatcher, class winch.ClassID, want int) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		for _, status := range d.Queues(time.Now()) {
			if status.Class == class && status.Queued == want {
				return poll.Success()
			}
		}
		return poll.Continue("queue of %s is not %d", class, want)
	}, poll.WithDelay(time.Millisecond))
}

func TestDispatcherAcquire(t *testing.T) {
	t.Run("grants a slot of an endpoint", func(t *testing.T) {
		d := newDispatcher(t, twoClasses(1, 1), nil)
		slot := mustAcquire(t, d, workOf(interactive, 1))
		assert.Equal(t, slot.Endpoint().ID, winch.EndpointID("engine-000"))
		slot.Release(time.Now(), winch.OutcomeDone)
		slot.Release(time.Now(), winch.OutcomeDone)
		mustAcquire(t, d, workOf(interactive, 2)).Release(time.Now(), winch.OutcomeDone)
	})
	t.Run("refuses a model that no endpoint serves", func(t *testing.T) {
		d := newDispatcher(t, twoClasses(0, 1), nil)
		_, err := d.Acquire(context.Background(), time.Now(), workOf(interactive, 1))
		assertRefused(t, err, winch.RefusedNoEndpoint)
	})
	t.Run("removes a disconnected caller from the queue", func(t *testing.T) {
		d := newDispatcher(t, twoClasses(1, 1), nil)
		mustAcquire(t, d, workOf(interactive, 1))
		ctx, cancel := context.WithCancel(context.Background())
		result := make(chan error, 1)
		go func() {
			_, err := d.Acquire(ctx, time.Now(), workOf(interactive, 2))
			result <- err
		}()
		waitQueued(t, d, interactive, 1)
		cancel()
		assert.ErrorIs(t, <-result, context.Canceled)
		waitQueued(t, d, interactive, 0)
	})
	t.Run("preempts a lower-tier stream for a higher tier", func(t *testing.T) {
		d := newDispatcher(t, twoClasses(1, 1), nil)
		low := mustAcquire(t, d, workOf(background, 1))
		granted := make(chan winch.Slot, 1)
		go func() { granted <- mustAcquire(t, d, workOf(interactive, 2)) }()
		waitQueued(t, d, interactive, 1)
		poll.WaitOn(t, func(poll.LogT) poll.Result {
			now := time.Now()
			d.runStep(func() { d.core.tick(now) })
			select {
			case <-low.Preempted():
				return poll.Success()
			default:
				return poll.Continue("not preempted")
			}
		}, poll.WithDelay(10*time.Millisecond))
		low.Release(time.Now(), winch.OutcomeCancelled)
		(<-granted).Release(time.Now(), winch.OutcomeDone)
	})
}

func assertRefused(t *testing.T, err error, reason winch.RefusalReason) {
	t.Helper()
	assert.Assert(t, errors.Is(err, winch.ErrRefused), "%v", err)
	refusal := &winch.Refusal{}
	assert.Assert(t, errors.As(err, &refusal))
	assert.Equal(t, refusal.Reason, reason)
	assert.Assert(t, refusal.RetryAfter > 0)
}

func TestDispatcherLogs(t *testing.T) {
	buffer := &bytes.Buffer{}
	d := newDispatcher(t, twoClasses(1, 1), hclog.New(&hclog.LoggerOptions{Output: buffer, JSONFormat: true}))
	mustAcquire(t, d, workOf(interactive, 7)).Release(time.Now(), winch.OutcomeDone)
	for _, want := range []string{`"Event":3001`, `"Event":3006`, `"Request":"r7"`, `"Group":"model/chat"`} {
		t.Run(want, func(t *testing.T) { assert.Assert(t, strings.Contains(buffer.String(), want), buffer.String()) })
	}
}
