package endpoint

import (
	"slices"
	"time"

	"github.com/arbutuswinch/winch"
)

const (
	// hostRetention is how long a host that is not heard of counts as a user of its parts of shared rates. It may be partitioned
	// from this host and still send.
	hostRetention = 10 * time.Minute
	// maxHostRetention is the same while fewer than half of the known hosts are alive. Without it, hosts that come back under new names would
	// add up, and the parts of all shrink.
	maxHostRetention = 2 * time.Hour
	// joinTime is how long a host uses no part of a shared rate after it has heard of the first other host. By then all hosts know of it,
	// and it knows all others.
	joinTime = 3 * time.Second
	// aloneTime is how long a host that has heard of no other one uses no part of a shared rate. It is longer than the interval at which
	// the list of hosts is read.
	aloneTime = 10 * time.Second
)

// knownHosts holds the hosts that may send to the same endpoints, including those that are not heard of at present. The zero value, that of
// a host which is told of no members, is settled.
type knownHosts struct {
	heardAt map[winch.HostID]time.Time
	ids     []winch.HostID // sorted
	// version changes with ids.
	version int
	// startedAt is when the first members were told, and joinedAt when another host was first among them.
	startedAt, joinedAt time.Time
}

// update applies the hosts that are alive. A host that was not heard of for hostRetention is forgotten, but only if most of the
// known hosts are alive: otherwise this host may be the one that is partitioned, and keeps them for maxHostRetention.
func (k *knownHosts) update(now time.Time, self winch.HostID, alive []winch.Host) {
	if k.heardAt == nil {
		k.heardAt, k.startedAt = map[winch.HostID]time.Time{}, now
	}
	for _, host := range alive {
		k.heardAt[host.ID] = now
		if host.ID != self && k.joinedAt.IsZero() {
			k.joinedAt = now
		}
	}
	k.heardAt[self] = now
	retention := maxHostRetention
	if 2*len(alive) > len(k.heardAt) {
		retention = hostRetention
	}
	for id, at := range k.heardAt {
		if now.Sub(at) > retention {
			delete(k.heardAt, id)
		}
	}
	ids := make([]winch.HostID, 0, len(k.heardAt))
	for id := range k.heardAt {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	if !slices.Equal(ids, k.ids) {
		k.ids = ids
		k.version++
	}
}

// settled reports whether this host may use its parts of shared rates.
func (k *knownHosts) settled(now time.Time) bool {
	switch {
	case k.heardAt == nil:
		return true
	case k.joinedAt.IsZero():
		return now.Sub(k.startedAt) >= aloneTime
	}
	return now.Sub(k.joinedAt) >= joinTime
}

// sharingVersion returns a number that changes with the hosts among which rates are shared; negative while this host uses no part.
func (k *knownHosts) sharingVersion(now time.Time) int {
	if !k.settled(now) {
		return -1
	}
	return k.version
}
