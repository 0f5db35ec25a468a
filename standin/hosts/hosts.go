// Package hosts is a stand-in for the platform's host list, which is out of date by a fixed lag.
//
// # Usage
//
//	service := hosts.New(2*time.Second, table)
//	service.Set(now, []hosts.Host{{ID: "h1", DataCentre: "a", PeerAddress: "127.0.0.1:9001", State: "live"}})
//	running, err := server.Start("127.0.0.1:7003", service)
//
// A list takes effect in responses once the lag has passed since Set.
package hosts

import (
	"net/http"
	"sync"
	"time"

	"github.com/arbutuswinch/winch/standin/counts"
	"github.com/arbutuswinch/winch/standin/wire"
)

// Host is a host on which winchd runs.
type Host struct {
	ID          string
	DataCentre  string
	PeerAddress string
	// State is "live" or "leaving".
	State string
}

type snapshot struct {
	setAt time.Time
	hosts []Host
}

// Service is the HTTP handler of the host list.
type Service struct {
	lag    time.Duration
	counts *counts.Table
	mux    *http.ServeMux

	mu        sync.Mutex
	snapshots []snapshot
}

type hostsResponse struct {
	AsOf  time.Time
	Hosts []Host
}

// New returns a service whose list is empty.
func New(lag time.Duration, table *counts.Table) *Service {
	s := &Service{lag: lag, counts: table, mux: http.NewServeMux()}
	s.mux.HandleFunc("GET /v1/hosts", s.get)
	return s
}

// ServeHTTP implements http.Handler.
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

// Set replaces the list as of now.
func (s *Service) Set(now time.Time, hosts []Host) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.snapshots = append(s.snapshots, snapshot{setAt: now, hosts: hosts})
}

// At returns the list that was set last at or before the instant.
func (s *Service) At(instant time.Time) []Host {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i := len(s.snapshots) - 1; i >= 0; i-- {
		if !s.snapshots[i].setAt.After(instant) {
			return s.snapshots[i].hosts
		}
	}
	return []Host{}
}

func (s *Service) get(w http.ResponseWriter, _ *http.Request) {
	s.counts.Add("hosts", "get")
	asOf := time.Now().Add(-s.lag)
	wire.Write(w, http.StatusOK, hostsResponse{AsOf: asOf, Hosts: s.At(asOf)})
}
