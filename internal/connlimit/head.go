package connlimit

import "bytes"

const (
	// fieldCost is the memory in bytes of one header field besides its text: entries in two maps, since some handlers copy the
	// header, and the slices and strings of the values.
	fieldCost = 256
	// includedHead is the part in bytes of a head's cost that ConnectionCost covers.
	includedHead = 8 << 10
	// headStep is the number of bytes to whose multiples the charge of a head is rounded up.
	headStep = 8 << 10
	// readerSize is the size in bytes of the buffer through which net/http reads. What is left in it after a request belongs to the
	// next one.
	readerSize = 4 << 10
)

// headMeter estimates the memory of the head of a request.
type headMeter struct {
	// cost is the estimate in bytes.
	cost int64
	// buffered is the cost in bytes of the last read, part of which may belong to the next request.
	buffered int64
}

// add adds bytes of a head.
func (m *headMeter) add(data []byte) {
	m.buffered = costOf(data)
	m.cost += m.buffered
}

// skip records bytes of a body. If they fit into the buffer of net/http, its end may belong to the next head.
func (m *headMeter) skip(data []byte) {
	m.buffered = 0
	if len(data) <= readerSize {
		m.buffered = costOf(data)
	}
}

// restart begins the head of the next request.
func (m *headMeter) restart() { m.cost = m.buffered }

// beyond returns the part of the cost in bytes that ConnectionCost does not cover, rounded up to whole steps.
func (m *headMeter) beyond() int64 {
	if m.cost <= includedHead {
		return 0
	}
	return (m.cost - includedHead + headStep - 1) / headStep * headStep
}

// costOf returns the memory in bytes of a part of a head, each line of which counts as a field.
func costOf(data []byte) int64 {
	return int64(len(data)) + int64(bytes.Count(data, []byte{'\n'}))*fieldCost
}
