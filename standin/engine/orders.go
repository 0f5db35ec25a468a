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
	// weightStoreWait is how long the response to an order waits for an error of the weight
	// store. A later error is only logged.
	weightStoreWait = 250 * time.Millisecond
	fetchTimeout    = 5 * time.Minute
)

// orders holds the highest fencing number received and the ids of the orders applied.
type orders struct {
	highestNumber int64
	applied       map[string]bool
}

func (e *Engine) order(w http.ResponseWriter, r *http.Request) {
	e.count("order")
	request := orderRequest{}
	if !wire.Decode(w, r, wire.SmallBody, &request) {
		return
	}
	e.options.Logger.Info("engine order received", "Engine", e.options.ID, "Order", request.OrderID,
		"FencingNumber", request.FencingNumber, "At", time.Now())
	highestNumber, repeated, fenced := e.checkFencing(request)
	if fenced {
		e.count("fenced")
		wire.Write(w, http.StatusPreconditionFailed, fencedResponse{Code: "fenced", Message: "the fencing number is old", Highest: highestNumber})
		return
	}
	// Every early failure of the weight store is reported like its rate limit.
	if !repeated && !e.applyOrder(request) {
		e.count("weights_limited")
		wire.WriteRetry(w, http.StatusTooManyRequests, "weights_limited", time.Second)
		return
	}
	wire.Write(w, http.StatusOK, orderResponse{OrderID: request.OrderID})
}

// checkFencing records the fencing number, and reports whether it is old and whether the order was
// already applied. Only an engine that checks fencing numbers reports old ones.
func (e *Engine) checkFencing(request orderRequest) (highestNumber int64, repeated, fenced bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.options.ChecksFencing && request.FencingNumber < e.orders.highestNumber {
		return e.orders.highestNumber, false, true
	}
	e.orders.highestNumber = max(e.orders.highestNumber, request.FencingNumber)
	return e.orders.highestNumber, e.orders.applied[request.OrderID], false
}

// applyOrder fetches the weights that are missing, and then sets the role and replaces the loaded
// models by those of the order, if it names any. It returns false when the weight store fails within
// weightStoreWait. After a later failure the order is not applied, and the caller does not learn that.
func (e *Engine) applyOrder(request orderRequest) bool {
	missing := e.missing(request.Load)
	if len(missing) == 0 || e.options.WeightStore == "" {
		e.recordApplied(request)
		return true
	}
	result := make(chan bool, 1)
	e.setFetching(true)
	go func() {
		err := e.fetchWeights(missing)
		if err != nil {
			e.options.Logger.Info("order not applied: fetching weights failed", "Engine", e.options.ID, "Order", request.OrderID, "Error", err)
		} else {
			e.recordApplied(request)
		}
		e.setFetching(false)
		result <- err != nil
	}()
	select {
	case failed := <-result:
		return !failed
	case <-time.After(weightStoreWait):
		return true
	}
}

func (e *Engine) setFetching(fetching bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.fetching = fetching
}

func (e *Engine) missing(wanted []Weights) []Weights {
	e.mu.Lock()
	defer e.mu.Unlock()
	loaded := map[Weights]bool{}
	for _, weights := range e.models {
		loaded[weights] = true
	}
	missing := []Weights{}
	for _, weights := range wanted {
		if !loaded[weights] {
			missing = append(missing, weights)
		}
	}
	return missing
}

func (e *Engine) recordApplied(request orderRequest) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.orders.applied[request.OrderID] = true
	e.role = request.Role
	if len(request.Load) > 0 {
		e.models = request.Load
	}
}

func (e *Engine) fetchWeights(missing []Weights) error {
	ctx, cancel := context.WithTimeout(context.Background(), fetchTimeout)
	defer cancel()
	for _, weights := range missing {
		body, err := json.Marshal(weights)
		if err != nil {
			return fmt.Errorf("encode weights request: %w", err)
		}
		request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+e.options.WeightStore+"/v1/weights", bytes.NewReader(body))
		if err != nil {
			return fmt.Errorf("build weights request: %w", err)
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
