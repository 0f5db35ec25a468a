package peer

import (
	"time"

	"github.com/arbutuswinch/winch"
	"github.com/arbutuswinch/winch/quarantine"
)

// Name returns the section's name.
func (g *Guard) Name() winch.SectionName { return sectionName }

// Report returns what this host has seen itself, nil if nothing is known at all. A host that relays the reports of others returns
// what it knows.
func (g *Guard) Report(now time.Time) []byte {
	if g.options.Membership.RelaysReports(now) {
		return g.Summary(now, "")
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.evidence.Empty() {
		return nil
	}
	return encodeState(now, g.evidence.Seen(now))
}

// Collect merges a host's report. It is called on the hub.
func (g *Guard) Collect(now time.Time, _ winch.HostID, report []byte) error {
	return g.merge(now, report)
}

// Summary returns what the hub knows.
func (g *Guard) Summary(now time.Time, _ winch.HostID) []byte {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.evidence.Empty() {
		return nil
	}
	if now.Sub(g.summaryAt).Abs() > summaryReuse {
		g.summary, g.summaryAt = encodeState(now, g.evidence.State()), now
	}
	return g.summary
}

// Apply merges what the hub knows.
func (g *Guard) Apply(now, _ time.Time, _ winch.HostID, summary []byte) error {
	return g.merge(now, summary)
}

// Digest returns what this data centre knows.
func (g *Guard) Digest(now time.Time, _ winch.DataCentreID) []byte { return g.Summary(now, "") }

// ApplyDigest merges what another data centre knows.
func (g *Guard) ApplyDigest(now, _ time.Time, _ winch.DataCentreID, digest []byte) error {
	return g.merge(now, digest)
}

func (g *Guard) merge(now time.Time, message []byte) error {
	if len(message) == 0 {
		return nil
	}
	received, err := decodeState(now, message)
	if err != nil {
		return err
	}
	g.update(func() []quarantine.Change {
		return g.evidence.Merge(now, received)
	})
	return nil
}
