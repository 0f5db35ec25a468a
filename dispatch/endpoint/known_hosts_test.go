package endpoint

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/arbutuswinch/winch"
)

func TestKnownHosts(t *testing.T) {
	alive := func(ids ...winch.HostID) []winch.Host {
		hosts := make([]winch.Host, 0, len(ids))
		for _, id := range ids {
			hosts = append(hosts, winch.Host{ID: id})
		}
		return hosts
	}
	now := time.Unix(1000, 0)
	t.Run("settle once others had time to know of this host", func(t *testing.T) {
		k := knownHosts{}
		assert.Assert(t, k.settled(now), "a host without members")
		k.update(now, "a", alive("a"))
		assert.Assert(t, !k.settled(now.Add(joinTime)) && k.settled(now.Add(aloneTime)))
		k.update(now.Add(time.Second), "a", alive("a", "b"))
		assert.Assert(t, !k.settled(now.Add(joinTime)) && k.settled(now.Add(joinTime+time.Second)))
	})
	t.Run("stay while they are not heard of", func(t *testing.T) {
		k := knownHosts{}
		k.update(now, "a", alive("a", "b", "c"))
		k.update(now.Add(hostRetention), "a", alive("a", "b"))
		assert.DeepEqual(t, k.ids, []winch.HostID{"a", "b", "c"})
		version := k.version
		k.update(now.Add(hostRetention+time.Second), "a", alive("a", "b"))
		assert.DeepEqual(t, k.ids, []winch.HostID{"a", "b"})
		assert.Assert(t, k.version != version)
	})
	t.Run("are forgotten at last, although names come and go", func(t *testing.T) {
		k := knownHosts{}
		for i := range 40 {
			k.update(now.Add(time.Duration(i)*maxHostRetention/4), "a", alive("a", winch.HostID(fmt.Sprint("b", i))))
		}
		assert.Assert(t, len(k.ids) <= 6, "%d hosts known", len(k.ids))
	})
	t.Run("stay for long for a host that may be cut off", func(t *testing.T) {
		k := knownHosts{}
		k.update(now, "a", alive("a", "b"))
		k.update(now.Add(2*hostRetention), "a", alive("a"))
		assert.DeepEqual(t, k.ids, []winch.HostID{"a", "b"})
	})
}
