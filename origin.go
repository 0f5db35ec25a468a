package winch

import (
	"context"
	"time"
)

// StreamOrigin tells which endpoint brought a caller the first event of a stream.
type StreamOrigin struct {
	Model ModelID
	// Endpoint is empty if another host has told the origin.
	Endpoint EndpointID
	// Software is empty if the version was not known when the stream began.
	Software SoftwareVersion
	// StartedAt is when the endpoint started, as it has told itself; zero if it was not asked.
	StartedAt time.Time
	// ConnectedAt is when the connection to the endpoint was opened; zero if another host has told the origin. An endpoint
	// that has started again since its list was read has no older connections.
	ConnectedAt time.Time
	// At is when its latest part began to be relayed, by the clock of the host that uses this value.
	At time.Time
}

// OriginSource names how the origin of a stream is known.
type OriginSource string

// The sources of an origin.
const (
	// OriginRecorded: this host has a record of the stream, its own or one that it keeps for another host.
	OriginRecorded OriginSource = "record"
	// OriginTold: another host has told it on request.
	OriginTold OriginSource = "host"
	// OriginOnlyVersion: there is no record, but only one version has served for as long as a stream can last.
	OriginOnlyVersion OriginSource = "only_version"
	// OriginUnknown: none of these.
	OriginUnknown OriginSource = "unknown"
)

// FoundOrigin is the answer of StreamOrigins.Find.
type FoundOrigin struct {
	StreamOrigin
	Source OriginSource
	// SingleVersion is set if no other version has served for as long as a stream can last, so that any endpoint can continue the stream.
	SingleVersion bool
	// MayBeKnownLater is set if the origin is unknown because a host that may know it did not answer.
	MayBeKnownLater bool
}

// StreamOrigins records which software version began each stream, and finds it again on any host.
type StreamOrigins interface {
	// Record records the origin of the stream that the request began. It must be called before the first event is sent to the
	// caller, and again when another request goes on with the stream, or when it turns out that the version is not known. It does not
	// block. It reports whether the endpoint should be asked if it is the run that was listed: several versions serve, and
	// it may have started again since.
	Record(stream RequestID, origin StreamOrigin) bool
	// Find returns the origin of a stream of the model that the request began. It may ask other hosts, for a short time. The error
	// is ErrOriginUnknown; the result then tells whether a later call may succeed.
	Find(ctx context.Context, now time.Time, stream RequestID, model ModelID) (FoundOrigin, error)
}

// ServedSoftware is a version of a model's endpoints that serves or has served.
type ServedSoftware struct {
	Model    ModelID
	Software SoftwareVersion
	// At is when it was last known to serve, by the clock of the host that uses this value.
	At time.Time
}

// SoftwareHistory keeps the versions that have served where they outlast all hosts.
type SoftwareHistory interface {
	// Load returns what was saved. Versions that served when it was saved count as serving now. The result is empty if nothing was saved yet.
	Load(ctx context.Context, now time.Time) ([]ServedSoftware, error)
	// Save replaces what was saved, unless another host has saved since this one has loaded or saved; the error is then ErrConflict, and
	// the history must be loaded again. Versions with the time now serve at present.
	Save(ctx context.Context, now time.Time, served []ServedSoftware) error
}
