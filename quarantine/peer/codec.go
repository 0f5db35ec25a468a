package peer

import (
	"encoding/json"
	"fmt"
	"strconv"
	"time"

	"github.com/arbutuswinch/winch"
	"github.com/arbutuswinch/winch/quarantine"
)

const (
	maxWireRows  = 1024
	maxWireParts = 64
)

// stateWire is the message between hosts. Since their clocks differ, all times are given as ages or as remaining time, in
// milliseconds at the time of sending.
type stateWire struct {
	Crashes []crashWire  `json:",omitempty"`
	Outputs []outputWire `json:",omitempty"`
	Holds   []holdWire   `json:",omitempty"`
	// Explained has one row for each endpoint.
	Explained []explainedWire `json:",omitempty"`
	Refuted   []refutedWire   `json:",omitempty"`
}

type refutedWire struct {
	Request string
	Age     int64
}

type groundWire struct {
	Request  string
	Endpoint string
}

type crashWire struct {
	Request  string
	Endpoint string
	Parts    []string
	SentAge  int64
	Age      int64
	// Started is the start of the endpoint in Unix milliseconds, by its own clock.
	Started int64 `json:",omitempty"`
}

type outputWire struct {
	Part string
	Age  int64
}

type explainedWire struct {
	Endpoint string
	Age      int64
}

type holdWire struct {
	Part     string
	CrashAge int64
	// Left is negative once a trial may begin.
	Left    int64
	Term    int64
	Grounds []groundWire `json:",omitempty"`
}

// encodePart writes a part as the callers do, in hexadecimal.
func encodePart(part winch.PrefixHash) string { return strconv.FormatUint(uint64(part), 16) }

// ParsePart reads a part in hexadecimal. The error matches ErrInvalid.
func ParsePart(text string) (winch.PrefixHash, error) {
	value, err := strconv.ParseUint(text, 16, 64)
	if err != nil {
		return 0, fmt.Errorf("part %q is not a hexadecimal number: %w", text, winch.ErrInvalid)
	}
	return winch.PrefixHash(value), nil
}

func encodeState(now time.Time, known quarantine.State) []byte {
	wire := stateWire{}
	for _, crash := range known.Crashes {
		row := crashWire{
			Request: string(crash.Request), Endpoint: string(crash.Endpoint),
			SentAge: now.Sub(crash.SentAt).Milliseconds(), Age: now.Sub(crash.At).Milliseconds(),
		}
		if !crash.StartedAt.IsZero() {
			row.Started = crash.StartedAt.UnixMilli()
		}
		for _, part := range crash.Parts {
			row.Parts = append(row.Parts, encodePart(part))
		}
		wire.Crashes = append(wire.Crashes, row)
	}
	for _, output := range known.Outputs {
		wire.Outputs = append(wire.Outputs, outputWire{Part: encodePart(output.Part), Age: now.Sub(output.At).Milliseconds()})
	}
	for _, hold := range known.Holds {
		wire.Holds = append(wire.Holds, encodeHold(now, hold))
	}
	for _, refuted := range known.Refuted {
		wire.Refuted = append(wire.Refuted, refutedWire{Request: string(refuted.Request), Age: now.Sub(refuted.At).Milliseconds()})
	}
	for _, explained := range known.Explained {
		wire.Explained = append(wire.Explained, explainedWire{Endpoint: string(explained.Endpoint), Age: now.Sub(explained.At).Milliseconds()})
	}
	// Strings and integers always encode.
	encoded, _ := json.Marshal(wire)
	return encoded
}

func encodeHold(now time.Time, hold quarantine.Hold) holdWire {
	row := holdWire{
		Part: encodePart(hold.Part), CrashAge: now.Sub(hold.FirstCrash).Milliseconds(),
		Left: hold.Until.Sub(now).Milliseconds(), Term: hold.Term.Milliseconds(),
	}
	for _, ground := range hold.Grounds {
		row.Grounds = append(row.Grounds, groundWire{Request: string(ground.Request), Endpoint: string(ground.Endpoint)})
	}
	return row
}

func decodeState(now time.Time, message []byte) (quarantine.State, error) {
	wire, decoded := stateWire{}, quarantine.State{}
	if err := json.Unmarshal(message, &wire); err != nil {
		return quarantine.State{}, fmt.Errorf("decode quarantine: %w: %w", winch.ErrInvalid, err)
	}
	if max(len(wire.Crashes), len(wire.Outputs), len(wire.Holds), len(wire.Explained), len(wire.Refuted)) > maxWireRows {
		return quarantine.State{}, fmt.Errorf("decode quarantine: more than %d rows: %w", maxWireRows, winch.ErrInvalid)
	}
	ago := func(milliseconds int64) time.Time { return now.Add(-time.Duration(milliseconds) * time.Millisecond) }
	for _, row := range wire.Crashes {
		crash, err := decodeCrash(row, ago)
		if err != nil {
			return quarantine.State{}, fmt.Errorf("decode Crashes: %w", err)
		}
		decoded.Crashes = append(decoded.Crashes, crash)
	}
	for _, row := range wire.Outputs {
		part, err := ParsePart(row.Part)
		if err != nil {
			return quarantine.State{}, fmt.Errorf("decode Outputs: %w", err)
		}
		decoded.Outputs = append(decoded.Outputs, quarantine.Output{Part: part, At: ago(row.Age)})
	}
	for _, row := range wire.Holds {
		hold, err := decodeHold(row, ago)
		if err != nil {
			return quarantine.State{}, fmt.Errorf("decode Holds: %w", err)
		}
		decoded.Holds = append(decoded.Holds, hold)
	}
	for _, row := range wire.Refuted {
		decoded.Refuted = append(decoded.Refuted, quarantine.Refuted{Request: winch.RequestID(row.Request), At: ago(row.Age)})
	}
	for _, row := range wire.Explained {
		decoded.Explained = append(decoded.Explained, quarantine.Explained{Endpoint: winch.EndpointID(row.Endpoint), At: ago(row.Age)})
	}
	return decoded, nil
}

func decodeHold(row holdWire, ago func(milliseconds int64) time.Time) (quarantine.Hold, error) {
	part, err := ParsePart(row.Part)
	if err != nil {
		return quarantine.Hold{}, err
	}
	if len(row.Grounds) > maxWireRows {
		return quarantine.Hold{}, fmt.Errorf("more than %d Grounds: %w", maxWireRows, winch.ErrInvalid)
	}
	hold := quarantine.Hold{
		Part: part, FirstCrash: ago(row.CrashAge), Until: ago(-row.Left), Term: time.Duration(row.Term) * time.Millisecond,
	}
	for _, ground := range row.Grounds {
		hold.Grounds = append(hold.Grounds, quarantine.Ground{Request: winch.RequestID(ground.Request), Endpoint: winch.EndpointID(ground.Endpoint)})
	}
	return hold, nil
}

func decodeCrash(row crashWire, ago func(milliseconds int64) time.Time) (winch.EndpointCrash, error) {
	if row.Request == "" || len(row.Parts) > maxWireParts {
		return winch.EndpointCrash{}, fmt.Errorf("no Request, or more than %d Parts: %w", maxWireParts, winch.ErrInvalid)
	}
	crash := winch.EndpointCrash{
		Request: winch.RequestID(row.Request), Endpoint: winch.EndpointID(row.Endpoint), SentAt: ago(row.SentAge), At: ago(row.Age),
	}
	if row.Started > 0 {
		crash.StartedAt = time.UnixMilli(row.Started)
	}
	for _, text := range row.Parts {
		part, err := ParsePart(text)
		if err != nil {
			return winch.EndpointCrash{}, err
		}
		crash.Parts = append(crash.Parts, part)
	}
	return crash, nil
}
