package connlimit

import "bytes"

const (
	// fieldCost is the memory in bytes of one header field besides its bytes: entries in two maps, since some handlers copy the
	// fields, and the values' headers and allocations.
	fieldCost = 256
	// includedHead is the part of a head's cost that ConnectionCost covers.
	includedHead = 8 << 10
	// headStep is the number of bytes by which the charge of a head grows at least.
	headStep = 8 << 10
	// readerSize is the size of the buffer with which net/http reads, in bytes. What it holds after a request belongs to the next one.
	readerSize = 4 << 10
)

// headMeter adds up what the head of a request costs in memory.
type headMeter struct {
	cost int64
	// buffered is the cost of the last bytes that were read, part of which may belong to the next request.
	buffered int64
}

// add adds bytes of a head. Each line counts as a field.
func (m *headMeter) add(data []byte) {
	m.buffered = costOf(data)
	m.cost += m.buffered
}

// skip notes bytes of a body.
func (m *headMeter) skip(data []byte) {
	m.buffered = 0
	if len(data) <= readerSize {
		m.buffered = costOf(data)
	}
}

// restart begins the head of another request.
func (m *headMeter) restart() { m.cost = m.buffered }

// beyond returns the part of the cost that ConnectionCost does not cover, in whole steps.
func (m *headMeter) beyond() int64 {
	if m.cost <= includedHead {
		return 0
	}
	return (m.cost - includedHead + headStep - 1) / headStep * headStep
}

func costOf(data []byte) int64 {
	return int64(len(data)) + int64(bytes.Count(data, []byte{'\n'}))*fieldCost
}
