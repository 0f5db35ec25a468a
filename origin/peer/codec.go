package peer

import (
	"fmt"
	"time"

	"github.com/arbutuswinch/winch"
	"github.com/arbutuswinch/winch/origin"
)

const (
	// maxRequestBytes bounds a message, and maxRows the streams in it.
	maxRequestBytes = 1 << 20
	maxRows         = 2048
	// maxNameLength bounds the names of streams, models and versions in bytes.
	maxNameLength = 256
)

// Since the clocks of hosts differ, times are ages in milliseconds at the time of sending.

type tellCall struct {
	Streams []streamWire
}

type streamWire struct {
	Stream   string
	Model    string
	Software string `json:",omitempty"`
	AgeMS    int64
}

type findCall struct {
	Stream string
	Model  string
}

type findResponse struct {
	// Origin is nil if the host does not know the stream.
	Origin *streamWire `json:",omitempty"`
	// Versions are those of the model that have served within the time that a stream can last.
	Versions []versionWire `json:",omitempty"`
}

type versionWire struct {
	Software string
	AgeMS    int64
}

func encodeStream(now time.Time, stream winch.RequestID, known winch.StreamOrigin) streamWire {
	return streamWire{Stream: string(stream), Model: string(known.Model), Software: string(known.Software), AgeMS: now.Sub(known.At).Milliseconds()}
}

// decodeStream decodes the origin of a stream. The endpoint is left out, since only the host that relays the stream needs it.
func decodeStream(now time.Time, wire streamWire) (winch.RequestID, winch.StreamOrigin, error) {
	if wire.Stream == "" || wire.Model == "" || max(len(wire.Stream), len(wire.Model), len(wire.Software)) > maxNameLength {
		return "", winch.StreamOrigin{}, fmt.Errorf("stream without Stream or Model, or a name of more than %d bytes: %w", maxNameLength, winch.ErrInvalid)
	}
	return winch.RequestID(wire.Stream), winch.StreamOrigin{
		Model: winch.ModelID(wire.Model), Software: winch.SoftwareVersion(wire.Software), At: ago(now, wire.AgeMS),
	}, nil
}

// ago returns the time that was some milliseconds ago. No time is later than now.
func ago(now time.Time, milliseconds int64) time.Time {
	return now.Add(-time.Duration(max(0, milliseconds)) * time.Millisecond)
}

func encodeVersions(now time.Time, served []origin.Served) []versionWire {
	versions := make([]versionWire, 0, len(served))
	for _, each := range served {
		versions = append(versions, versionWire{Software: string(each.Software), AgeMS: now.Sub(each.At).Milliseconds()})
	}
	return versions
}
