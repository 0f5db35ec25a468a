// Package relay decides when a host reads a source itself, and when it uses what the hub of the hosts relays to it.
//
// The hub reads the source at an interval and relays what it has read. The other hosts read only while nothing that is young
// enough was relayed to them. A host's own readings do not matter for this: hosts that read in step with the hub
// have always read a little later than it, and would otherwise never rely on it.
//
// # Usage
//
//	settings := relay.Settings{Self: "host-1", PollEvery: 600 * time.Millisecond, MaxAge: 1500 * time.Millisecond}
//	reader := relay.NewReader(settings, clock, listLog, relayLog, readList)
//	go reader.Run(ctx)
//	reader.Received("host-2", readAt) // for each reading that the hub relays
package relay

import (
	"time"

	"github.com/arbutuswinch/winch"
)

// Settings are the settings of a Pacer.
type Settings struct {
	// Self is this host. What the hub relays to itself does not count.
	Self winch.HostID
	// PollEvery is the interval between reads of a host to which nothing is relayed, as to the hub.
	PollEvery time.Duration
	// MaxAge is the age up to which a relayed reading replaces a read. With zero, this host always reads.
	MaxAge time.Duration
}

// Pacer decides when this host reads the source. It must not be used concurrently.
type Pacer struct {
	settings Settings
	// relayedAt is when the newest relayed reading was made.
	relayedAt time.Time
	// ownAt is when this host's newest reading was made.
	ownAt time.Time
	// hub is the host that relayed a reading last; empty before the first one.
	hub winch.HostID
	// failedReads is the number of failed reads since the last successful one.
	failedReads int
}

// minInterval bounds how often the age of a relayed reading is checked.
const minInterval = 20 * time.Millisecond

// NewPacer returns a pacer of a host to which nothing was relayed yet.
func NewPacer(settings Settings) *Pacer { return &Pacer{settings: settings} }

const (
	// readTimeoutShare times MaxAge is the timeout of a read, so that after a read without response a second one is complete
	// before the last relayed reading is twice as old as MaxAge.
	readTimeoutShare   = 0.4
	defaultReadTimeout = time.Second
	// maxTimeoutDoublings bounds how often the timeout is doubled.
	maxTimeoutDoublings = 2
)

// ReadTimeout returns the timeout of a read. It doubles with each failed read, since the source may be slow.
func (p *Pacer) ReadTimeout() time.Duration {
	if p.settings.MaxAge == 0 {
		return defaultReadTimeout
	}
	return time.Duration(readTimeoutShare*float64(p.settings.MaxAge)) << min(p.failedReads, maxTimeoutDoublings)
}

// ReadDone records the result of a read.
func (p *Pacer) ReadDone(err error) {
	if err == nil {
		p.failedReads = 0
		return
	}
	p.failedReads++
}

// Received records that the hub relayed a reading that was made at the given time.
func (p *Pacer) Received(hub winch.HostID, readAt time.Time) {
	p.hub = hub
	if hub != p.settings.Self && readAt.After(p.relayedAt) {
		p.relayedAt = readAt
	}
}

// Stale reports whether another host relays readings to this one, but the last one is too old to replace a read.
func (p *Pacer) Stale(now time.Time) bool {
	return p.relies() && now.Sub(p.relayedAt) > p.settings.MaxAge
}

// OwnReading records that this host made a reading at the given time.
func (p *Pacer) OwnReading(readAt time.Time) { p.ownAt = readAt }

// Due reports whether this host has to read the source itself. If another host relays readings, this one's own readings serve as
// long as those would, so that many hosts do not read at the interval of the hub while that is slow.
func (p *Pacer) Due(now time.Time) bool {
	newest := p.newestReading()
	return newest.IsZero() || now.Sub(newest) > p.settings.MaxAge
}

// newestReading returns when the newest reading that replaces a read was made.
func (p *Pacer) newestReading() time.Time {
	if p.relies() && p.ownAt.After(p.relayedAt) {
		return p.ownAt
	}
	return p.relayedAt
}

// relies reports whether another host relays readings to this one.
func (p *Pacer) relies() bool { return p.hub != "" && p.hub != p.settings.Self }

const (
	// maxBackoff is the largest multiple of PollEvery to which failed reads raise the interval.
	maxBackoff = 3
	// promptRetries is the number of failed reads in a row after which the interval is still the usual one.
	promptRetries = 2
)

// pollInterval returns the interval between this host's own reads. It grows with failed ones, but not at the hub, which
// finds out for all hosts when the source is back, nor as long as no hub is known.
func (p *Pacer) pollInterval() time.Duration {
	if !p.relies() {
		return p.settings.PollEvery
	}
	return time.Duration(min(1+max(0, p.failedReads-promptRetries), maxBackoff)) * p.settings.PollEvery
}

// Until returns how long to wait before Due is asked again.
func (p *Pacer) Until(now time.Time) time.Duration {
	if p.Due(now) {
		return p.pollInterval()
	}
	expires := p.newestReading().Add(p.settings.MaxAge)
	return min(p.settings.PollEvery, max(minInterval, expires.Sub(now)+time.Millisecond))
}
