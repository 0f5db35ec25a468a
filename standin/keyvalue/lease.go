package keyvalue

import (
	"strconv"
	"time"
)

type lease struct {
	ttl     time.Duration
	expires time.Time
	keys    map[string]struct{}
}

// Grant creates a lease.
func (s *Store) Grant(now time.Time, ttl time.Duration) LeaseID {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaseSeq++
	id := LeaseID("lease-" + strconv.Itoa(s.leaseSeq))
	s.leases[id] = &lease{ttl: ttl, expires: now.Add(ttl), keys: map[string]struct{}{}}
	return id
}

// Renew extends a lease to now plus its time to live, and returns the time to live.
func (s *Store) Renew(now time.Time, id LeaseID) (time.Duration, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire(now)
	granted := s.leases[id]
	if granted == nil {
		return 0, ErrNoLease
	}
	granted.expires = now.Add(granted.ttl)
	return granted.ttl, nil
}

// Revoke ends a lease and deletes the entries attached to it.
func (s *Store) Revoke(now time.Time, id LeaseID) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire(now)
	if s.leases[id] == nil {
		return ErrNoLease
	}
	s.endLease(id)
	return nil
}

// Expire ends the leases that have expired and deletes the entries attached to them.
func (s *Store) Expire(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire(now)
}

func (s *Store) expire(now time.Time) {
	for id, granted := range s.leases {
		if !now.Before(granted.expires) {
			s.endLease(id)
		}
	}
}

func (s *Store) endLease(id LeaseID) {
	granted := s.leases[id]
	delete(s.leases, id)
	for key := range granted.keys {
		s.remove(key)
	}
}

// setLease detaches the key from its lease, if any, and attaches it to next, unless next is empty.
func (s *Store) setLease(key string, next LeaseID) {
	if current := s.items[key]; current != nil && current.lease != "" && s.leases[current.lease] != nil {
		delete(s.leases[current.lease].keys, key)
	}
	if next != "" {
		s.leases[next].keys[key] = struct{}{}
	}
}
