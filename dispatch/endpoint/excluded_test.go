package endpoint

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/arbutuswinch/winch"
)

func TestServiceCallWaitsNoLongerThanItsClass(t *testing.T) {
	tc := newTestCore(&winch.Configuration{
		Revision: 1,
		Classes:  map[winch.ClassID]winch.Class{interactive: {ID: interactive, Tier: 1, FirstTokenTarget: time.Second, MaxWait: 3 * time.Second, QueueLimit: 100}},
		Routes:   map[winch.RouteID]winch.Route{"hire": {ID: "hire", Class: interactive}},
		Endpoints: map[winch.EndpointID]winch.Endpoint{
			"desk": {ID: "desk", DataCentre: "a", Kind: winch.EndpointService, Routes: []winch.RouteID{"hire"}, Classes: []winch.ClassID{interactive}, SlotLimit: 4},
		},
	})
	work := winch.Work{Request: "r1", Organisation: "depot", Class: interactive, Route: "hire", Deadline: tc.now.Add(5 * time.Minute)}
	tc.release(tc.now, tc.arrive(tc.now, work, nil, &progress{}), winch.OutcomeUnsent)
	work.Excluded = []winch.EndpointID{"desk"}
	again := tc.arrive(tc.now, work, nil, &progress{})
	assert.Equal(t, again.state, requestQueued)
	tc.advance(3200 * time.Millisecond)
	assert.Equal(t, tc.count(effectRefused), 1)
}

// A request that another data centre handed over (LocalOnly) is refused when all endpoints are excluded, so
// that the other data centre can choose again. Other requests are queued, as in the test above.
func TestHandedOverWithoutEndpoint(t *testing.T) {
	tc := newTestCore(twoClasses(1, 4))
	work := workOf(interactive, 1)
	work.LocalOnly, work.Deadline = true, tc.now.Add(5*time.Minute)
	tc.release(tc.now, tc.arrive(tc.now, work, nil, &progress{}), winch.OutcomeFailed)
	work.Excluded = []winch.EndpointID{tc.onlyEndpoint().spec.ID}
	tc.arrive(tc.now, work, nil, &progress{})
	assert.Equal(t, tc.count(effectRefused), 1)
}
