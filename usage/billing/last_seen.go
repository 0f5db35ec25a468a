package billing

import (
	"slices"
	"time"

	"github.com/arbutuswinch/winch"
	"github.com/arbutuswinch/winch/usage"
)

// lastSeen holds for each host when it was last seen alive, in window time: the time by the
// clock that assigns usage to windows. A host that cannot be reached may go on counting, so it
// is not removed as soon as it disappears.
type lastSeen map[winch.HostID]time.Time

// update records windowTime for the hosts that are alive according to the membership at now.
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

// missing returns, sorted, the hosts that were alive at or after since and are not in complete.
// It removes the hosts that were last alive before since, so a later call with an earlier time
// does not return them.
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
