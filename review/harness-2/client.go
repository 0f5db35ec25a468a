package main

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"
)

// result is what a client has seen of a request.
type result struct {
	id, host, path string
	sent           time.Time
	took           time.Duration
	status         int
	signature      string
	body           string
	header         http.Header
	err            error
}

// caller is a client with connections of its own.
type caller struct {
	client http.Client
}

func newCaller() *caller {
	return &caller{client: http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4, DisableCompression: true}}}
}

// call sends a request and waits at most for the deadline, as the clients do.
func (c *caller) call(h *host, method, path, id, key string, deadline time.Duration, body string) result {
	r := result{id: id, host: h.name, path: path, sent: time.Now()}
	request, err := http.NewRequest(method, "http://"+h.front()+path, strings.NewReader(body))
	check(err)
	request.Host = "a.example"
	request.Header.Set(page("{id}"), id)
	request.Header.Set(page("{deadline}"), fmt.Sprint(deadline.Milliseconds()))
	if key != "" {
		request.Header.Set("Authorization", "Bearer "+key)
	}
	client := c.client
	client.Timeout = deadline
	response, err := client.Do(request)
	if err == nil {
		r.status, r.header, r.signature = response.StatusCode, response.Header, response.Header.Get(page("{signature}"))
		var read []byte
		read, err = io.ReadAll(response.Body)
		r.body = string(read)
		_ = response.Body.Close()
	}
	r.err, r.took = err, time.Since(r.sent)
	return r
}

// results collects what clients have seen.
type results struct {
	mu  sync.Mutex
	all []result
}

func (r *results) add(one result) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.all = append(r.all, one)
	note("%s: %s %s: status %d, signature %q, %v, after %s", one.host, one.id, one.path, one.status, one.signature, one.err, one.took.Round(time.Millisecond))
}

func (r *results) list() []result {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]result(nil), r.all...)
}
