package connlimit

import (
	"cmp"
	"slices"
	"time"
)

// activity is what a connection is doing.
type activity int32

// The activities of a connection, in the order in which connections are ended to make room for others.
const (
	// waiting: no head of a request has arrived in full yet.
	waiting activity = iota
	// idle: a request was served, and the next one has not begun.
	idle
	// slowBody: the server waits for the body of a request.
	slowBody
	// slowReader: the server waits for the client to read a response.
	slowReader
	// working: the server works on a request and does not wait for the client.
	working
)

const (
	// keptIdle is the idle time up to which connections are ended only one at a time. Clients reuse connections that were idle for up
	// to four fifths of the usual timeout of 15 s.
	keptIdle = 12 * time.Second
	// slowTime is how long a read or write must have been waiting for the client before the connection may be ended to make room.
	slowTime = 2 * time.Second
	// batchShare is the part of the maximum number of connections, as a divisor, that is ended at once. Ending several at a time
	// is cheaper, since each choice looks at all connections.
	batchShare = 32
)

// candidate is a connection that could be ended.
type candidate struct {
	conn     *conn
	activity activity
	// since is when the activity began, in nanoseconds since the Unix epoch.
	since int64
}

// choose returns the connections to end in order to make room, where limit is the maximum number of open connections. It orders them
// by activity and then by age, and returns at most limit/batchShare of them. Connections that are idle for less than keptIdle or whose
// client makes slow progress with a request are returned one at a time. A connection on whose request the server works is never
// returned.
func choose(candidates []candidate, now int64, limit int) []candidate {
	eligible := candidates[:0]
	for _, c := range candidates {
		if c.activity < slowBody || c.activity < working && now-c.since >= int64(slowTime) {
			eligible = append(eligible, c)
		}
	}
	slices.SortFunc(eligible, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(a.activity, b.activity), cmp.Compare(a.since, b.since))
	})
	batch := max(1, limit/batchShare)
	for i, c := range eligible {
		if i == batch || i > 0 && (c.activity > idle || c.activity == idle && now-c.since < int64(keptIdle)) {
			return eligible[:i]
		}
	}
	return eligible
}
