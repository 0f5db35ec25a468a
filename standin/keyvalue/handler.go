// Package keyvalue is a stand-in for the platform's key-value service, with compare-and-swap,
// leases, watches by long polling, and rate limits for reads and writes.
//
// # Usage
//
//	service := keyvalue.New(keyvalue.Options{Counts: table, ReadsPerSecond: 2000, WritesPerSecond: 400})
//	go service.Run(ctx)
//	running, err := server.Start("127.0.0.1:7000", service)
//
// Each call counts once against its rate limit; so does a watch, however long it waits.
// Calls above the limit get status 429 and have no effect.
package keyvalue

import (
	"context"
	"errors"
	"net/http"
	"time"

	"golang.org/x/time/rate"

	"github.com/arbutuswinch/winch/standin/counts"
	"github.com/arbutuswinch/winch/standin/wire"
)

// Defaults of Options.
const (
	DefaultReadsPerSecond  = 2000
	DefaultWritesPerSecond = 400
)

const (
	service        counts.Service = "keyvalue"
	expiryInterval                = 20 * time.Millisecond
	longestWait                   = time.Minute
	// valueBody is the largest body of a put. It exceeds the base64 of the largest value, so
	// that values of up to twice the limit are decoded and refused with the code too_large.
	valueBody = 3 * ValueLimit
)

// Options configure the service. Zero rates stand for the defaults.
type Options struct {
	Counts          *counts.Table
	ReadsPerSecond  int
	WritesPerSecond int
}

// Service is the HTTP handler of the key-value service.
type Service struct {
	store  *Store
	counts *counts.Table
	reads  *rate.Limiter
	writes *rate.Limiter
	mux    *http.ServeMux
}

// New returns a service with an empty store.
func New(options Options) *Service {
	if options.ReadsPerSecond == 0 {
		options.ReadsPerSecond = DefaultReadsPerSecond
	}
	if options.WritesPerSecond == 0 {
		options.WritesPerSecond = DefaultWritesPerSecond
	}
	s := &Service{
		store:  NewStore(),
		counts: options.Counts,
		reads:  limiter(options.ReadsPerSecond),
		writes: limiter(options.WritesPerSecond),
		mux:    http.NewServeMux(),
	}
	s.handle("get", s.reads, s.get)
	s.handle("list", s.reads, s.list)
	s.handle("watch", s.reads, s.watch)
	s.handle("put", s.writes, s.put)
	s.handle("delete", s.writes, s.remove)
	s.handle("lease/grant", s.writes, s.grant)
	s.handle("lease/renew", s.writes, s.renew)
	s.handle("lease/revoke", s.writes, s.revoke)
	return s
}

func limiter(perSecond int) *rate.Limiter { return rate.NewLimiter(rate.Limit(perSecond), perSecond) }

func (s *Service) handle(name string, limit *rate.Limiter, next http.HandlerFunc) {
	s.mux.HandleFunc("POST /v1/"+name, func(w http.ResponseWriter, r *http.Request) {
		if !limit.Allow() {
			s.counts.Add(service, "rate_limited")
			wire.WriteRetry(w, http.StatusTooManyRequests, "rate_limited", time.Second)
			return
		}
		s.counts.Add(service, counts.Kind(name))
		next(w, r)
	})
}

// ServeHTTP implements http.Handler.
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

// Writes reports whether the request is a write.
func Writes(r *http.Request) bool {
	switch r.URL.Path {
	case "/v1/get", "/v1/list", "/v1/watch":
		return false
	}
	return true
}

// Run ends expired leases until ctx is done.
func (s *Service) Run(ctx context.Context) {
	ticker := time.NewTicker(expiryInterval)
	defer ticker.Stop()
	for {
		select {
		case now := <-ticker.C:
			s.store.Expire(now)
		case <-ctx.Done():
			return
		}
	}
}

func (s *Service) get(w http.ResponseWriter, r *http.Request) {
	call := getCall{}
	if !wire.Decode(w, r, wire.SmallBody, &call) {
		return
	}
	entry, found := s.store.Get(time.Now(), call.Key)
	answer := getAnswer{Found: found}
	if found {
		answer.Entry = encodeEntry(entry)
	}
	wire.Write(w, http.StatusOK, answer)
}

func (s *Service) list(w http.ResponseWriter, r *http.Request) {
	call := listCall{}
	if !wire.Decode(w, r, wire.SmallBody, &call) {
		return
	}
	wire.Write(w, http.StatusOK, encodeEntries(s.store.List(time.Now(), call.Prefix)))
}

func (s *Service) watch(w http.ResponseWriter, r *http.Request) {
	call := watchCall{}
	if !wire.Decode(w, r, wire.SmallBody, &call) {
		return
	}
	wait := min(time.Duration(call.Wait), longestWait)
	entries, revision, err := s.store.Watch(r.Context(), call.Prefix, Version(call.After), wait)
	if err != nil {
		writeError(w, Entry{}, err)
		return
	}
	wire.Write(w, http.StatusOK, encodeEntries(entries, revision))
}

func (s *Service) put(w http.ResponseWriter, r *http.Request) {
	call := putCall{}
	if !wire.Decode(w, r, valueBody, &call) {
		return
	}
	entry, err := s.store.Put(time.Now(), call.Key, call.Value, Version(call.Expect), LeaseID(call.Lease))
	if err != nil {
		writeError(w, entry, err)
		return
	}
	wire.Write(w, http.StatusOK, versionAnswer{Version: int64(entry.Version)})
}

func (s *Service) remove(w http.ResponseWriter, r *http.Request) {
	call := deleteCall{}
	if !wire.Decode(w, r, wire.SmallBody, &call) {
		return
	}
	entry, err := s.store.Delete(time.Now(), call.Key, Version(call.Expect))
	if err != nil {
		writeError(w, entry, err)
		return
	}
	wire.Write(w, http.StatusOK, versionAnswer{Version: int64(entry.Version)})
}

func (s *Service) grant(w http.ResponseWriter, r *http.Request) {
	call := leaseCall{}
	if !wire.Decode(w, r, wire.SmallBody, &call) {
		return
	}
	if call.TTL <= 0 {
		wire.WriteError(w, http.StatusBadRequest, "invalid", "TTL must be positive")
		return
	}
	id := s.store.Grant(time.Now(), time.Duration(call.TTL))
	wire.Write(w, http.StatusOK, leaseAnswer{Lease: string(id), TTL: call.TTL})
}

func (s *Service) renew(w http.ResponseWriter, r *http.Request) {
	call := leaseCall{}
	if !wire.Decode(w, r, wire.SmallBody, &call) {
		return
	}
	ttl, err := s.store.Renew(time.Now(), LeaseID(call.Lease))
	if err != nil {
		writeError(w, Entry{}, err)
		return
	}
	wire.Write(w, http.StatusOK, leaseAnswer{Lease: call.Lease, TTL: wire.Duration(ttl)})
}

func (s *Service) revoke(w http.ResponseWriter, r *http.Request) {
	call := leaseCall{}
	if !wire.Decode(w, r, wire.SmallBody, &call) {
		return
	}
	if err := s.store.Revoke(time.Now(), LeaseID(call.Lease)); err != nil {
		writeError(w, Entry{}, err)
		return
	}
	wire.Write(w, http.StatusOK, leaseAnswer{Lease: call.Lease})
}

func writeError(w http.ResponseWriter, present Entry, err error) {
	switch {
	case errors.Is(err, ErrConflict):
		answer := conflictAnswer{Code: "conflict", Message: "the version is another one"}
		if present.Key != "" {
			answer.Entry = encodeEntry(present)
		}
		wire.Write(w, http.StatusConflict, answer)
	case errors.Is(err, ErrTooLarge):
		wire.WriteError(w, http.StatusRequestEntityTooLarge, "too_large", "Value is above a megabyte")
	case errors.Is(err, ErrCompacted):
		wire.WriteError(w, http.StatusGone, "compacted", "After is too old")
	default:
		wire.WriteError(w, http.StatusNotFound, "not_found", err.Error())
	}
}
