package main

import (
	"encoding/base64"
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// item is a key of the platform's store.
type item struct {
	Key     string `json:"key"`
	Value   string `json:"value"`
	Rev     int64  `json:"rev"`
	Created int64  `json:"created"`
	Lease   int64  `json:"lease"`
}

type lease struct {
	ttl     time.Duration
	expires time.Time
}

// store is a stand-in of the platform's metadata store, as the page PROTOCOL describes it.
type store struct {
	mu     sync.Mutex
	rev    int64
	items  map[string]item
	leases map[int64]*lease
	conns  *silentListener
	// intercept, if it is set, may handle a call instead of the store.
	intercept func(w http.ResponseWriter, r *http.Request) bool
	address   string
}

func newStore() *store {
	s := &store{rev: 100, items: map[string]item{}, leases: map[int64]*lease{}}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	check(err)
	s.conns = &silentListener{Listener: listener}
	s.address = listener.Addr().String()
	go func() { _ = http.Serve(s.conns, s) }()
	return s
}

// set writes a value as the operator or a runner does, and returns when the store has accepted it.
func (s *store) set(key string, value []byte) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rev++
	s.put(key, base64.StdEncoding.EncodeToString(value), 0)
	return s.rev
}

func (s *store) unset(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rev++
	delete(s.items, key)
}

func (s *store) put(key, value string, leaseID int64) {
	old, found := s.items[key]
	created := s.rev
	if found {
		created = old.Created
	}
	s.items[key] = item{Key: key, Value: value, Rev: s.rev, Created: created, Lease: leaseID}
}

// get returns the value of a key.
func (s *store) get(key string) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	value, _ := base64.StdEncoding.DecodeString(s.items[key].Value)
	return value
}

func (s *store) expire() {
	now := time.Now()
	for id, l := range s.leases {
		if now.After(l.expires) {
			s.end(id)
		}
	}
}

func (s *store) end(id int64) {
	delete(s.leases, id)
	for key, it := range s.items {
		if it.Lease == id {
			s.rev++
			delete(s.items, key)
		}
	}
}

func reply(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(value)
}

const pageItems = 500

// ServeHTTP handles a call.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if s.intercept != nil && s.intercept(w, r) {
		return
	}
	s.serve(w, r)
}

func (s *store) serve(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	path := strings.Trim(r.URL.Path, "/")
	switch {
	case path == "kv-key":
		it, found := s.items[r.URL.Query().Get("key")]
		if !found {
			reply(w, 404, map[string]any{"current_rev": s.rev})
			return
		}
		reply(w, 200, map[string]any{"key": it.Key, "value": it.Value, "rev": it.Rev, "created": it.Created, "lease": it.Lease, "current_rev": s.rev})
	case path == "kv-range":
		prefix, after := r.URL.Query().Get("prefix"), r.URL.Query().Get("after")
		keys := []string{}
		for key := range s.items {
			if strings.HasPrefix(key, prefix) && key > after {
				keys = append(keys, key)
			}
		}
		sort.Strings(keys)
		truncated := len(keys) > pageItems
		if truncated {
			keys = keys[:pageItems]
		}
		found := []item{}
		for _, key := range keys {
			found = append(found, s.items[key])
		}
		reply(w, 200, map[string]any{"items": found, "truncated": truncated, "current_rev": s.rev})
	case path == "kv-watch":
		// History is not kept: the store may discard it.
		reply(w, 410, map[string]any{})
	case path == "kv-txn":
		s.transact(w, r)
	case path == "kv-lease":
		call := struct {
			TTL int64 `json:"ttl_ms"`
		}{}
		_ = json.NewDecoder(r.Body).Decode(&call)
		s.rev++
		ttl := time.Duration(max(1000, call.TTL)) * time.Millisecond
		s.leases[s.rev] = &lease{ttl: ttl, expires: time.Now().Add(ttl)}
		reply(w, 200, map[string]any{"lease": s.rev, "ttl_ms": ttl.Milliseconds()})
	case strings.HasPrefix(path, "kv-keep/"):
		id, _ := strconv.ParseInt(strings.TrimPrefix(path, "kv-keep/"), 10, 64)
		l := s.leases[id]
		if l == nil {
			reply(w, 404, map[string]any{})
			return
		}
		l.expires = time.Now().Add(l.ttl)
		reply(w, 200, map[string]any{"ttl_ms": l.ttl.Milliseconds()})
	case strings.HasPrefix(path, "kv-lease-end/"):
		id, _ := strconv.ParseInt(strings.TrimPrefix(path, "kv-lease-end/"), 10, 64)
		if s.leases[id] == nil {
			reply(w, 404, map[string]any{})
			return
		}
		s.end(id)
		reply(w, 200, map[string]any{})
	default:
		reply(w, 404, map[string]any{})
	}
}

type transaction struct {
	Expected []struct {
		Key string `json:"key"`
		Rev int64  `json:"rev"`
	} `json:"expected_rev"`
	Puts []struct {
		Key   string `json:"key"`
		Value string `json:"value"`
		Lease int64  `json:"lease"`
	} `json:"puts"`
	Remove []string `json:"remove"`
}

func (s *store) transact(w http.ResponseWriter, r *http.Request) {
	call := transaction{}
	if err := json.NewDecoder(r.Body).Decode(&call); err != nil {
		reply(w, 400, map[string]any{})
		return
	}
	status, body := s.apply(call)
	reply(w, status, body)
}

// apply carries out a transaction. It is called with the lock.
func (s *store) apply(call transaction) (int, any) {
	failed := false
	state := []item{}
	for _, row := range call.Expected {
		it := s.items[row.Key]
		it.Key = row.Key
		state = append(state, it)
		failed = failed || it.Rev != row.Rev
	}
	if failed {
		return 412, map[string]any{"items": state}
	}
	for _, p := range call.Puts {
		if p.Lease != 0 && s.leases[p.Lease] == nil {
			return 404, map[string]any{}
		}
		if strings.HasPrefix(p.Key, "op/") || strings.HasPrefix(p.Key, page("{servers}")) {
			return 403, map[string]any{}
		}
	}
	if len(call.Puts)+len(call.Remove) > 0 {
		s.rev++
	}
	for _, p := range call.Puts {
		s.put(p.Key, p.Value, p.Lease)
	}
	for _, key := range call.Remove {
		delete(s.items, key)
	}
	return 200, map[string]any{"rev": s.rev}
}

// silentListener accepts connections that can be made silent: the bytes of either side are dropped from then on.
type silentListener struct {
	net.Listener
	mu    sync.Mutex
	conns []*silentConn
}

func (l *silentListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &silentConn{Conn: conn, silent: make(chan struct{})}
	l.mu.Lock()
	l.conns = append(l.conns, c)
	l.mu.Unlock()
	return c, nil
}

// silence makes all open connections silent, and returns their number.
func (l *silentListener) silence() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range l.conns {
		c.once.Do(func() { close(c.silent) })
	}
	count := len(l.conns)
	l.conns = nil
	return count
}

type silentConn struct {
	net.Conn
	silent chan struct{}
	once   sync.Once
}

func (c *silentConn) isSilent() bool {
	select {
	case <-c.silent:
		return true
	default:
		return false
	}
}

func (c *silentConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if c.isSilent() {
		// Nothing that was sent since arrives.
		select {}
	}
	return n, err
}

func (c *silentConn) Write(p []byte) (int, error) {
	if c.isSilent() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

func (c *silentConn) Close() error {
	if c.isSilent() {
		return nil
	}
	return c.Conn.Close()
}
