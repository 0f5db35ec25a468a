package endpoint

import "sort"

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

// setSubset fills the part of the lane's endpoints that this host uses. The ring is
// in the order of the endpoints' hashes, so that it does not follow their names.
func (c *core) setSubset(l *lane) {
	if l.aperture < c.settings.Aperture {
		l.aperture = c.settings.Aperture
	}
	if len(l.endpoints) <= l.aperture || c.hosts <= 1 {
		l.subset = l.endpoints
		return
	}
	ring := append([]*endpoint(nil), l.endpoints...)
	sort.Slice(ring, func(i, j int) bool { return ring[i].hash < ring[j].hash })
	// Each endpoint must be used by some host, so an arc is no shorter than the distance between hosts.
	size := max(l.aperture, (len(ring)+c.hosts-1)/c.hosts)
	l.subset = nil
	for _, place := range aperture(len(ring), c.rank, c.hosts, size) {
		l.subset = append(l.subset, ring[place])
	}
}

// widen doubles the lane's part of the endpoints while requests are at risk, and
// halves it when none wait.
func (c *core) widen(l *lane, atRisk bool) {
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
