package endpoint

import (
	"time"

	"github.com/arbutuswinch/winch"
)

// sectionName is the dispatcher's part of the exchange between hosts.
const sectionName winch.SectionName = "Dispatch"

// section carries the dispatcher's figures between hosts.
type section struct{ d *Dispatcher }

// Section returns the dispatcher's part of the exchange between hosts.
func (d *Dispatcher) Section() winch.Section { return section{d: d} }

// Name returns the section's name.
func (s section) Name() winch.SectionName { return sectionName }

// Report returns this host's figures.
func (s section) Report(now time.Time) []byte {
	s.d.lock.Lock()
	own := s.d.core.ownStats(now, true)
	s.d.lock.Unlock()
	return encodeStats(own)
}

// Collect takes a host's figures in.
func (s section) Collect(now time.Time, from winch.HostID, report []byte) error {
	if len(report) == 0 {
		return nil
	}
	received, err := decodeStats(report)
	if err != nil {
		return err
	}
	s.d.lock.Lock()
	defer s.d.lock.Unlock()
	s.d.core.hub.collect(now, from, received)
	return nil
}

// Summary returns the sums of all hosts but the one that asks.
func (s section) Summary(now time.Time, to winch.HostID) []byte {
	s.d.lock.Lock()
	sum := s.d.core.summary(now, to)
	encoded := encodeStats(sum)
	s.d.lock.Unlock()
	return encoded
}

// Apply takes the sums of the other hosts in.
func (s section) Apply(now, sent time.Time, hub winch.HostID, summary []byte) error {
	if len(summary) == 0 {
		return nil
	}
	received, err := decodeStats(summary)
	if err != nil {
		return err
	}
	s.d.runStep(func() { s.d.core.applySummary(now, sent, hub, received) })
	return nil
}

// Digest returns the free slots and the queues of this data centre.
func (s section) Digest(now time.Time, _ winch.DataCentreID) []byte {
	s.d.lock.Lock()
	sum := s.d.core.summary(now, "")
	free := s.d.core.freeSlots(now)
	s.d.lock.Unlock()
	wire := encodeRemote(remoteStats{freeSlots: free})
	wire.Lanes = encodeLanes(sum.lanes)
	return mustMarshal(wire)
}

// ApplyDigest takes the figures of another data centre in.
func (s section) ApplyDigest(now, sent time.Time, from winch.DataCentreID, digest []byte) error {
	if len(digest) == 0 {
		return nil
	}
	received, err := decodeRemoteDigest(digest)
	if err != nil {
		return err
	}
	if !sent.IsZero() {
		received.Age = now.Sub(sent)
	}
	s.d.runStep(func() { s.d.core.applyRemote(now, from, received) })
	return nil
}
