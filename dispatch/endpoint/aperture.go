package endpoint

import (
	"slices"

	"github.com/arbutuswinch/winch"
)

// aperture returns the indices, on a ring of count endpoints, that the host of the given rank
// uses. The hosts' arcs start at even distances, so that every endpoint is used by about the
// same number of hosts. All endpoints are used if size is at least count.
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

// setSubset selects the lane's endpoints that this host uses.
func (c *core) setSubset(l *lane) {
	if l.aperture < c.settings.Aperture {
		l.aperture = c.settings.Aperture
	}
	if len(l.endpoints) <= l.aperture || c.hosts <= 1 {
		l.subset = l.endpoints
		return
	}
	l.subset = c.apertureOf(l.ring, c.rank, l.aperture)
}

// apertureOf returns the endpoints of the ring that the host of the given rank uses.
func (c *core) apertureOf(ring []*endpoint, rank, size int) []*endpoint {
	// Each endpoint must be used by some host, so an arc is at least as long as the distance between the
	// starts of two neighbouring arcs.
	size = max(size, (len(ring)+c.hosts-1)/c.hosts)
	arc := make([]*endpoint, 0, size)
	for _, place := range aperture(len(ring), rank, c.hosts, size) {
		arc = append(arc, ring[place])
	}
	return arc
}

// restrictEndpoints removes from a host's summary the endpoints that are outside its aperture and on which it runs nothing, so
// that the summary does not grow with the size of the data centre.
func (c *core) restrictEndpoints(sum *sharedStats, to winch.HostID) {
	rank := slices.Index(c.hostIDs, to)
	if rank < 0 || len(sum.endpoints) <= c.settings.Aperture {
		return
	}
	size := max(c.settings.Aperture, c.hub.reports[to].stats.aperture)
	used := map[winch.EndpointID]endpointStats{}
	for id := range c.hub.reports[to].stats.endpoints {
		if stats, found := sum.endpoints[id]; found {
			used[id] = stats
		}
	}
	for _, set := range c.endpointSets {
		endpoints := set.endpoints
		if len(endpoints) > size {
			endpoints = c.apertureOf(set.ring, rank, size)
		}
		for _, e := range endpoints {
			if stats, found := sum.endpoints[e.spec.ID]; found {
				used[e.spec.ID] = stats
			}
		}
	}
	sum.endpoints = used
}

// adjustAperture doubles the lane's aperture while requests are at risk of missing their target, and
// halves it while none are queued.
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
