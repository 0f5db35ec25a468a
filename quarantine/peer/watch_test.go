package peer

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"

	"github.com/arbutuswinch/winch"
)

// fakeStarts answers with startedAt from the time at which the endpoints are reachable.
type fakeStarts struct {
	startedAt time.Time
	reachable time.Time
}

func (f *fakeStarts) StartedAt(context.Context, winch.Endpoint) (time.Time, error) {
	if time.Now().Before(f.reachable) {
		return time.Time{}, winch.ErrUnavailable
	}
	return f.startedAt, nil
}

func TestPartIsSentAgainWhenItsEndpointsTurnOutToRunOn(t *testing.T) {
	listed := time.UnixMilli(500)
	for name, c := range map[string]struct {
		starts fakeStarts
		held   bool
	}{
		"the same run":          {starts: fakeStarts{startedAt: listed}, held: false},
		"started again":         {starts: fakeStarts{startedAt: listed.Add(time.Hour)}, held: true},
		"does not tell a start": {starts: fakeStarts{}, held: true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c.starts.reachable = time.Now().Add(3 * time.Second)
				f := &fakeDependencies{refuses: true}
				for i := range 5 {
					f.endpoints = append(f.endpoints, winch.EndpointStatus{Endpoint: endpoint(i), State: winch.EndpointReady, StartedAt: listed})
				}
				g, err := New(Options{Membership: f, Endpoints: f, Prober: f, Starts: &c.starts, Clock: f, Logger: hclog.NewNullLogger()})
				assert.NilError(t, err)
				for i := range 4 {
					at := start.Add(time.Duration(i) * time.Second)
					g.ObserveBreak(at, at.Add(-100*time.Millisecond), endpoint(i), request(string(rune('a'+i)), deadly))
				}
				time.Sleep(2 * time.Second)
				assert.Equal(t, len(g.Holds()), 1, "while the endpoints are out of reach")
				time.Sleep(askFor)
				assert.Equal(t, len(g.Holds()) == 1, c.held)
			})
		})
	}
}
