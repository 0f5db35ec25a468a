package registry

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/arbutuswinch/winch"
)

const (
	// evacuationReadEvery is the number of readings of the list for each reading of the evacuations, which is a separate call to the store.
	evacuationReadEvery = 2
	// evacuationOrderWindow is the time within which the versions of two readings decide which is the older one. Their times do not, since
	// reads may take some seconds and overlap. A version that stays lower for longer is that of a restored store.
	evacuationOrderWindow = 3 * time.Second
	// maxEvacuated and maxCentreLength bound what is accepted from another host.
	maxEvacuated    = 1024
	maxCentreLength = 128
	// maxAgeMS bounds the ages that other hosts send. Larger ones could overflow into a time in the future.
	maxAgeMS = int64(365 * 24 * time.Hour / time.Millisecond)
)

// evacuationReading is the result of one reading of the evacuations. The zero value means that there was none.
type evacuationReading struct {
	winch.Evacuations
	// at is when the read began.
	at time.Time
}

// known reports whether there was a reading.
func (e evacuationReading) known() bool { return !e.at.IsZero() }

// supersedes reports whether the reading is newer than the other one.
func (e evacuationReading) supersedes(other evacuationReading) bool {
	if !e.known() || !other.known() {
		return e.known()
	}
	gap := e.at.Sub(other.at)
	if e.Version != other.Version && gap.Abs() < evacuationOrderWindow {
		return e.Version > other.Version
	}
	return gap >= 0
}

// after returns the reading, which supersedes the other one, with the later of the two times, so that the time never goes back.
func (e evacuationReading) after(other evacuationReading) evacuationReading {
	if other.at.After(e.at) {
		e.at = other.at
	}
	return e
}

// Evacuated returns the evacuated data centres, sorted. The result must not be modified.
func (f *Follower) Evacuated() []winch.DataCentreID {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.evacuations.DataCentres
}

// SetEvacuations replaces Options.Evacuations while the follower runs. If the lister is nil, no data centre counts as evacuated any more.
func (f *Follower) SetEvacuations(lister winch.EvacuationLister) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lister = lister
	if lister != nil || !f.evacuations.known() {
		return
	}
	logEvacuations(f.options.Logger.With("From", string(ownReading)), f.evacuations.Version, f.evacuations.DataCentres, nil)
	f.evacuations = evacuationReading{}
	f.updateHash()
	f.replaceCurrent(markEvacuated(f.current, nil))
}

// evacuationLister returns the lister of the evacuations, or nil if there is none.
func (f *Follower) evacuationLister() winch.EvacuationLister {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.lister
}

// evacuationsDue reports whether a reading of the list that begins at the given time includes the evacuations.
func (f *Follower) evacuationsDue(sent time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.lister == nil {
		return false
	}
	// Half an interval less, because the intervals between readings vary.
	return !f.evacuations.known() || sent.Sub(f.evacuations.at) >= f.options.PollEvery*evacuationReadEvery-f.options.PollEvery/2
}

// readEvacuations reads the evacuations beside the list, if they are due. The result is sent to the channel.
func (f *Follower) readEvacuations(ctx context.Context, sent time.Time) <-chan evacuationResult {
	results := make(chan evacuationResult, 1)
	lister := f.evacuationLister()
	if lister == nil || !f.evacuationsDue(sent) {
		results <- evacuationResult{}
		return results
	}
	go func() {
		listed, err := lister.ListEvacuations(ctx)
		if err != nil {
			results <- evacuationResult{err: fmt.Errorf("read evacuations: %w", err)}
			return
		}
		results <- evacuationResult{reading: evacuationReading{Evacuations: listed, at: sent}}
	}()
	return results
}

type evacuationResult struct {
	reading evacuationReading
	err     error
}

// lacksEvacuations reports whether a list must not be used because this host needs the evacuations, knows none yet, and the reading that
// came with the list has none either.
func (f *Follower) lacksEvacuations(read evacuationReading) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.lister != nil && !read.known() && !f.evacuations.known()
}

// replacesRead returns as of when a relayed reading replaces a read of this host. That is when the list was read, or earlier if the
// evacuations are older than a hub that can read them would send. It is zero if the reading lacks evacuations that this host needs. It is
// called with the lock.
func (f *Follower) replacesRead(listedAt time.Time, evacuations evacuationReading) time.Time {
	if f.lister == nil {
		return listedAt
	}
	if !evacuations.known() {
		return time.Time{}
	}
	if expected := evacuations.at.Add(evacuationReadEvery * f.options.PollEvery); expected.Before(listedAt) {
		return expected
	}
	return listedAt
}

// markEvacuated returns the list with Evacuated set for the endpoints of the data centres. It does not modify the list.
func markEvacuated(statuses []winch.EndpointStatus, centres []winch.DataCentreID) []winch.EndpointStatus {
	marked, cloned := statuses, false
	for i, status := range statuses {
		_, evacuated := slices.BinarySearch(centres, status.Endpoint.DataCentre)
		if evacuated == status.Evacuated {
			continue
		}
		if !cloned {
			marked, cloned = slices.Clone(statuses), true
		}
		marked[i].Evacuated = evacuated
	}
	return marked
}

// logEvacuations logs which data centres are evacuated and which no longer are.
func logEvacuations(logger hclog.Logger, version winch.Version, before, after []winch.DataCentreID) {
	for _, centre := range after {
		if !slices.Contains(before, centre) {
			logger.Warn("evacuation of a data centre requested", "Event", EventEvacuationRequested, "Evacuated", string(centre), "Version", int64(version))
		}
	}
	for _, centre := range before {
		if !slices.Contains(after, centre) {
			logger.Info("evacuation of a data centre withdrawn", "Event", EventEvacuationWithdrawn, "Evacuated", string(centre), "Version", int64(version))
		}
	}
}
