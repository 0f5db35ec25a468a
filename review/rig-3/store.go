package main

import (
	"encoding/base64"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Item is a key of the store.
type Item struct {
	Key     string `json:"key"`
	Value   string `json:"value"`
	Rev     int64  `json:"rev"`
	Created int64  `json:"created"`
	Lease   int64  `json:"lease"`
}

type leaseState struct {
	ttl     time.Duration
	expires time.Time
}

// Store follows the page on the platform's metadata store.
type Store struct {
	mu     sync.Mutex
	rev    int64
	items  map[string]*Item
	leases map[int64]*leaseState
}

func NewStore() *Store {
	s := &Store{rev: 100, items: map[string]*Item{}, leases: map[int64]*leaseState{}}
	go func() {
		for range time.Tick(50 * time.Millisecond) {
			s.mu.Lock()
			s.expire()
			s.mu.Unlock()
		}
	}()
	return s
}

func (s *Store) expire() {
	now := time.Now()
	for id, l := range s.leases {
		if now.After(l.expires) {
			s.endLease(id)
		}
	}
}

func (s *Store) endLease(id int64) {
	delete(s.leases, id)
	for k, it := range s.items {
		if it.Lease == id {
			s.rev++
			delete(s.items, k)
		}
	}
}

// Set writes a key as the operator or a runner.
func (s *Store) Set(key string, value []byte) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rev++
	s.put(key, base64.StdEncoding.EncodeToString(value), 0)
	return s.rev
}

func (s *Store) put(key, value string, lease int64) {
	created := s.rev
	if it := s.items[key]; it != nil {
		created = it.Created
	}
	s.items[key] = &Item{Key: key, Value: value, Rev: s.rev, Created: created, Lease: lease}
}

func (s *Store) Remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.items[key] != nil {
		s.rev++
		delete(s.items, key)
	}
}

func (s *Store) Get(key string) (string, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	it := s.items[key]
	if it == nil {
		return "", false
	}
	v, _ := base64.StdEncoding.DecodeString(it.Value)
	return string(v), true
}

type cond struct {
	Key string `json:"key"`
	Rev int64  `json:"rev"`
}
type putWire struct {
	Key   string `json:"key"`
	Value string `json:"value"`
	Lease int64  `json:"lease"`
}
type txn struct {
	Expected []cond    `json:"expected_rev"`
	Puts     []putWire `json:"puts"`
	Remove   []string  `json:"remove"`
}

// empty is the body of an answer that says all by its status.
var empty = map[string]any{}

// handle carries out a call and returns the status and the body.
func (s *Store) handle(path string, query url.Values, body []byte) (int, any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	switch {
	case path == page("{key}"):
		it := s.items[query.Get("key")]
		if it == nil {
			return 404, map[string]any{"current_rev": s.rev}
		}
		return 200, map[string]any{"key": it.Key, "value": it.Value, "rev": it.Rev, "created": it.Created, "lease": it.Lease, "current_rev": s.rev}
	case path == page("{range}"):
		return s.list(query.Get("prefix"), query.Get("after"))
	case path == page("{txn}"):
		return s.change(body)
	case path == page("{lease}"):
		return s.grant(body)
	}
	if id, found := strings.CutPrefix(path, page("{keep}")); found {
		return s.keep(id)
	}
	if id, found := strings.CutPrefix(path, page("{lease}-end/")); found {
		return s.end(id)
	}
	return 404, empty
}

func (s *Store) list(prefix, after string) (int, any) {
	keys, items, truncated := []string{}, []*Item{}, false
	for k := range s.items {
		if strings.HasPrefix(k, prefix) && k > after {
			keys = append(keys, k)
		}
	}
	sort.Strings(keys)
	for _, k := range keys {
		if len(items) == 500 {
			truncated = true
			break
		}
		items = append(items, s.items[k])
	}
	return 200, map[string]any{"items": items, "truncated": truncated, "current_rev": s.rev}
}

func (s *Store) change(body []byte) (int, any) {
	t := txn{}
	if json.Unmarshal(body, &t) != nil {
		return 400, empty
	}
	ok := true
	current := []any{}
	for _, c := range t.Expected {
		it := s.items[c.Key]
		if it == nil {
			it = &Item{Key: c.Key}
		}
		cp := *it
		current = append(current, cp)
		ok = ok && it.Rev == c.Rev
	}
	if !ok {
		return 412, map[string]any{"items": current, "current_rev": s.rev}
	}
	for _, p := range t.Puts {
		if strings.HasPrefix(p.Key, "op/") || strings.HasPrefix(p.Key, page("{servers}")) {
			return 403, empty
		}
		if p.Lease != 0 && s.leases[p.Lease] == nil {
			return 404, empty
		}
	}
	if len(t.Puts)+len(t.Remove) > 0 {
		s.rev++
	}
	for _, p := range t.Puts {
		s.put(p.Key, p.Value, p.Lease)
	}
	for _, k := range t.Remove {
		delete(s.items, k)
	}
	return 200, map[string]any{"rev": s.rev}
}

func (s *Store) grant(body []byte) (int, any) {
	r := struct {
		TTL int64 `json:"ttl_ms"`
	}{}
	if json.Unmarshal(body, &r) != nil || r.TTL <= 0 {
		return 400, empty
	}
	ttl := max(time.Duration(r.TTL)*time.Millisecond, time.Second)
	s.rev++
	s.leases[s.rev] = &leaseState{ttl: ttl, expires: time.Now().Add(ttl)}
	return 200, map[string]any{"lease": s.rev, "ttl_ms": ttl.Milliseconds()}
}

func (s *Store) keep(text string) (int, any) {
	id, _ := strconv.ParseInt(text, 10, 64)
	l := s.leases[id]
	if l == nil {
		return 404, empty
	}
	l.expires = time.Now().Add(l.ttl)
	return 200, empty
}

func (s *Store) end(text string) (int, any) {
	id, _ := strconv.ParseInt(text, 10, 64)
	if s.leases[id] == nil {
		return 404, empty
	}
	s.endLease(id)
	return 200, empty
}

// Serve opens the store at an address of the IP address, and returns it. Each answer takes 4 ms.
func (s *Store) Serve(ip string) string {
	l, err := net.Listen("tcp", ip+":0")
	check(err)
	go http.Serve(l, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		time.Sleep(4 * time.Millisecond)
		status, answer := s.handle(r.URL.Path, r.URL.Query(), body)
		encoded, _ := json.Marshal(answer)
		w.Header().Set("Content-Type", "application/json")
		w.Header().Set("Content-Length", fmt.Sprint(len(encoded)))
		w.WriteHeader(status)
		w.Write(encoded)
	}))
	return l.Addr().String()
}
