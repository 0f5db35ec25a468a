package peer

import (
	"context"
	"encoding/json"
	"time"

	"go.opentelemetry.io/otel/metric"

	"github.com/arbutuswinch/winch"
	"github.com/arbutuswinch/winch/release"
)

const sectionName winch.SectionName = "Release"

// section implements winch.Section for a distributor.
type section struct{ *Distributor }

// Section returns the distributor's part of the exchange between hosts.
func (d *Distributor) Section() winch.Section { return section{d} }

// Name returns the section's name.
func (s section) Name() winch.SectionName { return sectionName }

// Report returns the report of this host to its hub.
func (s section) Report(now time.Time) []byte {
	listed := s.readMembership(now)
	s.mu.Lock()
	defer s.unlock()
	s.updateRoster(now, listed)
	report := reportWire{
		Revision: s.state.current.Revision, Incarnation: s.incarnationTag, Learner: s.state.isLearner(), RosterTag: s.rosterTag, Hub: s.hubIncarnation, Token: s.token,
	}
	if now.Before(s.requestedUntil) {
		report.View = s.requestedRevision
	}
	if s.hubIncarnation != "" && s.hubRevision < s.state.current.Revision {
		report.Update = s.buildUpdate(now, s.hubRevision, 0)
	}
	return encode(report)
}

// Collect processes a host's report, at the hub. A report is dated to the summary
// whose token it echoes, since it may have been delayed; one that echoes none is
// of unknown age.
func (s section) Collect(now time.Time, from winch.HostID, body []byte) error {
	report := reportWire{}
	if err := decode(body, "report", &report); err != nil {
		return err
	}
	records, snapshot, err := decodeUpdate(report.Update)
	if err != nil {
		return err
	}
	listed := s.readMembership(now)
	s.mu.Lock()
	defer s.unlock()
	s.applyUpdate(now, records, snapshot)
	s.state.observeRevision(report.Revision)
	asOf := time.Time{}
	if report.Hub == s.incarnationTag && report.Token > 0 {
		asOf = s.started.Add(time.Duration(report.Token))
	}
	if s.state.limits.disabled.echoedToken {
		asOf = now
	}
	host := s.roster.recordReport(now, asOf, from, report.Incarnation, report.Revision)
	host.learner, host.requestedProgress, host.rosterTag = report.Learner, report.View, report.RosterTag
	s.updateAcceptance(now, listed)
	return nil
}

// Summary returns the hub's response to a host's report.
func (s section) Summary(now time.Time, to winch.HostID) []byte {
	listed := s.readMembership(now)
	s.mu.Lock()
	defer s.unlock()
	s.updateRoster(now, listed)
	s.updateAcceptance(now, listed)
	summary := summaryWire{
		Hub: s.incarnationTag, Token: int64(now.Sub(s.started)), Revision: s.state.current.Revision,
		Accepted: s.state.accepted,
		Proof:    proofToWire(now, proof{asOf: s.state.provenAt, revision: s.state.current.Revision}),
		Agreed:   s.agreementToWire(now),
	}
	host := s.roster.markSeen(now, to)
	if host.revision < s.state.current.Revision {
		summary.Update = s.buildUpdate(now, host.revision, 0)
	}
	if s.roster.known {
		summary.RosterTag = s.roster.tag()
		if host.rosterTag != summary.RosterTag {
			summary.Roster = s.roster.ids()
		}
	}
	if host.requestedProgress > 0 {
		summary.View = progressToWire(now, s.progress(host.requestedProgress))
	}
	return encode(summary)
}

// Apply processes the hub's summary.
func (s section) Apply(now, sent time.Time, _ winch.HostID, body []byte) error {
	summary := summaryWire{}
	if err := decode(body, "summary", &summary); err != nil {
		return err
	}
	if summary.Hub == s.incarnationTag {
		// This host is the hub, so the summary contains nothing new.
		return nil
	}
	message, err := decodeHubMessage(summary.Update, summary.Proof, summary.Agreed, sent)
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.unlock()
	s.hubIncarnation, s.token, s.hubRevision = summary.Hub, summary.Token, summary.Revision
	if len(summary.Roster) > 0 {
		s.roster.applyHubRoster(now, summary.Roster)
		s.rosterTag = summary.RosterTag
	}
	s.applyHubMessage(now, message, summary.Revision, summary.Accepted)
	s.state.applyAgreement(message.agreement)
	if summary.View != nil {
		s.hubProgress = progressFromWire(now, summary.View)
	}
	s.notifyChanges(now, false)
	return nil
}

// agreementToWire returns the last agreement of a majority of this data centre's hosts. It
// returns nil while the hub reads the platform, since proofs from there are stronger.
// After half of the freshness limit without a read it returns the agreement, early enough
// to reach all hosts before their last proof expires. The caller holds the lock.
func (d *Distributor) agreementToWire(now time.Time) *proofWire {
	if now.Sub(d.lastPlatformRead) < d.options.FreshnessLimit/2 {
		return nil
	}
	return proofToWire(now, d.acceptance.centres[d.self.DataCentre].agreed)
}

// applyHubMessage processes the common part of a hub's message. The caller holds the lock.
func (d *Distributor) applyHubMessage(now time.Time, message hubMessage, revision, accepted winch.Revision) {
	d.applyUpdate(now, message.records, message.snapshot)
	d.state.observeRevision(revision)
	d.state.accepted = max(d.state.accepted, accepted)
	d.state.applyProof(message.proof)
}

// Digest returns the digest for the hub of another data centre.
func (s section) Digest(now time.Time, to winch.DataCentreID) []byte {
	listed := s.readMembership(now)
	s.mu.Lock()
	defer s.unlock()
	s.updateRoster(now, listed)
	s.updateAcceptance(now, listed)
	own := s.acceptance.centres[s.self.DataCentre]
	digest := digestWire{
		Revision: s.state.current.Revision, Settled: s.settledRevision(), Accepted: s.state.accepted,
		Hosts: len(s.roster.hosts), Behind: own.behind,
		Proof:  proofToWire(now, proof{asOf: s.state.provenAt, revision: s.state.current.Revision}),
		Agreed: s.agreementToWire(now),
	}
	if other, found := s.acceptance.centres[to]; found && !other.heardAt.IsZero() && other.revision < s.state.current.Revision {
		digest.Update = s.buildUpdate(now, other.revision, digestDelay)
	}
	return encode(digest)
}

// ApplyDigest processes a digest of another data centre, at the hub. A digest that
// was not requested has an unknown age, so it provides no proof.
func (s section) ApplyDigest(now, sent time.Time, from winch.DataCentreID, body []byte) error {
	digest := digestWire{}
	if err := decode(body, "digest", &digest); err != nil {
		return err
	}
	other, found := s.acceptance.centres[from]
	if !found {
		// Majorities are formed among the data centres in the settings only.
		return release.FieldError("From", "%q is not a data centre in the settings", from)
	}
	message, err := decodeHubMessage(digest.Update, digest.Proof, digest.Agreed, sent)
	if err != nil {
		return err
	}
	listed := s.readMembership(now)
	s.mu.Lock()
	defer s.unlock()
	s.applyHubMessage(now, message, digest.Revision, digest.Accepted)
	other.revision, other.hosts, other.behind, other.heardAt = digest.Revision, digest.Hosts, digest.Behind, now
	other.settled.add(now, digest.Settled)
	if message.agreement.asOf.After(other.agreed.asOf) {
		other.agreed = message.agreement
	}
	s.updateAcceptance(now, listed)
	return nil
}

// updateRoster brings the roster up to date with the membership. The caller holds the lock.
func (d *Distributor) updateRoster(now time.Time, listed listedHosts) {
	d.roster.applyMembership(now, listed.hosts, d.options.LongestStop)
	d.forgetSilentHosts(now)
	d.recordSelf(now)
}

// forgetSilentHosts removes hosts that were silent for RosterMemory from the roster. It
// does so only while this hub reads the platform. If no majority of the roster has reported
// recently, the silent hosts may form a majority in another partition, so they are kept
// lostMajorityFactor times as long; then the data centre gets a majority again, such as
// after the replacement of all of its hosts. The caller holds the lock.
func (d *Distributor) forgetSilentHosts(now time.Time) {
	limit, memory := d.state.limits.freshness, d.state.limits.rosterMemory
	if d.state.limits.disabled.rosterRetention {
		d.roster.forgetSilent(now, memory)
		return
	}
	if !now.Before(d.lastPlatformRead.Add(limit)) {
		return
	}
	if agreed, found := d.roster.agreement(false); !found || !now.Before(agreed.asOf.Add(limit)) {
		memory *= lostMajorityFactor
	}
	d.roster.forgetSilent(now, memory)
}

// settledRevision returns the newest revision that a majority of this data centre's
// hosts hold, or zero if the roster is unknown. The caller holds the lock.
func (d *Distributor) settledRevision() winch.Revision {
	if !d.roster.known {
		return 0
	}
	return d.roster.settled()
}

// recordSelf records a report of this host itself. The caller holds the lock.
func (d *Distributor) recordSelf(now time.Time) {
	self := d.roster.recordReport(now, now, d.self.ID, d.incarnationTag, d.state.current.Revision)
	self.learner = d.state.isLearner()
}

// applyUpdate applies records or a snapshot from another host. The caller holds the lock.
func (d *Distributor) applyUpdate(now time.Time, records []winch.ReleaseRecord, snapshot *winch.Configuration) {
	replaced := d.state.applyRecords(now, records)
	if snapshot != nil {
		replaced = d.state.replaceIfNewer(now, snapshot, nil) || replaced
	}
	d.afterUpdate(now, replaced)
}

// updateAcceptance evaluates, at the hub, the reports of its hosts and the digests of the
// other data centres. The caller holds the lock.
func (d *Distributor) updateAcceptance(now time.Time, listed listedHosts) {
	d.acceptance.dropUpTo(d.state.accepted)
	if !listed.hub || !d.roster.known && !d.state.limits.disabled.knownRoster {
		return
	}
	d.recordSelf(now)
	own := d.acceptance.centres[d.self.DataCentre]
	own.revision, own.hosts, own.heardAt = d.state.current.Revision, len(d.roster.hosts), now
	own.behind = d.roster.behind(d.state.current.Revision, maxBehind)
	own.settled.add(now, d.roster.settled())
	if agreed, found := d.roster.agreement(d.state.limits.disabled.majority); found {
		// The hub may know of a newer revision that no host holds.
		agreed.revision = max(agreed.revision, d.state.maxKnown)
		if agreed.asOf.After(own.agreed.asOf) {
			own.agreed = agreed
		}
		d.state.applyAgreement(agreed)
	}
	if combined, found := d.acceptance.combinedProof(); found {
		d.state.applyProof(combined)
	}
	d.notifyChanges(now, false)
}

// buildUpdate returns the records after a revision, or a snapshot if they are not kept.
// It returns only records that were received at least minAge ago, and nil if there are
// none. A snapshot is of the current revision, whatever its age. The caller holds the lock.
func (d *Distributor) buildUpdate(now time.Time, from winch.Revision, minAge time.Duration) *updateWire {
	kept, complete := d.state.recordsSince(from)
	if !complete {
		return d.snapshotUpdate()
	}
	wire := &updateWire{}
	for _, entry := range kept {
		if now.Sub(entry.receivedAt) < minAge {
			break
		}
		body, err := release.EncodeRecord(entry.record)
		if err != nil {
			return nil
		}
		wire.Records = append(wire.Records, body)
	}
	if len(wire.Records) == 0 {
		return nil
	}
	return wire
}

// snapshotUpdate returns the current configuration, and caches its encoding.
func (d *Distributor) snapshotUpdate() *updateWire {
	if d.snapshotRevision != d.state.current.Revision {
		body, err := release.EncodeConfiguration(d.state.current)
		if err != nil {
			return nil
		}
		d.snapshot, d.snapshotRevision = body, d.state.current.Revision
	}
	return &updateWire{Snapshot: json.RawMessage(d.snapshot)}
}

// metricsCallback returns the callback that reports the metrics.
func (d *Distributor) metricsCallback(revision, accepted, authority metric.Int64Observable, age metric.Float64Observable) metric.Callback {
	return func(_ context.Context, observer metric.Observer) error {
		now := d.options.Clock.Now()
		d.mu.Lock()
		defer d.mu.Unlock()
		observer.ObserveInt64(revision, int64(d.state.current.Revision))
		observer.ObserveInt64(accepted, int64(d.state.accepted))
		observer.ObserveInt64(authority, int64(d.state.authority(now)))
		if d.state.initialized {
			observer.ObserveFloat64(age, now.Sub(d.state.provenAt).Seconds())
		}
		return nil
	}
}
