package peer

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/arbutuswinch/winch"
)

const (
	reportLimit = 4096
	nameLimit   = 256
)

// reportsWire is columns rather than rows, to be short.
type reportsWire struct {
	Endpoints []string
	Ages      []int64 // milliseconds
	Running   []int
	Waiting   []int
	// Leaving names the endpoints that leave.
	Leaving []string `json:",omitempty"`
	// Adapters are those that each endpoint holds, when any holds one.
	Adapters map[string][]string `json:",omitempty"`
}

func encode(now time.Time, reports []winch.LoadReport) []byte {
	wire := reportsWire{}
	for _, report := range reports {
		wire.Endpoints = append(wire.Endpoints, string(report.Endpoint))
		wire.Ages = append(wire.Ages, max(0, now.Sub(report.AsOf).Milliseconds()))
		wire.Running = append(wire.Running, report.Running)
		wire.Waiting = append(wire.Waiting, report.Waiting)
		if report.State == winch.EndpointLeaving {
			wire.Leaving = append(wire.Leaving, string(report.Endpoint))
		}
		for _, loaded := range report.Models {
			if loaded.Adapter == "" {
				continue
			}
			if wire.Adapters == nil {
				wire.Adapters = map[string][]string{}
			}
			wire.Adapters[string(report.Endpoint)] = append(wire.Adapters[string(report.Endpoint)], string(loaded.Adapter))
		}
	}
	encoded, err := json.Marshal(wire)
	if err != nil {
		return nil
	}
	return encoded
}

func decode(now time.Time, encoded []byte) ([]winch.LoadReport, error) {
	if len(encoded) == 0 {
		return nil, nil
	}
	wire := reportsWire{}
	if err := json.Unmarshal(encoded, &wire); err != nil {
		return nil, fmt.Errorf("decode load reports: %w: %w", winch.ErrInvalid, err)
	}
	count := len(wire.Endpoints)
	if len(wire.Ages) != count || len(wire.Running) != count || len(wire.Waiting) != count || count > reportLimit {
		return nil, fmt.Errorf("decode load reports: columns differ in length or exceed %d: %w", reportLimit, winch.ErrInvalid)
	}
	leaving := map[string]bool{}
	for _, id := range wire.Leaving {
		leaving[id] = true
	}
	reports := make([]winch.LoadReport, 0, count)
	for i, id := range wire.Endpoints {
		if wire.Ages[i] < 0 || wire.Running[i] < 0 || wire.Waiting[i] < 0 || len(id) > nameLimit {
			return nil, fmt.Errorf("decode load report of %.64q: value out of range: %w", id, winch.ErrInvalid)
		}
		report := winch.LoadReport{
			Endpoint: winch.EndpointID(id), AsOf: now.Add(-time.Duration(wire.Ages[i]) * time.Millisecond),
			Running: wire.Running[i], Waiting: wire.Waiting[i], State: winch.EndpointReady,
		}
		if leaving[id] {
			report.State = winch.EndpointLeaving
		}
		for _, adapter := range wire.Adapters[id] {
			report.Models = append(report.Models, winch.LoadedModel{Adapter: winch.AdapterID(adapter)})
		}
		reports = append(reports, report)
	}
	return reports, nil
}
