package endpoint

import (
	"time"

	"github.com/arbutuswinch/winch"
)

// sectionName identifies the dispatcher's section in the exchange between hosts.
const sectionName winch.SectionName = "Dispatch"

// section implements winch.Section for the dispatcher's statistics.
type section struct{ d *Dispatcher }

// Section returns the dispatcher's section of the exchange between hosts.
func (d *Dispatcher) Section() winch.Section { return section{d: d} }

// Name returns the section's name.
func (s section) Name() winch.SectionName { return sectionName }

// Report returns this host's statistics, or those of its group if it relays the reports of others.
func (s section) Report(now time.Time) []byte {
	relays := s.d.relaysReports(now)
	s.d.lock.Lock()
	s.d.core.relays = relays
	report := s.d.core.report(now)
	s.d.lock.Unlock()
	return encodeStats(report)
}

// Collect stores the statistics reported by a host. It is called on the hub and on the heads of groups. This host's own are
// always at hand.
func (s section) Collect(now time.Time, from winch.HostID, report []byte) error {
	if len(report) == 0 || from == s.d.core.self.ID {
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

// Summary returns the sums of the statistics of all hosts except the receiver and its group.
func (s section) Summary(now time.Time, to winch.HostID) []byte {
	s.d.lock.Lock()
	sum := s.d.core.summary(now, to)
	encoded := encodeStats(sum)
	s.d.lock.Unlock()
	return encoded
}

// Apply applies the sums of the other hosts' statistics, received from the hub.
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

// Digest returns the free slots and queues of this data centre for another one.
func (s section) Digest(now time.Time, _ winch.DataCentreID) []byte {
	s.d.lock.Lock()
	sum := s.d.core.summary(now, "")
	free := s.d.core.freeSlots(now)
	s.d.lock.Unlock()
	wire := encodeRemote(remoteStats{freeSlots: free})
	// Set separately, since maxRemoteLanes limits only what is passed on to hosts.
	wire.Lanes = encodeLanes(sum.lanes)
	return marshal(wire)
}

// ApplyDigest applies the statistics of another data centre.
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
