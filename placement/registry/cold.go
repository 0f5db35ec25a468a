package registry

import (
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/arbutuswinch/winch"
)

// Entries state for how long endpoints stay cold, so that hosts which read the same entry at different times compute different ends. Small
// differences do not count as a change of the list. The hash of a list therefore does not cover the ends but a mark of them, which the host
// that read the list computes and the others pass on unchanged. A new mark makes a host send its list.

const (
	// coldTolerance is the difference below which two cold ends count as equal. Entries are read up to a poll interval after they
	// were written.
	coldTolerance = 700 * time.Millisecond
	// maxColdMS bounds the times that other hosts send, in milliseconds. Larger ones could overflow a time.Duration.
	maxColdMS = int64(time.Hour / time.Millisecond)
)

// equalCold reports whether two entries agree on whether and until when the endpoint is cold.
func equalCold(a, b winch.EndpointStatus) bool {
	return a.ColdStated == b.ColdStated && a.ColdUntil.IsZero() == b.ColdUntil.IsZero() && a.ColdUntil.Sub(b.ColdUntil).Abs() < coldTolerance
}

// keepColdEnds replaces cold ends that differ by less than coldTolerance from those of the previous list by the previous ones, so that they
// do not drift. Both lists are sorted by ID.
func keepColdEnds(previous, statuses []winch.EndpointStatus) {
	at := 0
	for i := range statuses {
		status := &statuses[i]
		for at < len(previous) && previous[at].Endpoint.ID < status.Endpoint.ID {
			at++
		}
		if at < len(previous) && previous[at].Endpoint.ID == status.Endpoint.ID && equalCold(previous[at], *status) {
			status.ColdUntil = previous[at].ColdUntil
		}
	}
}

// coldMarkOf returns the hash of the list's cold ends, zero if no endpoint is cold.
func coldMarkOf(statuses []winch.EndpointStatus) uint64 {
	digest, cold := xxhash.New(), false
	for _, status := range statuses {
		if status.ColdUntil.IsZero() {
			continue
		}
		cold = true
		// Writing to a digest cannot fail.
		_, _ = fmt.Fprintf(digest, "%q%d\n", status.Endpoint.ID, status.ColdUntil.UnixNano())
	}
	if !cold {
		return 0
	}
	return max(digest.Sum64(), 1)
}

// addColdMark returns the hash of a list, extended by the mark. Without a mark it is unchanged, as hosts of earlier versions compute it.
func addColdMark(hash, mark uint64) uint64 {
	if mark == 0 {
		return hash
	}
	return max(xxhash.Sum64String(fmt.Sprintf("%x %x", hash, mark)), 1)
}

// encodeCold returns the time in milliseconds until the endpoint is not cold any more, or zero.
func encodeCold(now time.Time, status winch.EndpointStatus) int64 {
	if status.ColdUntil.IsZero() {
		return 0
	}
	return max(0, status.ColdUntil.Sub(now).Milliseconds())
}
