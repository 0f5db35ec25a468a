package billing

import (
	"slices"
	"time"

	"github.com/arbutuswinch/winch"
	"github.com/arbutuswinch/winch/usage"
)

// awaited are hosts, with the time of the windows at which each was last known alive.
// A host that is only cut off goes on counting, so it is not forgotten at once.
type awaited map[winch.HostID]time.Time

// see takes in which hosts are alive. The membership goes by now, the windows by their own time.
func (a awaited) see(membership winch.Membership, now, windows time.Time) {
	if membership == nil {
		return
	}
	for _, centre := range membership.DataCentres() {
		for _, host := range membership.Hosts(now, centre) {
			a[host.ID] = windows
		}
	}
}

// missing returns the hosts that were alive at since or later and are not among the
// complete ones, sorted. It forgets those that were not.
func (a awaited) missing(since time.Time, complete usage.Hosts) []winch.HostID {
	missing := []winch.HostID{}
	for host, seen := range a {
		switch {
		case seen.Before(since):
			delete(a, host)
		case !complete[host]:
			missing = append(missing, host)
		}
	}
	slices.Sort(missing)
	return missing
}
