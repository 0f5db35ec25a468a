// Package weights is a stand-in for the rate-limited weight store.
//
// # Usage
//
//	service := weights.New(weights.Options{PerSecond: 2, Burst: 2, Transfer: 500 * time.Millisecond, Counts: table})
//	running, err := server.Start("127.0.0.1:7004", service)
package weights

import (
	"net/http"
	"time"

	"golang.org/x/time/rate"

	"github.com/arbutuswinch/winch/standin/counts"
	"github.com/arbutuswinch/winch/standin/fault"
	"github.com/arbutuswinch/winch/standin/wire"
)

// Defaults of Options.
const (
	DefaultPerSecond = 2
	DefaultBurst     = 4
	DefaultTransfer  = 500 * time.Millisecond
)

// Options configure the store. Zero values stand for the defaults.
type Options struct {
	PerSecond float64
	Burst     int
	// Transfer is the duration of one transfer of weights.
	Transfer time.Duration
	Counts   *counts.Table
}

// Service is the HTTP handler of the weight store.
type Service struct {
	options Options
	limiter *rate.Limiter
	mux     *http.ServeMux
}

type weightsRequest struct {
	Model   string
	Adapter string
	Version string
}

// New returns a weight store.
func New(options Options) *Service {
	if options.PerSecond == 0 {
		options.PerSecond = DefaultPerSecond
	}
	if options.Burst == 0 {
		options.Burst = DefaultBurst
	}
	if options.Transfer == 0 {
		options.Transfer = DefaultTransfer
	}
	s := &Service{
		options: options,
		limiter: rate.NewLimiter(rate.Limit(options.PerSecond), options.Burst),
		mux:     http.NewServeMux(),
	}
	s.mux.HandleFunc("POST /v1/weights", s.transfer)
	return s
}

// ServeHTTP implements http.Handler.
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

func (s *Service) transfer(w http.ResponseWriter, r *http.Request) {
	request := weightsRequest{}
	if !wire.Decode(w, r, wire.SmallBody, &request) {
		return
	}
	if !s.limiter.Allow() {
		s.options.Counts.Add("weights", "rate_limited")
		wire.WriteRetry(w, http.StatusTooManyRequests, "rate_limited", time.Second)
		return
	}
	s.options.Counts.Add("weights", "transfer")
	if fault.Pause(r, s.options.Transfer) {
		wire.Write(w, http.StatusOK, struct{}{})
	}
}
