package connlimit

import (
	"cmp"
	"slices"
	"time"
)

// activity is what a connection does.
type activity int32

// The activities of a connection, in the order in which connections are ended to make room for others.
const (
	// waiting: it has had no request yet, or only part of a head.
	waiting activity = iota
	// idle: it waits for another request.
	idle
	// slowBody: the server waits for the body of a request.
	slowBody
	// slowReader: the server waits until the client reads a response.
	slowReader
	// working: the server works on a request.
	working
)

const (
	// keptIdle is how long a connection that has had a request is spared if others are idle for longer. Clients reuse connections
	// that were idle for four fifths of the usual 15 s.
	keptIdle = 12 * time.Second
	// slowTime is how long a connection has made too little progress before it is ended to make room for others.
	slowTime = 2 * time.Second
	// batchShare is the divisor of the maximum number of connections that are ended at once, since a choice looks at all of them.
	batchShare = 32
)

// candidate is a connection that could be ended.
type candidate struct {
	conn     *conn
	activity activity
	// since is when the activity began, in nanoseconds.
	since int64
}

// choose returns the connections that are ended to make room, of at most limit: those that wait for their first request before
// those that have had one, and the oldest first. Of connections that make slow progress with a request, it returns one; it
// never returns one with a request on which the server works. Connections idle for less than keptIdle are ended one at a time
// as well.
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
