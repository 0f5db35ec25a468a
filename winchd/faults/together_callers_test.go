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
	callerPause  = 60 * time.Millisecond
	streamTokens = 30
	repeatable   = 40
)

// callers sends the traffic of one host's callers until the run is done.
type callers struct {
	*together
	host   *host
	random *rand.Rand
	count  int
}

// startCallers starts the callers of all hosts; the group ends with them.
func (g *together) startCallers(seed uint64, group *sync.WaitGroup) {
	recent := &recentKeys{}
	for i, h := range g.hosts {
		for kind := range uint64(3) {
			own := &callers{together: g, host: h, random: rand.New(rand.NewPCG(seed, 10*uint64(i+1)+kind))}
			group.Go(func() {
				own.loop(func() {
					switch kind {
					case 0:
						own.stream()
					case 1:
						own.confirm(recent)
					default:
						own.withKey()
					}
				})
			})
		}
	}
}

func (c *callers) loop(call func()) {
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

func (c *callers) id(kind string) string {
	c.count++
	return fmt.Sprintf("%s-%s-%d", kind, c.host.id, c.count)
}

// promptOf is a completion request whose answer tells it from all others.
func (s *system) promptOf(h *host, id, class, key, prompt string, tokens int, stream bool) *http.Request {
	body, _ := json.Marshal(jsonObject{
		"model": model, "max_tokens": tokens, "stream": stream,
		"messages": []jsonObject{{"role": "user", "content": prompt}},
	})
	return s.request(h, "/v1/chat/completions", key, body, http.Header{"X-Request-Class": {class}, "X-Request-Id": {id}})
}

func (c *callers) stream() {
	call, up := c.lives.begin(c.host)
	if !up {
		return
	}
	id, class := c.id("stream"), []string{"urgent", "batch"}[c.random.IntN(2)]
	tokens := 1 + c.random.IntN(streamTokens)
	end := readStream(call.client, c.promptOf(c.host, id, class, secret, "plan "+id, tokens, true), nil)
	killed := c.lives.end(call)
	got, wrong := wrongToken("plan "+id, end.text)
	atMost := int64(got)
	c.records.run(promiseAnswers)
	switch {
	case wrong != "":
		c.records.violate(promiseAnswers, "%s at %s got token %q as number %d", id, c.host.id, wrong, got)
	case end.how == "done" && got != tokens:
		c.records.violate(promiseAnswers, "%s at %s was done after %d of %d tokens", id, c.host.id, got, tokens)
	case end.how == "cut" && killed:
		atMost = int64(tokens)
	case end.how == "cut" || end.how == "":
		c.records.violate(promiseAnswers, "%s at %s ended with %q after %d of %d tokens", id, c.host.id, end.how, got, tokens)
	}
	if end.runState == "not_run" {
		c.records.refusal(id)
	}
	c.records.serve(call.begun, int64(got), atMost)
}

// recentKeys are the idempotency keys that callers of all hosts repeat.
type recentKeys struct {
	mu   sync.Mutex
	keys []string
}

func (r *recentKeys) draw(random *rand.Rand, fresh string) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.keys) > 0 && random.IntN(2) == 0 {
		return r.keys[random.IntN(len(r.keys))]
	}
	r.keys = append(r.keys, fresh)
	r.keys = r.keys[max(0, len(r.keys)-repeatable):]
	return fresh
}

func (c *callers) confirm(recent *recentKeys) {
	call, up := c.lives.begin(c.host)
	if !up {
		return
	}
	id := c.id("hire")
	header, key := http.Header{"X-Request-Id": {id}}, ""
	if c.random.IntN(4) > 0 {
		key = recent.draw(c.random, id)
		header.Set("Idempotency-Key", key)
	}
	got := c.send(call.client, c.request(c.host, "/services/hire/confirm", secret, []byte(`{"Hire":1}`), header))
	killed := c.lives.end(call)
	if got.err != nil && !killed {
		c.records.violate(promiseAnswers, "%s at %s broke off: %v", id, c.host.id, got.err)
	}
	c.records.answer(key, id, got)
}

// withKey calls with one of the keys that operators added.
func (c *callers) withKey() {
	key, found := c.keys.draw(c.random)
	if !found {
		return
	}
	call, up := c.lives.begin(c.host)
	if !up {
		return
	}
	before := c.keys.look(key)
	id := c.id("key")
	got := c.send(call.client, c.promptOf(c.host, id, "urgent", key, "key "+id, 1, false))
	if killed := c.lives.end(call); got.err != nil && !killed {
		c.records.violate(promiseAnswers, "%s at %s broke off: %v", id, c.host.id, got.err)
	}
	c.judgeKey(id, key, before, c.keys.look(key), got)
	switch {
	case got.status == http.StatusOK:
		c.records.serve(call.begun, 1, 1)
	case got.runState == "not_run":
		c.records.refusal(id)
	default:
		c.records.serve(call.begun, 0, 1)
	}
}

// judgeKey judges an answer by what was accepted before the call began and after it ended.
func (c *callers) judgeKey(id, key string, before, after keyState, got answer) {
	c.records.run(promiseKeys)
	if before == keyWithdrawn && got.status == http.StatusOK {
		c.records.violate(promiseKeys, "%s honoured the withdrawn key %s for %s", c.host.id, key, id)
	}
	if after == keyAccepted && got.status == http.StatusUnauthorized {
		c.records.violate(promiseKeys, "%s refused the accepted key %s for %s with %s", c.host.id, key, id, got.code)
	}
}
