package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"github.com/arbutuswinch/winch/standin/wire"
)

const (
	// loadAnswerWait is how long the response to an order waits for an error of the weight
	// store. A later error is only logged.
	loadAnswerWait = 250 * time.Millisecond
	loadTimeout    = 5 * time.Minute
)

// orders holds the highest fencing number received and the ids of the orders applied.
type orders struct {
	highest  int64
	answered map[string]bool
}

func (e *Engine) order(w http.ResponseWriter, r *http.Request) {
	e.count("order")
	call := orderCall{}
	if !wire.Decode(w, r, wire.SmallBody, &call) {
		return
	}
	e.options.Logger.Info("engine order received", "Engine", e.options.ID, "Order", call.OrderID,
		"FencingNumber", call.FencingNumber, "At", time.Now())
	highest, repeated, fenced := e.accept(call)
	if fenced {
		e.count("fenced")
		wire.Write(w, http.StatusPreconditionFailed, fencedAnswer{Code: "fenced", Message: "the fencing number is old", Highest: highest})
		return
	}
	if !repeated && !e.change(call) {
		e.count("weights_limited")
		wire.WriteRetry(w, http.StatusTooManyRequests, "weights_limited", time.Second)
		return
	}
	wire.Write(w, http.StatusOK, orderAnswer{OrderID: call.OrderID})
}

// accept checks the fencing number and reports whether the order was already applied.
func (e *Engine) accept(call orderCall) (highest int64, repeated, fenced bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.options.ChecksFencing && call.FencingNumber < e.orders.highest {
		return e.orders.highest, false, true
	}
	e.orders.highest = max(e.orders.highest, call.FencingNumber)
	return e.orders.highest, e.orders.answered[call.OrderID], false
}

// change loads the weights that are missing. It returns false when the weight store
// fails within loadAnswerWait.
func (e *Engine) change(call orderCall) bool {
	missing := e.missing(call.Load)
	if len(missing) == 0 || e.options.WeightStore == "" {
		e.adopt(call)
		return true
	}
	refused := make(chan bool, 1)
	e.setLoading(true)
	go func() {
		err := e.fetch(missing)
		if err != nil {
			e.options.Logger.Info("weights not loaded", "Engine", e.options.ID, "Order", call.OrderID, "Error", err)
		} else {
			e.adopt(call)
		}
		e.setLoading(false)
		refused <- err != nil
	}()
	select {
	case no := <-refused:
		return !no
	case <-time.After(loadAnswerWait):
		return true
	}
}

func (e *Engine) setLoading(loading bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.loading = loading
}

func (e *Engine) missing(wanted []Weights) []Weights {
	e.mu.Lock()
	defer e.mu.Unlock()
	held := map[Weights]bool{}
	for _, weights := range e.loaded {
		held[weights] = true
	}
	missing := []Weights{}
	for _, weights := range wanted {
		if !held[weights] {
			missing = append(missing, weights)
		}
	}
	return missing
}

func (e *Engine) adopt(call orderCall) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.orders.answered[call.OrderID] = true
	e.role = call.Role
	if len(call.Load) > 0 {
		e.loaded = call.Load
	}
}

func (e *Engine) fetch(missing []Weights) error {
	ctx, cancel := context.WithTimeout(context.Background(), loadTimeout)
	defer cancel()
	for _, weights := range missing {
		body, err := json.Marshal(weights)
		if err != nil {
			return fmt.Errorf("encode weights call: %w", err)
		}
		request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+e.options.WeightStore+"/v1/weights", bytes.NewReader(body))
		if err != nil {
			return fmt.Errorf("build weights call: %w", err)
		}
		response, err := http.DefaultClient.Do(request)
		if err != nil {
			return fmt.Errorf("call weight store: %w", err)
		}
		_ = response.Body.Close()
		if response.StatusCode != http.StatusOK {
			return fmt.Errorf("call weight store: status %d", response.StatusCode)
		}
	}
	return nil
}
