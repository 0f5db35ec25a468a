// Package usage is a stand-in for the platform interface that receives usage reports.
//
// # Usage
//
//	service := usage.New(table)
//	running, err := server.Start("127.0.0.1:7002", service)
//
// The first report of each shard and window is billed. A repeated report with the same
// figures is accepted again; one with other figures is refused.
package usage

import (
	"net/http"
	"sort"
	"sync"
	"time"

	"github.com/arbutuswinch/winch/standin/counts"
	"github.com/arbutuswinch/winch/standin/wire"
)

// Figures is the usage of one organisation.
type Figures struct {
	Organisation string
	Requests     int64
	InputTokens  int64
	OutputTokens int64
	// Adjustment is set when the figures belong to earlier windows.
	Adjustment bool
}

// Report is the usage of one shard in one window. The fencing number is recorded but not checked.
type Report struct {
	Shard         int
	Window        time.Time
	Reporter      string
	FencingNumber int64
	Figures       []Figures
}

// Received is a received report and its outcome: "billed", "repeated" or "differs".
type Received struct {
	At      time.Time
	Report  Report
	Verdict string
}

type windowKey struct {
	shard int
	start int64
}

// Service is the HTTP handler of the usage interface.
type Service struct {
	counts *counts.Table
	mux    *http.ServeMux

	mu       sync.Mutex
	billed   map[windowKey]Report
	received []Received
}

// New returns a service without reports.
func New(table *counts.Table) *Service {
	s := &Service{counts: table, mux: http.NewServeMux(), billed: map[windowKey]Report{}}
	s.mux.HandleFunc("POST /v1/usage", s.report)
	return s
}

// ServeHTTP implements http.Handler.
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

func (s *Service) report(w http.ResponseWriter, r *http.Request) {
	s.counts.Add("usage", "report")
	reported := Report{}
	if !wire.Decode(w, r, wire.LargeBody, &reported) {
		return
	}
	if s.record(time.Now(), reported) {
		wire.Write(w, http.StatusOK, struct{}{})
		return
	}
	s.counts.Add("usage", "differs")
	wire.WriteError(w, http.StatusConflict, "differs", "the window was reported with other figures")
}

// record records the report. It returns false when the figures differ from those of the first
// report of the shard and window.
func (s *Service) record(now time.Time, reported Report) bool {
	sort.Slice(reported.Figures, func(i, j int) bool { return less(reported.Figures[i], reported.Figures[j]) })
	s.mu.Lock()
	defer s.mu.Unlock()
	key := windowKey{shard: reported.Shard, start: reported.Window.UnixNano()}
	first, found := s.billed[key]
	verdict := "billed"
	switch {
	case !found:
		s.billed[key] = reported
	case equal(first.Figures, reported.Figures):
		verdict = "repeated"
	default:
		verdict = "differs"
	}
	s.received = append(s.received, Received{At: now, Report: reported, Verdict: verdict})
	return verdict != "differs"
}

func less(a, b Figures) bool {
	if a.Organisation != b.Organisation {
		return a.Organisation < b.Organisation
	}
	return !a.Adjustment && b.Adjustment
}

func equal(a, b []Figures) bool {
	if len(a) != len(b) {
		return false
	}
	for i := range a {
		if a[i] != b[i] {
			return false
		}
	}
	return true
}

// Received returns the received reports, the oldest first.
func (s *Service) Received() []Received {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Received{}, s.received...)
}
