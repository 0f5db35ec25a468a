package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/arbutuswinch/winch/standin/engine"
	"github.com/arbutuswinch/winch/standin/fleet"
	"github.com/arbutuswinch/winch/standin/settings"
	"github.com/arbutuswinch/winch/standin/wire"
)

const anyPort = "127.0.0.1:0"

func startPlatform(t *testing.T) *platform {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	fast := settings.Engine{
		Address: anyPort, DataCentre: "a", StepBase: wire.Duration(time.Millisecond),
		StepPerSequence: wire.Duration(time.Microsecond), ReportLag: wire.Duration(time.Millisecond),
		ChecksFencing: true, Models: []settings.Model{{Model: "small"}},
	}
	first, cheap := fast, fast
	first.ID, cheap.ID, cheap.Supply = "a1", "a2", "Cheap"
	running, err := start(ctx, settings.Settings{
		KeyValue: &settings.KeyValue{Address: anyPort},
		Orders:   &settings.Orders{Address: anyPort, DataCentres: []settings.DataCentre{{ID: "a", ChecksFencing: true}}, StartDelay: wire.Duration(300 * time.Millisecond), Engine: fast},
		Usage:    &settings.Usage{Address: anyPort},
		Hosts:    &settings.Hosts{Address: anyPort, Hosts: []settings.Host{{ID: "h1", DataCentre: "a", PeerAddress: "127.0.0.1:1", State: "live"}}},
		Weights:  &settings.Weights{Address: anyPort, PerSecond: 0.01, Burst: 1, Transfer: wire.Duration(time.Millisecond)},
		Control:  &settings.Control{Address: anyPort},
		Engines:  []settings.Engine{first, cheap},
		Services: []settings.Service{
			{ID: "desk", DataCentre: "a", Address: anyPort, Time: wire.Duration(time.Millisecond)},
			{
				ID: "frail", DataCentre: "a", Address: anyPort, Time: wire.Duration(time.Millisecond),
				ColdPerSecond: 3, ColdTime: wire.Duration(time.Hour), RestartTime: wire.Duration(200 * time.Millisecond),
			},
		},
	}, hclog.NewNullLogger())
	assert.NilError(t, err)
	t.Cleanup(func() {
		cancel()
		assert.NilError(t, running.stop())
	})
	return running
}

// call sends a request to a part and returns the status and the body. The status is 0 when
// no response arrives.
func call(t *testing.T, p *platform, part, method, path string, body string) (int, string) {
	t.Helper()
	request, err := http.NewRequest(method, "http://"+p.addresses[part]+path, bytes.NewReader([]byte(body)))
	assert.NilError(t, err)
	request.Header.Set("X-Request-Id", "r1")
	request.Header.Set("Idempotency-Key", "k1")
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, ""
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	assert.NilError(t, err)
	return response.StatusCode, string(text)
}

func assertCall(t *testing.T, p *platform, part, method, path, body string, status int, contains string) {
	t.Helper()
	got, text := call(t, p, part, method, path, body)
	assert.Equal(t, got, status, text)
	assert.Assert(t, strings.Contains(text, contains), text)
}

func injectFault(t *testing.T, p *platform, body string) {
	t.Helper()
	assertCall(t, p, "control", "POST", "/control/faults", body, http.StatusOK, "")
}

func waitFor(t *testing.T, check func() bool) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if check() {
			return poll.Success()
		}
		return poll.Continue("not yet")
	}, poll.WithDelay(5*time.Millisecond), poll.WithTimeout(10*time.Second))
}

func TestKeyValueFaults(t *testing.T) {
	p := startPlatform(t)
	put := func(value string) string { return fmt.Sprintf(`{"Key":"k","Value":%q,"Expect":-1}`, value) }
	t.Run("a lost response comes after the effect", func(t *testing.T) {
		injectFault(t, p, `{"Target":"keyvalue","Kind":"lose_answer","Count":1}`)
		status, _ := call(t, p, "keyvalue", "POST", "/v1/put", put("YQ=="))
		assert.Equal(t, status, 0)
		assertCall(t, p, "keyvalue", "POST", "/v1/get", `{"Key":"k"}`, http.StatusOK, `"Value":"YQ=="`)
	})
	t.Run("a rejected call has no effect", func(t *testing.T) {
		injectFault(t, p, `{"Target":"keyvalue","Kind":"reject","Count":1}`)
		assertCall(t, p, "keyvalue", "POST", "/v1/put", put("Yg=="), http.StatusServiceUnavailable, "unavailable")
		assertCall(t, p, "keyvalue", "POST", "/v1/get", `{"Key":"k"}`, http.StatusOK, `"Value":"YQ=="`)
	})
	t.Run("an outage refuses connections until it ends", func(t *testing.T) {
		injectFault(t, p, `{"Target":"keyvalue","Kind":"outage","Duration":"100ms"}`)
		status, _ := call(t, p, "keyvalue", "POST", "/v1/get", `{"Key":"k"}`)
		assert.Equal(t, status, 0)
		waitFor(t, func() bool {
			status, _ := call(t, p, "keyvalue", "POST", "/v1/get", `{"Key":"k"}`)
			return status == http.StatusOK
		})
	})
	t.Run("an unknown target is refused", func(t *testing.T) {
		assertCall(t, p, "control", "POST", "/control/faults", `{"Target":"engine/none","Kind":"crash"}`, http.StatusNotFound, "Target")
	})
}

func TestOrders(t *testing.T) {
	p := startPlatform(t)
	order := func(id string, number, count int) string {
		return fmt.Sprintf(`{"OrderID":%q,"FencingNumber":%d,"Holder":"h","Pools":[{"Pool":"p","Model":"small","Supply":"Steady","Count":%d}]}`, id, number, count)
	}
	ready := func() int {
		return len(p.fleet.List(func(e fleet.Endpoint) bool { return e.Pool == "p" && e.State == fleet.Ready }))
	}
	path := "/v1/datacentres/a/orders"
	t.Run("starts missing endpoints", func(t *testing.T) {
		assertCall(t, p, "orders", "POST", path, order("o1", 5, 2), http.StatusOK, `"starting"`)
		waitFor(t, func() bool { return ready() == 2 })
	})
	t.Run("repeats the response to a repeated order", func(t *testing.T) {
		assertCall(t, p, "orders", "POST", path, order("o1", 5, 2), http.StatusOK, `"starting"`)
		assert.Equal(t, ready(), 2)
	})
	t.Run("refuses an old fencing number", func(t *testing.T) {
		assertCall(t, p, "orders", "POST", path, order("o2", 4, 9), http.StatusPreconditionFailed, `"Highest":5`)
	})
	t.Run("stops surplus endpoints", func(t *testing.T) {
		assertCall(t, p, "orders", "POST", path, order("o3", 5, 1), http.StatusOK, "")
		waitFor(t, func() bool { return ready() == 1 })
	})
	t.Run("records each order", func(t *testing.T) {
		verdicts := []string{}
		for _, received := range p.orders.Received() {
			verdicts = append(verdicts, received.Verdict)
		}
		assert.DeepEqual(t, verdicts, []string{"done", "repeated", "fenced", "done"})
	})
}

func TestReclaim(t *testing.T) {
	p := startPlatform(t)
	injectFault(t, p, `{"Target":"cheap/a","Kind":"reclaim","Delay":"20ms","Duration":"50ms"}`)
	state := func() string {
		_, text := call(t, p, "orders", "GET", "/v1/datacentres/a/endpoints", "")
		listed := struct {
			Endpoints []struct{ ID, State string }
		}{}
		if json.Unmarshal([]byte(text), &listed) != nil {
			return ""
		}
		for _, e := range listed.Endpoints {
			if e.ID == "a2" {
				return e.State
			}
		}
		return ""
	}
	waitFor(t, func() bool { return state() == "gone" })
	waitFor(t, func() bool { return state() == "ready" })
	assertCall(t, p, "orders", "GET", "/v1/datacentres/a/endpoints", "", http.StatusOK, `"ID":"a1"`)
}

func TestPlatformCalls(t *testing.T) {
	p := startPlatform(t)
	t.Run("refuses usage with different figures", func(t *testing.T) {
		report := `{"Shard":1,"Window":"2026-01-01T00:00:00Z","Reporter":"h","FencingNumber":1,"Figures":[{"Organisation":"o","Requests":%d}]}`
		assertCall(t, p, "usage", "POST", "/v1/usage", fmt.Sprintf(report, 1), http.StatusOK, "")
		assertCall(t, p, "usage", "POST", "/v1/usage", fmt.Sprintf(report, 1), http.StatusOK, "")
		assertCall(t, p, "usage", "POST", "/v1/usage", fmt.Sprintf(report, 2), http.StatusConflict, "differs")
	})
	t.Run("lists hosts", func(t *testing.T) {
		assertCall(t, p, "hosts", "GET", "/v1/hosts", "", http.StatusOK, `"h1"`)
	})
	t.Run("a cold service that is overrun crashes and starts again", func(t *testing.T) {
		for range 3 {
			assertCall(t, p, "service/frail", "POST", "/", "x", http.StatusOK, "Execution")
		}
		status, _ := call(t, p, "service/frail", "POST", "/", "x")
		assert.Equal(t, status, 0)
		status, _ = call(t, p, "service/frail", "POST", "/", "x")
		assert.Equal(t, status, 0, "it has crashed")
		poll.WaitOn(t, func(poll.LogT) poll.Result {
			if status, _ := call(t, p, "service/frail", "POST", "/", "x"); status == http.StatusOK {
				return poll.Success()
			}
			return poll.Continue("the service has not started again")
		}, poll.WithTimeout(5*time.Second))
	})
	t.Run("a plain service counts executions", func(t *testing.T) {
		assertCall(t, p, "service/desk", "POST", "/hires/1", "x", http.StatusOK, `"Execution":1`)
		assertCall(t, p, "service/desk", "POST", "/hires/1", "x", http.StatusOK, `"Execution":2`)
		assertCall(t, p, "control", "GET", "/control/state?executions=repeated", "", http.StatusOK, `"ByKey":{"k1":2}`)
	})
	t.Run("the weight store limits loads", func(t *testing.T) {
		order := `{"OrderID":"e%d","FencingNumber":1,"Load":[{"Model":"m%d"}]}`
		assertCall(t, p, "engine/a1", "POST", "/v1/orders", fmt.Sprintf(order, 1, 1), http.StatusOK, "e1")
		assertCall(t, p, "engine/a1", "POST", "/v1/orders", fmt.Sprintf(order, 2, 2), http.StatusTooManyRequests, "weights_limited")
	})
	t.Run("an engine refuses an old fencing number", func(t *testing.T) {
		assertCall(t, p, "engine/a1", "POST", "/v1/orders", `{"OrderID":"e0","FencingNumber":0}`, http.StatusPreconditionFailed, "fenced")
	})
}

func TestCrashClosesStreams(t *testing.T) {
	p := startPlatform(t)
	response, err := http.Post("http://"+p.addresses["engine/a1"]+"/v1/completions", "application/json",
		strings.NewReader(`{"model":"small","prompt":"x [[tokens=30000]]","stream":true}`))
	assert.NilError(t, err)
	defer response.Body.Close()
	first := make([]byte, 1)
	_, err = io.ReadFull(response.Body, first)
	assert.NilError(t, err)
	injectFault(t, p, `{"Target":"engine/a1","Kind":"crash","Duration":"50ms"}`)
	_, err = io.ReadAll(response.Body)
	assert.Assert(t, err != nil)
	waitFor(t, func() bool {
		status, text := call(t, p, "engine/a1", "POST", "/v1/completions", `{"model":"small","prompt":"again","max_tokens":1}`)
		return status == http.StatusOK && strings.Contains(text, engine.Token(engine.Hash("again"), 0))
	})
}
