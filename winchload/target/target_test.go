package target

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/arbutuswinch/winch/winchload/control"
	"github.com/arbutuswinch/winch/winchload/experiment"
)

func TestBalancer(t *testing.T) {
	status := http.StatusServiceUnavailable
	health := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(status) }))
	defer health.Close()
	balancer := NewBalancer([]Host{{Address: "a"}, {Address: "b", Health: strings.TrimPrefix(health.URL, "http://")}})
	picked := func() map[string]int {
		counts := map[string]int{}
		for range 4 {
			picked, _ := balancer.Pick(experiment.Request{Class: &experiment.Class{Route: "r"}}, 0)
			counts[picked.Address]++
		}
		return counts
	}
	t.Run("takes turns", func(t *testing.T) { assert.DeepEqual(t, picked(), map[string]int{"a": 2, "b": 2}) })
	t.Run("leaves out a host that is not ready", func(t *testing.T) {
		balancer.checkReadiness(context.Background(), http.DefaultClient, 1)
		assert.DeepEqual(t, picked(), map[string]int{"a": 4})
	})
	t.Run("takes it in again", func(t *testing.T) {
		status = http.StatusOK
		balancer.checkReadiness(context.Background(), http.DefaultClient, 1)
		assert.DeepEqual(t, picked(), map[string]int{"a": 2, "b": 2})
	})
}

func TestEndpoints(t *testing.T) {
	exp := experiment.Experiment{Classes: []experiment.Class{{ID: "c", Model: "m"}}}
	request := experiment.Request{Class: &exp.Classes[0]}
	state := control.State{Endpoints: []control.Endpoint{
		{ID: "1", Kind: "engine", Model: "m", Address: "a", State: "ready"},
		{ID: "2", Kind: "engine", Model: "m", Address: "b", State: "ready"},
		{ID: "3", Kind: "engine", Model: "m", Address: "c", State: "gone"},
	}}
	picker, err := NewEndpoints(exp, state)
	assert.NilError(t, err)
	first, _ := picker.Pick(request, 0)
	second, _ := picker.Pick(request, 0)
	assert.Equal(t, first.Address+second.Address, "ab")
	second.Done()
	third, _ := picker.Pick(request, 0)
	assert.Equal(t, third.Address, "b")
	_, err = NewEndpoints(exp, control.State{})
	assert.ErrorContains(t, err, "class c")
}
