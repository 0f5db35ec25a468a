package audit

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"time"

	"github.com/arbutuswinch/winch"
)

// The numbers of the dispatcher events that the audit reads, as in docs/EVENTS.md. They are copies of
// those in dispatch/endpoint, which cannot be imported because its tests import this package.
const (
	eventRouted           winch.EventNumber = 3001
	eventQueued           winch.EventNumber = 3002
	eventRefused          winch.EventNumber = 3003
	eventPreempted        winch.EventNumber = 3004
	eventMoved            winch.EventNumber = 3005
	eventReleased         winch.EventNumber = 3006
	eventHandedOver       winch.EventNumber = 3007
	eventCancelled        winch.EventNumber = 3008
	eventEndpointLeaving  winch.EventNumber = 3015
	eventEndpointReturned winch.EventNumber = 3016
)

const maxLineLength = 1 << 20

// Line is a dispatcher's log line about one decision.
type Line struct {
	Event              winch.EventNumber
	At                 time.Time
	Host               winch.HostID
	DataCentre         winch.DataCentreID
	Request            winch.RequestID
	Organisation       winch.OrganisationID
	Class              winch.ClassID
	Tier               winch.Tier
	VictimTier         winch.Tier
	Group              string
	Endpoint           winch.EndpointID
	Reason             string
	Floor              bool
	Movable            bool
	LowerQueued        int
	LowerRunning       int
	LowerOthersQueued  int
	LowerOthersRunning int
	Waiting            int
}

// lineWire holds the JSON fields of a log line that the audit uses.
type lineWire struct {
	Event              int
	At                 time.Time
	Host               string
	DataCentre         string
	Request            string
	Organisation       string
	Class              string
	Tier               int
	VictimTier         int
	Group              string
	Endpoint           string
	Reason             string
	Floor              bool
	Movable            bool
	LowerQueued        int
	LowerRunning       int
	LowerOthersQueued  int
	LowerOthersRunning int
	Waiting            int
}

// Read reads JSON logs and returns the lines that the audit uses.
func Read(logs ...io.Reader) ([]Line, error) {
	var lines []Line
	for _, log := range logs {
		scanner := bufio.NewScanner(log)
		scanner.Buffer(make([]byte, 0, 64<<10), maxLineLength)
		for scanner.Scan() {
			line, wanted, err := parse(scanner.Bytes())
			if err != nil {
				return nil, err
			}
			if wanted {
				lines = append(lines, line)
			}
		}
		if err := scanner.Err(); err != nil {
			return nil, fmt.Errorf("read log: %w", err)
		}
	}
	return lines, nil
}

type eventWire struct{ Event int }

// parse decodes a log line and reports whether the audit uses it. It decodes the event number
// first, because log lines of other packages may use the same field names with other types.
func parse(text []byte) (Line, bool, error) {
	if !bytes.Contains(text, []byte(`"Event"`)) {
		return Line{}, false, nil
	}
	event := eventWire{}
	if err := json.Unmarshal(text, &event); err != nil {
		return Line{}, false, fmt.Errorf("read log line %.80q: %w: %w", text, winch.ErrInvalid, err)
	}
	switch winch.EventNumber(event.Event) {
	case eventRouted, eventQueued, eventRefused, eventPreempted, eventMoved, eventReleased, eventHandedOver, eventCancelled, eventEndpointLeaving, eventEndpointReturned:
	default:
		return Line{}, false, nil
	}
	wire := lineWire{}
	if err := json.Unmarshal(text, &wire); err != nil {
		return Line{}, false, fmt.Errorf("read log line %.80q: %w: %w", text, winch.ErrInvalid, err)
	}
	return wire.line(), true, nil
}

func (w lineWire) line() Line {
	return Line{
		Event: winch.EventNumber(w.Event), At: w.At, Host: winch.HostID(w.Host), DataCentre: winch.DataCentreID(w.DataCentre),
		Request: winch.RequestID(w.Request), Organisation: winch.OrganisationID(w.Organisation), Class: winch.ClassID(w.Class),
		Tier: winch.Tier(w.Tier), VictimTier: winch.Tier(w.VictimTier), Group: w.Group, Endpoint: winch.EndpointID(w.Endpoint),
		Reason: w.Reason, Floor: w.Floor, Movable: w.Movable, LowerQueued: w.LowerQueued, LowerRunning: w.LowerRunning,
		LowerOthersQueued: w.LowerOthersQueued, LowerOthersRunning: w.LowerOthersRunning, Waiting: w.Waiting,
	}
}
