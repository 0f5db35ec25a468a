package endpoint

import (
	"slices"
	"sort"

	"github.com/arbutuswinch/winch"
)

// aperture returns the places, on a ring of count endpoints, that the host of the
// given rank uses. The arcs of the hosts are spread evenly, so that every endpoint
// is used by about as many hosts as any other. All are used when size is not less than count.
func aperture(count, rank, hosts, size int) []int {
	if size >= count || hosts <= 1 {
		size = count
	}
	places := make([]int, 0, size)
	start := rank * count / max(1, hosts)
	for i := range size {
		places = append(places, (start+i)%count)
	}
	return places
}

// setSubset fills the part of the lane's endpoints that this host uses.
func (c *core) setSubset(l *lane) {
	if l.aperture < c.settings.Aperture {
		l.aperture = c.settings.Aperture
	}
	if len(l.endpoints) <= l.aperture || c.hosts <= 1 {
		l.subset = l.endpoints
		return
	}
	l.subset = c.apertureOf(l, c.rank, l.aperture)
}

// apertureOf returns the lane's endpoints for the host of the given rank.
func (c *core) apertureOf(l *lane, rank, size int) []*endpoint {
	// Each endpoint must be used by some host, so an arc is no shorter than the distance between hosts.
	size = max(size, (len(l.ring)+c.hosts-1)/c.hosts)
	arc := make([]*endpoint, 0, size)
	for _, place := range aperture(len(l.ring), rank, c.hosts, size) {
		arc = append(arc, l.ring[place])
	}
	return arc
}

// setRing orders the lane's endpoints by their hashes, so that arcs do not follow their names.
func (l *lane) setRing() {
	l.ring = append(l.ring[:0], l.endpoints...)
	sort.Slice(l.ring, func(i, j int) bool { return l.ring[i].hash < l.ring[j].hash })
}

// restrictEndpoints leaves in the figures for a host only the endpoints that it uses, so that
// what hosts are told does not grow with the data centre.
func (c *core) restrictEndpoints(sum *sharedStats, to winch.HostID) {
	rank := slices.Index(c.hostIDs, to)
	if rank < 0 || len(sum.endpoints) <= c.settings.Aperture {
		return
	}
	size := max(c.settings.Aperture, c.hub.reports[to].stats.aperture)
	used := map[winch.EndpointID]endpointStats{}
	for _, l := range c.sortedLanes {
		endpoints := l.endpoints
		if len(endpoints) > size {
			endpoints = c.apertureOf(l, rank, size)
		}
		for _, e := range endpoints {
			if stats, found := sum.endpoints[e.spec.ID]; found {
				used[e.spec.ID] = stats
			}
		}
	}
	sum.endpoints = used
}

// adjustAperture doubles the lane's part of the endpoints while requests are at risk, and
// halves it when none wait.
func (c *core) adjustAperture(l *lane, atRisk bool) {
	if len(l.endpoints) <= c.settings.Aperture || c.hosts <= 1 {
		return
	}
	before := l.aperture
	if atRisk && l.aperture < len(l.endpoints) {
		l.aperture *= 2
	} else if l.queued == 0 && l.aperture/2 >= c.settings.Aperture {
		l.aperture /= 2
	}
	if l.aperture != before {
		c.setSubset(l)
	}
}
