package forwarder

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/arbutuswinch/winch"
	history "github.com/arbutuswinch/winch/origin/keyvalue"
)

func TestStreamIsNotJoinedFromTwoVersionsAfterAllHostsWereKilled(t *testing.T) {
	t.Parallel()
	const streams = 24
	f, hosts := startVersionedSystem(t, 4, "v1", "v1", "v1", "v1")
	waitFor(t, startLimit, "the versions to be saved", func() bool { return f.store.Has(history.Key) })
	counts, group, begun := &versionCounts{}, sync.WaitGroup{}, atomic.Int64{}
	ctx, cancel := context.WithTimeout(t.Context(), 2*streamTime)
	defer cancel()
	for i := range streams {
		group.Go(func() {
			s := &callerStream{count: 80}
			complete, _ := s.try(ctx, hosts[i%len(hosts)], func() { begun.Add(1) })
			for tries := i; !complete && ctx.Err() == nil; tries++ {
				<-time.After(100 * time.Millisecond)
				complete, _ = s.try(ctx, hosts[tries%len(hosts)], nil)
			}
			counts.add(s, complete)
		})
	}
	waitFor(t, startLimit, "all streams to begin", func() bool { return begun.Load() == streams })
	// The endpoints of the old version are gone from the list before any host starts again.
	for i, e := range f.engines {
		e.replace(winch.EndpointID(fmt.Sprintf("new-%d", i)), "v2", 0, 0)
	}
	killAll(hosts)
	startAll(hosts)
	group.Wait()
	assert.Equal(t, counts.sent, streams)
	counts.assertOneVersion(t)
	t.Run("while streams of the one version that serves now are taken up again", func(t *testing.T) {
		waitFor(t, startLimit+30*time.Second, "a stream to be taken up", func() bool { return takesUp(t.Context(), hosts[0], hosts[1]) })
	})
}
