package billing

import (
	"slices"
	"time"

	"github.com/arbutuswinch/winch"
	"github.com/arbutuswinch/winch/usage"
)

// awaited are hosts, with the time of the windows at which each was last known alive.
// A host that is only cut off goes on counting, so it is not forgotten at once.
type lastSeen map[winch.HostID]time.Time

// see takes in which hosts are alive. The membership goes by now, the windows by their own time.
func (l lastSeen) update(membership winch.Membership, now, windowTime time.Time) {
	if membership == nil {
		return
	}
	for _, dataCentre := range membership.DataCentres() {
		for _, host := range membership.Hosts(now, dataCentre) {
			l[host.ID] = windowTime
		}
	}
}

// missing returns the hosts that were alive at since or later and are not among the
// complete ones, sorted. It forgets those that were not.
func (l lastSeen) missing(since time.Time, complete usage.HostSet) []winch.HostID {
	missing := []winch.HostID{}
	for host, seenAt := range l {
		switch {
		case seenAt.Before(since):
			delete(l, host)
		case !complete[host]:
			missing = append(missing, host)
		}
	}
	slices.Sort(missing)
	return missing
}
