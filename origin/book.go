// Package origin remembers which software version began each stream, and which versions have served each model.
//
// A caller may take a stream up at any host, and the stream may go on only at the version that began it. Package
// origin/peer exchanges what is remembered with the other hosts.
//
// # Usage
//
//	book := origin.New()
//	book.ObserveList(now, source.ReadAt(), source.Endpoints(), memory)
//	book.Record(stream, winch.StreamOrigin{Model: model, Endpoint: endpoint.ID, Software: endpoint.Software, At: now}, memory)
//	only, single := book.OnlyVersion(now, model, memory)
//
// All times are those of this host's clock.
package origin

import (
	"slices"
	"time"

	"github.com/arbutuswinch/winch"
)

const (
	// maxRecords bounds the memory for streams, whatever callers send. The oldest records are dropped.
	maxRecords = 1 << 15
	// maxVersions bounds the versions of one model that are remembered.
	maxVersions = 64
	// restartMargin is how much earlier than the last list with the old start time an endpoint may have started again: it
	// needs some time to write its new entry.
	restartMargin = 1500 * time.Millisecond
)

// record holds the origin of one stream and who has to be told of it.
type record struct {
	origin winch.StreamOrigin
	// own is set if this host relayed the stream.
	own bool
	// unconfirmed is set if the endpoint may have started again with another version before the stream began there.
	unconfirmed bool
	// untold is set if the record, or its latest change, has not been given to other hosts.
	untold bool
}

// Book holds the records of streams and the versions that have served. It is not safe for concurrent use.
type Book struct {
	streams map[winch.RequestID]*record
	// order holds the streams in the order in which they were recorded. A stream may occur several times.
	order []recordedAt
	// served maps each version of a model to the last time at which it is known to have been listed or to have served.
	served map[winch.ModelID]map[winch.SoftwareVersion]time.Time
	// listed is the list that was observed last, and listReadAt when it was read.
	listed map[winch.EndpointID]winch.EndpointStatus
	// latest is that list as it was given, and listedVersions the versions in it.
	latest         []winch.EndpointStatus
	listedVersions []listedVersion
	listReadAt     time.Time
	untold         []winch.RequestID
	// unresolved are the endpoints of which another run than the listed one has begun streams of this host.
	unresolved map[winch.EndpointID]bool
}

type recordedAt struct {
	stream winch.RequestID
	at     time.Time
}

// Told is the record of a stream that is given to other hosts.
type Told struct {
	Stream winch.RequestID
	Origin winch.StreamOrigin
}

// Served is a version of a model's endpoints, and the last time at which it is known to have served.
type Served struct {
	Software winch.SoftwareVersion
	At       time.Time
}

// New returns an empty book.
func New() *Book {
	return &Book{
		streams: map[winch.RequestID]*record{}, served: map[winch.ModelID]map[winch.SoftwareVersion]time.Time{},
		listed: map[winch.EndpointID]winch.EndpointStatus{}, unresolved: map[winch.EndpointID]bool{},
	}
}

// Len returns the number of streams that are remembered.
func (b *Book) Len() int { return len(b.streams) }

// Record records the origin of a stream that this host relays. While its model has one version only, other hosts
// need not know it. It reports whether the endpoint may have started again with another version since it was listed.
func (b *Book) Record(stream winch.RequestID, origin winch.StreamOrigin, memory time.Duration) bool {
	b.observeBegin(origin)
	r := b.put(stream, origin)
	r.own = true
	r.unconfirmed = origin.Software != "" && origin.Endpoint != "" && origin.StartedAt.IsZero() &&
		origin.ConnectedAt.After(b.listReadAt.Add(-restartMargin))
	if origin.Software == "" && !origin.StartedAt.IsZero() {
		b.unresolved[origin.Endpoint] = true
	}
	if _, single := b.OnlyVersion(origin.At, origin.Model, memory); single {
		return false
	}
	if origin.Software == "" || origin.StartedAt.IsZero() {
		// A version that is confirmed was told before.
		b.markUntold(stream, r)
	}
	return r.unconfirmed
}

// Keep records the origin of a stream that another host relays. It replaces an earlier record of that host.
func (b *Book) Keep(stream winch.RequestID, origin winch.StreamOrigin) {
	b.observeBegin(origin)
	b.put(stream, origin)
}

// observeBegin records that the version has served. An endpoint whose version was not known when the stream began may have the same as
// the others.
func (b *Book) observeBegin(origin winch.StreamOrigin) {
	if origin.Software != "" {
		b.ObserveServed(origin.Model, origin.Software, origin.At)
	}
}

func (b *Book) put(stream winch.RequestID, origin winch.StreamOrigin) *record {
	r, found := b.streams[stream]
	if !found {
		r = &record{}
		b.streams[stream] = r
	}
	r.origin = origin
	b.order = append(b.order, recordedAt{stream: stream, at: origin.At})
	for len(b.streams) > maxRecords || len(b.order) > 2*maxRecords {
		b.dropOldest()
	}
	return r
}

// dropOldest removes the first entry of order, and its stream unless that was recorded again later.
func (b *Book) dropOldest() {
	oldest := b.order[0]
	b.order = b.order[1:]
	if r, found := b.streams[oldest.stream]; found && !r.origin.At.After(oldest.at) {
		delete(b.streams, oldest.stream)
	}
}

func (b *Book) markUntold(stream winch.RequestID, r *record) {
	if !r.untold {
		r.untold = true
		b.untold = append(b.untold, stream)
	}
}

// Lookup returns the origin of the stream, if it is remembered.
func (b *Book) Lookup(stream winch.RequestID) (winch.StreamOrigin, bool) {
	r, found := b.streams[stream]
	if !found {
		return winch.StreamOrigin{}, false
	}
	return r.origin, true
}

// TakeUntold returns the records that other hosts have not been given yet.
func (b *Book) TakeUntold() []Told {
	told := make([]Told, 0, len(b.untold))
	for _, stream := range b.untold {
		if r, found := b.streams[stream]; found {
			r.untold = false
			told = append(told, Told{Stream: stream, Origin: r.origin})
		}
	}
	b.untold = b.untold[:0]
	return told
}

// ObserveServed records that the version of the model's endpoints served at the time.
func (b *Book) ObserveServed(model winch.ModelID, software winch.SoftwareVersion, at time.Time) {
	versions := b.served[model]
	if versions == nil {
		versions = map[winch.SoftwareVersion]time.Time{}
		b.served[model] = versions
	}
	if _, found := versions[software]; !found && len(versions) >= maxVersions {
		return
	}
	if at.After(versions[software]) {
		versions[software] = at
	}
}

// Served returns the versions of the model that have served within the time that a stream is remembered.
func (b *Book) Served(now time.Time, model winch.ModelID, memory time.Duration) []Served {
	var served []Served
	for software, at := range b.served[model] {
		if now.Sub(at) <= memory {
			served = append(served, Served{Software: software, At: at})
		}
	}
	return served
}

// AllServed returns the versions of all models that have served within the time that a stream is remembered.
func (b *Book) AllServed(now time.Time, memory time.Duration) []winch.ServedSoftware {
	var all []winch.ServedSoftware
	for model := range b.served {
		for _, served := range b.Served(now, model, memory) {
			all = append(all, winch.ServedSoftware{Model: model, Software: served.Software, At: served.At})
		}
	}
	return all
}

// OnlyVersion returns the version of the model if it is the only one that has served for as long as a stream is remembered. A
// version that is not known counts as one.
func (b *Book) OnlyVersion(now time.Time, model winch.ModelID, memory time.Duration) (winch.SoftwareVersion, bool) {
	served := b.Served(now, model, memory)
	if len(served) != 1 {
		return "", false
	}
	return served[0].Software, true
}

// ObserveList updates the versions that have served from the list of endpoints in use, which was read at readAt. Streams that
// this host relays are marked to be told when their model gets a second version. Their versions become unknown if
// their endpoint may have started again with another version before they began.
func (b *Book) ObserveList(now, readAt time.Time, statuses []winch.EndpointStatus, memory time.Duration) {
	if readAt.IsZero() {
		return
	}
	if b.sameList(statuses) && len(b.unresolved) == 0 {
		b.listReadAt = readAt
		for _, served := range b.listedVersions {
			b.ObserveServed(served.model, served.software, now)
		}
		return
	}
	single := map[winch.ModelID]bool{}
	for model := range b.served {
		_, single[model] = b.OnlyVersion(now, model, memory)
	}
	listed := make(map[winch.EndpointID]winch.EndpointStatus, len(statuses))
	for _, status := range statuses {
		listed[status.Endpoint.ID] = status
		for _, model := range status.Endpoint.Models {
			b.ObserveServed(model, status.Endpoint.Software, now)
		}
		b.resolve(status)
		before, found := b.listed[status.Endpoint.ID]
		if found && before.Endpoint.Software != status.Endpoint.Software {
			b.doubt(status.Endpoint.ID, b.listReadAt.Add(-restartMargin))
		}
	}
	b.listed, b.listReadAt = listed, readAt
	b.latest, b.listedVersions = statuses, versionsOf(statuses)
	for model, wasSingle := range single {
		if _, stillSingle := b.OnlyVersion(now, model, memory); wasSingle && !stillSingle {
			b.tellAll(model)
		}
	}
}

// sameList reports whether the statuses are those of the last call. Lists are replaced, never modified.
func (b *Book) sameList(statuses []winch.EndpointStatus) bool {
	return len(statuses) > 0 && len(statuses) == len(b.latest) && &statuses[0] == &b.latest[0]
}

// listedVersion is a software version of a model.
type listedVersion struct {
	model    winch.ModelID
	software winch.SoftwareVersion
}

// versionsOf returns the versions in the list, each once.
func versionsOf(statuses []winch.EndpointStatus) []listedVersion {
	found := map[listedVersion]bool{}
	versions := []listedVersion{}
	for _, status := range statuses {
		for _, model := range status.Endpoint.Models {
			version := listedVersion{model: model, software: status.Endpoint.Software}
			if !found[version] {
				found[version] = true
				versions = append(versions, version)
			}
		}
	}
	return versions
}

// doubt makes the version unknown of the streams that this host began at the endpoint since the time.
func (b *Book) doubt(endpoint winch.EndpointID, since time.Time) {
	for stream, r := range b.streams {
		if r.own && r.unconfirmed && r.origin.Endpoint == endpoint && !r.origin.At.Before(since) {
			r.origin.Software = ""
			b.markUntold(stream, r)
		}
	}
}

// resolve sets the version of the streams that this host began at the listed run of the endpoint before that was listed.
func (b *Book) resolve(status winch.EndpointStatus) {
	if status.StartedAt.IsZero() || status.Endpoint.Software == "" || !b.unresolved[status.Endpoint.ID] {
		return
	}
	delete(b.unresolved, status.Endpoint.ID)
	for stream, r := range b.streams {
		if r.own && r.origin.Endpoint == status.Endpoint.ID && r.origin.Software == "" && r.origin.StartedAt.Equal(status.StartedAt) {
			r.origin.Software = status.Endpoint.Software
			b.markUntold(stream, r)
		}
	}
}

// tellAll marks the streams of the model that this host relays as untold.
func (b *Book) tellAll(model winch.ModelID) {
	for stream, r := range b.streams {
		if r.own && r.origin.Model == model {
			b.markUntold(stream, r)
		}
	}
}

// Prune forgets the streams and versions that are older than a stream can last.
func (b *Book) Prune(now time.Time, memory time.Duration) {
	for len(b.order) > 0 && now.Sub(b.order[0].at) > memory {
		b.dropOldest()
	}
	if len(b.order) == 0 {
		b.order = nil
	}
	b.untold = slices.DeleteFunc(b.untold, func(stream winch.RequestID) bool { return b.streams[stream] == nil })
	for model, versions := range b.served {
		for software, at := range versions {
			if now.Sub(at) > memory {
				delete(versions, software)
			}
		}
		if len(versions) == 0 {
			delete(b.served, model)
		}
	}
}
