package faults

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

const (
	callerPause     = 60 * time.Millisecond
	maxStreamTokens = 30
	maxRecentKeys   = 40
)

// simulatedCaller makes one kind of call at one host until the run is done: streamed completions,
// confirmations, or completions with keys that operators added.
type simulatedCaller struct {
	*combinedRun
	host   *host
	random *rand.Rand
	count  int
}

// startCallers starts the callers of all hosts in the group.
func (r *combinedRun) startCallers(seed uint64, group *sync.WaitGroup) {
	recent := &recentKeys{}
	for i, h := range r.hosts {
		for kind := range uint64(3) {
			caller := &simulatedCaller{combinedRun: r, host: h, random: rand.New(rand.NewPCG(seed, 10*uint64(i+1)+kind))}
			group.Go(func() {
				caller.loop(func() {
					switch kind {
					case 0:
						caller.stream()
					case 1:
						caller.confirm(recent)
					default:
						caller.completeWithAddedKey()
					}
				})
			})
		}
	}
}

func (c *simulatedCaller) loop(call func()) {
	ticker := time.NewTicker(callerPause)
	defer ticker.Stop()
	for {
		select {
		case <-c.done:
			return
		case <-ticker.C:
			call()
		}
	}
}

func (c *simulatedCaller) newID(kind string) string {
	c.count++
	return fmt.Sprintf("%s-%s-%d", kind, c.host.id, c.count)
}

// completionWithPrompt returns a completion request. The tokens of its response depend on the
// prompt, so that a unique prompt identifies the response.
func (s *system) completionWithPrompt(h *host, id, class, key, prompt string, tokens int, stream bool) *http.Request {
	body, _ := json.Marshal(jsonObject{
		"model": model, "max_tokens": tokens, "stream": stream,
		"messages": []jsonObject{{"role": "user", "content": prompt}},
	})
	return s.request(h, "/v1/chat/completions", key, body, http.Header{"X-Request-Class": {class}, "X-Request-Id": {id}})
}

func (c *simulatedCaller) stream() {
	call, up := c.availability.beginCall(c.host)
	if !up {
		return
	}
	id, class := c.newID("stream"), []string{"urgent", "batch"}[c.random.IntN(2)]
	tokens := 1 + c.random.IntN(maxStreamTokens)
	end := readStream(call.client, c.completionWithPrompt(c.host, id, class, callerKey, "plan "+id, tokens, true), nil)
	killed := c.availability.endCall(call)
	got, wrong := wrongToken("plan "+id, end.text)
	// Usage covers the tokens that were delivered. Only if the host was killed may it have counted more.
	atMost := int64(got)
	c.records.countRun(promiseAnswers)
	switch {
	case wrong != "":
		c.records.addViolation(promiseAnswers, "request %s at %s received the wrong token %q at position %d", id, c.host.id, wrong, got)
	case end.outcome == "done" && got != tokens:
		c.records.addViolation(promiseAnswers, "request %s at %s was complete after %d of %d tokens", id, c.host.id, got, tokens)
	case end.outcome == "cut" && killed:
		atMost = int64(tokens)
	case end.outcome == "cut" || end.outcome == "":
		c.records.addViolation(promiseAnswers, "request %s at %s ended with %q after %d of %d tokens", id, c.host.id, end.outcome, got, tokens)
	}
	if end.runState == "not_run" {
		c.records.recordNotRun(id)
	}
	c.records.recordServed(call.begun, int64(got), atMost)
}

// recentKeys holds the idempotency keys that callers of all hosts reuse.
type recentKeys struct {
	mu   sync.Mutex
	keys []string
}

func (r *recentKeys) pick(random *rand.Rand, fresh string) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.keys) > 0 && random.IntN(2) == 0 {
		return r.keys[random.IntN(len(r.keys))]
	}
	r.keys = append(r.keys, fresh)
	r.keys = r.keys[max(0, len(r.keys)-maxRecentKeys):]
	return fresh
}

func (c *simulatedCaller) confirm(recent *recentKeys) {
	call, up := c.availability.beginCall(c.host)
	if !up {
		return
	}
	id := c.newID("hire")
	header, key := http.Header{"X-Request-Id": {id}}, ""
	if c.random.IntN(4) > 0 {
		key = recent.pick(c.random, id)
		header.Set("Idempotency-Key", key)
	}
	got := c.send(call.client, c.request(c.host, "/services/hire/confirm", callerKey, []byte(`{"Hire":1}`), header))
	killed := c.availability.endCall(call)
	if got.err != nil && !killed {
		c.records.addViolation(promiseAnswers, "request %s at %s failed: %v", id, c.host.id, got.err)
	}
	c.records.recordConfirmation(key, id, got)
}

// completeWithAddedKey requests a completion with one of the API keys that operators added.
func (c *simulatedCaller) completeWithAddedKey() {
	key, found := c.keys.pick(c.random)
	if !found {
		return
	}
	call, up := c.availability.beginCall(c.host)
	if !up {
		return
	}
	before := c.keys.state(key)
	id := c.newID("key")
	got := c.send(call.client, c.completionWithPrompt(c.host, id, "urgent", key, "key "+id, 1, false))
	if killed := c.availability.endCall(call); got.err != nil && !killed {
		c.records.addViolation(promiseAnswers, "request %s at %s failed: %v", id, c.host.id, got.err)
	}
	c.checkKeyResult(id, key, before, c.keys.state(key), got)
	switch {
	case got.status == http.StatusOK:
		c.records.recordServed(call.begun, 1, 1)
	case got.runState == "not_run":
		c.records.recordNotRun(id)
	default:
		c.records.recordServed(call.begun, 0, 1)
	}
}

// checkKeyResult checks a result against the state of the key before and after the call.
func (c *simulatedCaller) checkKeyResult(id, key string, before, after keyState, got callResult) {
	c.records.countRun(promiseKeys)
	if before == keyWithdrawn && got.status == http.StatusOK {
		c.records.addViolation(promiseKeys, "%s accepted the withdrawn key %s for %s", c.host.id, key, id)
	}
	if after == keyAccepted && got.status == http.StatusUnauthorized {
		c.records.addViolation(promiseKeys, "%s rejected the valid key %s for %s with %s", c.host.id, key, id, got.code)
	}
}
