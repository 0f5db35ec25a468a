package peer

import (
	"cmp"
	"slices"
	"time"

	"github.com/arbutuswinch/winch"
)

// Progress returns the progress of the data centres with the revision. A host that is
// not a hub asks its hub in the next report, and returns the data centres that the hub sent
// last. They may be from an earlier request for the same or a newer revision; there are
// none if the hub has sent no such progress. An older revision is not asked for while a
// newer one is.
func (d *Distributor) Progress(now time.Time, revision winch.Revision) winch.ReleaseProgress {
	listed := d.readMembership(now)
	d.mu.Lock()
	defer d.unlock()
	if d.requestedRevision < revision || !now.Before(d.requestedUntil) {
		d.requestedRevision = revision
	}
	d.requestedUntil = now.Add(progressRequestDuration)
	if listed.hub {
		d.updateAcceptance(now, listed)
		return d.progress(revision)
	}
	progress := winch.ReleaseProgress{Revision: revision, Accepted: d.state.accepted >= revision}
	if d.hubProgress.Revision >= revision {
		progress.Centres = d.hubProgress.Centres
	}
	return progress
}

// progress returns the progress as known to the hub. The caller holds the lock.
func (d *Distributor) progress(revision winch.Revision) winch.ReleaseProgress {
	progress := winch.ReleaseProgress{Revision: revision, Accepted: d.state.accepted >= revision}
	for id, centre := range d.acceptance.centres {
		until, inForce, _ := d.acceptance.servesOlderUntil(id, revision)
		progress.Centres = append(progress.Centres, winch.DataCentreProgress{
			DataCentre: id, Revision: centre.revision, InForce: inForce,
			Hosts: centre.hosts, Behind: centre.behind, Until: until, Heard: centre.heardAt,
		})
	}
	slices.SortFunc(progress.Centres, func(a, b winch.DataCentreProgress) int { return cmp.Compare(a.DataCentre, b.DataCentre) })
	return progress
}
