package endpoint

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/arbutuswinch/winch"
)

type fixedOrders struct{ list []winch.OrderedEndpoint }

func (f fixedOrders) Current() []winch.OrderedEndpoint { return f.list }
func (f fixedOrders) Changed() <-chan struct{}         { return nil }

func TestOrdered(t *testing.T) {
	configuration := &winch.Configuration{Pools: map[winch.PoolID]winch.Pool{
		"p": {ID: "p", Model: chat, Classes: []winch.ClassID{interactive}, SlotLimit: 7, Cost: 3},
	}}
	source := OrderedSource{Configurations: fixedConfigurations{configuration}, Orders: fixedOrders{list: []winch.OrderedEndpoint{
		{ID: "e1", DataCentre: "a", Pool: "p", Supply: winch.SupplyCheap, State: winch.EndpointReady},
		{ID: "e2", Pool: "p", State: winch.EndpointGone},
		{ID: "e3", Pool: "unknown", State: winch.EndpointReady},
	}}}
	statuses := source.Endpoints()
	t.Run("omits endpoints that are gone or whose pool is not configured", func(t *testing.T) { assert.Equal(t, len(statuses), 1) })
	t.Run("takes the other properties from the pool", func(t *testing.T) {
		spec := statuses[0].Endpoint
		assert.Equal(t, spec.SlotLimit, 7)
		assert.DeepEqual(t, spec.Models, []winch.ModelID{chat})
		assert.DeepEqual(t, spec.Classes, []winch.ClassID{interactive})
		assert.Equal(t, spec.Supply, winch.SupplyCheap)
	})
}
