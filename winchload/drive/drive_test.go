package drive

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/arbutuswinch/winch/winchload/control"
	"github.com/arbutuswinch/winch/winchload/experiment"
	"github.com/arbutuswinch/winch/winchload/result"
	"github.com/arbutuswinch/winch/winchload/target"
)

func startServer(t *testing.T, handler http.HandlerFunc) string {
	t.Helper()
	running := httptest.NewServer(handler)
	t.Cleanup(running.Close)
	return strings.TrimPrefix(running.URL, "http://")
}

func TestRun(t *testing.T) {
	faults, executed := make(chan control.Fault, 1), atomic.Int64{}
	controlAddress := startServer(t, func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodPost {
			fault := control.Fault{}
			_ = json.NewDecoder(r.Body).Decode(&fault)
			faults <- fault
			return
		}
		_ = json.NewEncoder(w).Encode(control.State{EndpointSeconds: map[string]float64{"Steady": 1}})
	})
	service := startServer(t, func(w http.ResponseWriter, r *http.Request) {
		executed.Add(1)
		_, _ = fmt.Fprintf(w, `{"Request":%q}`, r.Header.Get("X-Request-Id"))
	})
	exp := experiment.Experiment{
		Name: "test", Duration: experiment.Duration(300 * time.Millisecond), Rate: 100,
		Classes: []experiment.Class{{
			ID: "desk", Tier: 1, Route: "desk", Share: 1,
			FirstTokenTarget: experiment.Duration(10 * time.Second), Timeout: experiment.Duration(10 * time.Second),
		}},
		Organisations: []experiment.Organisation{{ID: "o", Load: 1}},
		Faults:        []experiment.Fault{{Targets: []string{"keyvalue"}, Kind: "outage"}},
	}
	measured, err := Run(context.Background(), Options{
		Experiment: exp, Label: "test", Seed: 1, Control: control.New(controlAddress), Faults: true,
		Picker: target.NewBalancer([]target.Host{{Address: service}}),
		Probe:  func(ctx context.Context) result.Notes { <-ctx.Done(); return result.Notes{Applied: 7} },
	})
	assert.NilError(t, err)
	t.Run("every request is sent and counted", func(t *testing.T) {
		assert.Equal(t, measured.Total.Offered, len(exp.Requests(1)))
		assert.Equal(t, measured.Total.Attained, measured.Total.Offered)
		assert.Equal(t, executed.Load(), int64(measured.Total.Offered))
	})
	t.Run("faults are injected", func(t *testing.T) {
		assert.Equal(t, (<-faults).Target, "keyvalue")
	})
	t.Run("the probe's notes are kept", func(t *testing.T) {
		assert.Equal(t, measured.Notes.Applied, 7)
	})
}
