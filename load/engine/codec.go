package engine

import (
	"fmt"
	"strings"
	"time"

	"github.com/arbutuswinch/winch"
)

const (
	// responseLimit is the largest response that is read, in bytes.
	responseLimit = 1 << 20
	// responsesSize bounds the memory that the responses of all endpoints take while they are read, in bytes.
	responsesSize = 8 << 20
)

// loadResponse is an endpoint's response to a read of its load.
type loadResponse struct {
	AsOf            time.Time
	Running         int
	Waiting         int
	TokensPerSecond float64
	CacheUsed       int64
	CacheLimit      int64
	Models          []modelResponse
	Role            string
	State           string
}

// modelResponse is a model that an endpoint has loaded.
type modelResponse struct {
	Model   string
	Adapter string
	Version string
}

// cacheResponse is an endpoint's response to a read of its cache events. Next is the sequence
// number to send as after in the next read.
type cacheResponse struct {
	Events []eventResponse
	Next   int64
}

// eventResponse says that the endpoint's cache holds the prefix with the given hash, or that
// the prefix was evicted.
type eventResponse struct {
	Sequence int64
	Prefix   uint64
	Evicted  bool
}

// report converts the response. AsOf becomes now if it is missing or in the future.
func (a loadResponse) report(now time.Time, id winch.EndpointID) (winch.LoadReport, error) {
	if a.Running < 0 || a.Waiting < 0 {
		return winch.LoadReport{}, fmt.Errorf("negative Running or Waiting: %w", winch.ErrInvalid)
	}
	report := winch.LoadReport{
		Endpoint: id, AsOf: a.AsOf, Running: a.Running, Waiting: a.Waiting, TokensPerSecond: a.TokensPerSecond,
		CacheUsed: winch.Tokens(a.CacheUsed), CacheLimit: winch.Tokens(a.CacheLimit), Role: a.Role,
	}
	if report.AsOf.IsZero() || report.AsOf.After(now) {
		report.AsOf = now
	}
	for _, m := range a.Models {
		report.Models = append(report.Models, winch.LoadedModel{
			Model: winch.ModelID(m.Model), Adapter: winch.AdapterID(m.Adapter), Version: winch.ModelVersion(m.Version),
		})
	}
	state, err := stateOf(a.State)
	report.State = state
	return report, err
}

// stateOf converts an endpoint's name of its state. An endpoint that reports none is ready.
func stateOf(text string) (winch.EndpointState, error) {
	switch strings.ToLower(text) {
	case "", "ready":
		return winch.EndpointReady, nil
	case "warming", "starting":
		return winch.EndpointStarting, nil
	case "leaving":
		return winch.EndpointLeaving, nil
	}
	return "", fmt.Errorf("unknown State %.32q: %w", text, winch.ErrInvalid)
}
