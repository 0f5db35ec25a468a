package main

import (
	"encoding/base64"
	"encoding/json"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Item is one item of the metadata store.
type Item struct {
	Key     string `json:"key"`
	Value   string `json:"value"`
	Rev     int64  `json:"rev"`
	Created int64  `json:"created"`
	Lease   int64  `json:"lease"`
}

type storeLease struct {
	ttl     time.Duration
	expires time.Time
}

// Store is a stand-in of the platform's metadata store: linearizable, loses nothing.
type Store struct {
	mu     sync.Mutex
	rev    int64
	items  map[string]Item
	leases map[int64]*storeLease
	lease  int64
	// Reject, if set, may answer a call itself. It returns true if it did.
	Reject func(w http.ResponseWriter, r *http.Request) bool
}

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{rev: 100, items: map[string]Item{}, leases: map[int64]*storeLease{}, lease: 1000}
}

// Set writes as the operator or a runner does.
func (s *Store) Set(key string, value []byte) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.put(key, base64.StdEncoding.EncodeToString(value), 0)
	return s.rev
}

// Remove removes a key.
func (s *Store) Remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rev++
	delete(s.items, key)
}

func (s *Store) put(key, value string, lease int64) {
	s.rev++
	item, found := s.items[key]
	if !found {
		item.Created = s.rev
	}
	item.Key, item.Value, item.Rev, item.Lease = key, value, s.rev, lease
	s.items[key] = item
}

func (s *Store) expire() {
	now := time.Now()
	for id, l := range s.leases {
		if now.After(l.expires) {
			s.end(id)
		}
	}
}

func (s *Store) end(id int64) {
	delete(s.leases, id)
	for key, item := range s.items {
		if item.Lease == id {
			s.rev++
			delete(s.items, key)
		}
	}
}

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

// ServeHTTP answers a call of the system.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if s.Reject != nil && s.Reject(w, r) {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	path := r.URL.Path
	switch {
	case path == page("{get}"):
		item, found := s.items[r.URL.Query().Get("key")]
		if !found {
			reply(w, 404, map[string]any{"current_rev": s.rev})
			return
		}
		reply(w, 200, map[string]any{"key": item.Key, "value": item.Value, "rev": item.Rev, "created": item.Created, "lease": item.Lease, "current_rev": s.rev})
	case path == page("{range}"):
		s.list(w, r)
	case path == page("{txn}"):
		s.transact(w, r)
	case path == page("{grant}"):
		call := struct {
			TTL int64 `json:"ttl_ms"`
		}{}
		_ = json.NewDecoder(r.Body).Decode(&call)
		s.lease++
		ttl := time.Duration(call.TTL) * time.Millisecond
		s.leases[s.lease] = &storeLease{ttl: ttl, expires: time.Now().Add(ttl)}
		reply(w, 200, map[string]any{"lease": s.lease, "ttl_ms": call.TTL})
	case strings.HasPrefix(path, page("{renew}")):
		id, _ := strconv.ParseInt(strings.TrimPrefix(path, page("{renew}")), 10, 64)
		l, found := s.leases[id]
		if !found {
			reply(w, 404, map[string]any{})
			return
		}
		l.expires = time.Now().Add(l.ttl)
		reply(w, 200, map[string]any{"ttl_ms": l.ttl.Milliseconds()})
	case strings.HasPrefix(path, page("{end}")):
		id, _ := strconv.ParseInt(strings.TrimPrefix(path, page("{end}")), 10, 64)
		s.end(id)
		reply(w, 200, map[string]any{})
	default:
		reply(w, 503, map[string]any{})
	}
}

func (s *Store) list(w http.ResponseWriter, r *http.Request) {
	prefix, after := r.URL.Query().Get("prefix"), r.URL.Query().Get("after")
	items := []Item{}
	for key, item := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			items = append(items, item)
		}
	}
	sort.Slice(items, func(i, j int) bool { return items[i].Key < items[j].Key })
	truncated := len(items) > 500
	if truncated {
		items = items[:500]
	}
	reply(w, 200, map[string]any{"items": items, "truncated": truncated, "current_rev": s.rev})
}

func (s *Store) transact(w http.ResponseWriter, r *http.Request) {
	call := struct {
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
	}{}
	if err := json.NewDecoder(r.Body).Decode(&call); err != nil {
		reply(w, 400, map[string]any{})
		return
	}
	current, holds := []Item{}, true
	for _, expected := range call.Expected {
		item := s.items[expected.Key]
		item.Key = expected.Key
		current = append(current, item)
		holds = holds && item.Rev == expected.Rev
	}
	if !holds {
		reply(w, 412, map[string]any{"items": current, "current_rev": s.rev})
		return
	}
	for _, put := range call.Puts {
		if _, found := s.leases[put.Lease]; put.Lease != 0 && !found {
			reply(w, 404, map[string]any{})
			return
		}
	}
	for _, put := range call.Puts {
		s.put(put.Key, put.Value, put.Lease)
	}
	for _, key := range call.Remove {
		s.rev++
		delete(s.items, key)
	}
	reply(w, 200, map[string]any{"rev": s.rev})
}
