package peer

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/arbutuswinch/winch"
)

// TestRequestsDoNotWaitForAChange guards against requests that wait while a configuration of many keys is put in force.
func TestRequestsDoNotWaitForAChange(t *testing.T) {
	p := newPair(t)
	p.commit(t, keyNote("k"))
	p.readLog(t)
	p.hub.mu.Lock()
	defer p.hub.unlock()
	answered := make(chan struct{})
	go func() {
		defer close(answered)
		_, err := p.hub.Authorize(start, winch.HashKey("k"))
		assert.Check(t, err)
		assert.Check(t, p.hub.Authority(start) == winch.AuthorityFull)
		assert.Check(t, p.hub.Current().Revision == 1)
		assert.Check(t, p.hub.Accepted() == 0)
	}()
	select {
	case <-answered:
	case <-time.After(5 * time.Second):
		t.Fatal("requests wait for the lock that a change holds")
	}
}

// TestChangedIsClosedAfterTheChangeIsVisible guards against a reader that is told of a change and still finds the configuration before it.
func TestChangedIsClosedAfterTheChangeIsVisible(t *testing.T) {
	p := newPair(t)
	for revision := range winch.Revision(200) {
		changed := p.hub.Changed()
		p.commit(t, winch.Note{ID: "n"})
		seen := make(chan winch.Revision)
		go func() {
			<-changed
			seen <- p.hub.Current().Revision
		}()
		p.readLog(t)
		assert.Equal(t, <-seen, revision+1)
	}
}

// TestKeysAreIndexedOnceForChangesOfOtherItems guards against an index of all keys that each change builds again.
func TestKeysAreIndexedOnceForChangesOfOtherItems(t *testing.T) {
	s := newState(defaultLimits(), start)
	s.replaceIfNewer(start, largeConfiguration(), nil)
	indexed := &s.sortedKeys[0]
	apply := func(note winch.Note) {
		s.applyRecords(start, []winch.ReleaseRecord{{Revision: s.current.Revision + 1, Note: note}})
	}
	t.Run("endpoint withdrawn", func(t *testing.T) {
		apply(winch.Note{ID: "n", Withdrawn: winch.ItemIDs{Endpoints: []winch.EndpointID{"endpoint-1"}}})
		assert.Equal(t, s.current.Revision, winch.Revision(2))
		assert.Equal(t, &s.sortedKeys[0], indexed)
	})
	t.Run("key withdrawn", func(t *testing.T) {
		apply(withdrawNote("key-1-1"))
		_, found := s.findKey(winch.HashKey("key-1-1"))
		assert.Assert(t, !found)
	})
	t.Run("key withdrawn and endpoint added by several records", func(t *testing.T) {
		s.applyRecords(start, []winch.ReleaseRecord{
			{Revision: s.current.Revision + 1, Note: withdrawNote("key-2-1")},
			{Revision: s.current.Revision + 2, Note: winch.Note{ID: "n", Added: winch.Items{Endpoints: []winch.Endpoint{{ID: "new"}}}}},
		})
		_, found := s.findKey(winch.HashKey("key-2-1"))
		assert.Assert(t, !found)
		assert.Equal(t, len(s.sortedKeys), len(s.current.Keys))
	})
	t.Run("snapshot", func(t *testing.T) {
		next := largeConfiguration()
		next.Revision = s.current.Revision + 1
		delete(next.Keys, "key-3-1")
		s.replaceIfNewer(start, next, nil)
		_, found := s.findKey(winch.HashKey("key-3-1"))
		assert.Assert(t, !found)
		_, found = s.findKey(winch.HashKey("key-2-1"))
		assert.Assert(t, found)
	})
}
