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
	maxWatchWait                  = time.Minute
	// maxPutBody is the largest body of a put. It leaves room for the base64 of a value of
	// twice the limit, so that such a value is refused with the code too_large and not invalid.
	maxPutBody = 3 * ValueLimit
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

// Run ends expired leases until ctx is done, so that waiting watches see the deletions without another call.
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
	request := getRequest{}
	if !wire.Decode(w, r, wire.SmallBody, &request) {
		return
	}
	entry, found := s.store.Get(time.Now(), request.Key)
	response := getResponse{Found: found}
	if found {
		response.Entry = encodeEntry(entry)
	}
	wire.Write(w, http.StatusOK, response)
}

func (s *Service) list(w http.ResponseWriter, r *http.Request) {
	request := listRequest{}
	if !wire.Decode(w, r, wire.SmallBody, &request) {
		return
	}
	wire.Write(w, http.StatusOK, encodeEntries(s.store.List(time.Now(), request.Prefix)))
}

func (s *Service) watch(w http.ResponseWriter, r *http.Request) {
	request := watchRequest{}
	if !wire.Decode(w, r, wire.SmallBody, &request) {
		return
	}
	wait := min(time.Duration(request.Wait), maxWatchWait)
	entries, revision, err := s.store.Watch(r.Context(), request.Prefix, Version(request.After), wait)
	if err != nil {
		writeError(w, Entry{}, err)
		return
	}
	wire.Write(w, http.StatusOK, encodeEntries(entries, revision))
}

func (s *Service) put(w http.ResponseWriter, r *http.Request) {
	request := putRequest{}
	if !wire.Decode(w, r, maxPutBody, &request) {
		return
	}
	entry, err := s.store.Put(time.Now(), request.Key, request.Value, Version(request.Expect), LeaseID(request.Lease))
	if err != nil {
		writeError(w, entry, err)
		return
	}
	wire.Write(w, http.StatusOK, versionResponse{Version: int64(entry.Version)})
}

func (s *Service) remove(w http.ResponseWriter, r *http.Request) {
	request := deleteRequest{}
	if !wire.Decode(w, r, wire.SmallBody, &request) {
		return
	}
	entry, err := s.store.Delete(time.Now(), request.Key, Version(request.Expect))
	if err != nil {
		writeError(w, entry, err)
		return
	}
	wire.Write(w, http.StatusOK, versionResponse{Version: int64(entry.Version)})
}

func (s *Service) grant(w http.ResponseWriter, r *http.Request) {
	request := leaseRequest{}
	if !wire.Decode(w, r, wire.SmallBody, &request) {
		return
	}
	if request.TTL <= 0 {
		wire.WriteError(w, http.StatusBadRequest, "invalid", "TTL must be positive")
		return
	}
	id := s.store.Grant(time.Now(), time.Duration(request.TTL))
	wire.Write(w, http.StatusOK, leaseResponse{Lease: string(id), TTL: request.TTL})
}

func (s *Service) renew(w http.ResponseWriter, r *http.Request) {
	request := leaseRequest{}
	if !wire.Decode(w, r, wire.SmallBody, &request) {
		return
	}
	ttl, err := s.store.Renew(time.Now(), LeaseID(request.Lease))
	if err != nil {
		writeError(w, Entry{}, err)
		return
	}
	wire.Write(w, http.StatusOK, leaseResponse{Lease: request.Lease, TTL: wire.Duration(ttl)})
}

func (s *Service) revoke(w http.ResponseWriter, r *http.Request) {
	request := leaseRequest{}
	if !wire.Decode(w, r, wire.SmallBody, &request) {
		return
	}
	if err := s.store.Revoke(time.Now(), LeaseID(request.Lease)); err != nil {
		writeError(w, Entry{}, err)
		return
	}
	wire.Write(w, http.StatusOK, leaseResponse{Lease: request.Lease})
}

func writeError(w http.ResponseWriter, current Entry, err error) {
	switch {
	case errors.Is(err, ErrConflict):
		response := conflictResponse{Code: "conflict", Message: "the version is another one"}
		if current.Key != "" {
			response.Entry = encodeEntry(current)
		}
		wire.Write(w, http.StatusConflict, response)
	case errors.Is(err, ErrTooLarge):
		wire.WriteError(w, http.StatusRequestEntityTooLarge, "too_large", "Value is above a megabyte")
	case errors.Is(err, ErrCompacted):
		wire.WriteError(w, http.StatusGone, "compacted", "After is too old")
	default:
		wire.WriteError(w, http.StatusNotFound, "not_found", err.Error())
	}
}
