package peer

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/arbutuswinch/winch"
)

const (
	// maxReports is the largest number of reports in one message.
	maxReports = 4096
	// maxIDLengthOrModels is the greatest length of an endpoint's id in bytes, and also the
	// largest number of models that an endpoint may have loaded.
	maxIDLengthOrModels = 256
)

// reportsWire holds reports as columns rather than rows, which makes the message shorter. Of
// a report's State it holds only whether the endpoint is leaving; TokensPerSecond, CacheUsed,
// CacheLimit and Role are not sent.
type reportsWire struct {
	Endpoints []string
	Ages      []int64 // milliseconds
	Running   []int
	Waiting   []int
	// Leaving lists the endpoints that are leaving.
	Leaving []string `json:",omitempty"`
	// Sets are the different sets of loaded models. Held holds for each endpoint the index of
	// its set in Sets. Since most endpoints have the same models loaded, sending each set
	// once is shorter.
	Sets []setWire `json:",omitempty"`
	Held []int     `json:",omitempty"`
}

// setWire is a set of models, as columns like reportsWire.
type setWire struct {
	Models   []string
	Adapters []string
	Versions []string
}

func encode(now time.Time, reports []winch.LoadReport) []byte {
	wire := reportsWire{}
	setIndexes := map[string]int{}
	for _, report := range reports {
		wire.Endpoints = append(wire.Endpoints, string(report.Endpoint))
		wire.Ages = append(wire.Ages, max(0, now.Sub(report.AsOf).Milliseconds()))
		wire.Running = append(wire.Running, report.Running)
		wire.Waiting = append(wire.Waiting, report.Waiting)
		if report.State == winch.EndpointLeaving {
			wire.Leaving = append(wire.Leaving, string(report.Endpoint))
		}
		set := encodeSet(report.Models)
		key := fmt.Sprint(set)
		index, found := setIndexes[key]
		if !found {
			index = len(wire.Sets)
			setIndexes[key] = index
			wire.Sets = append(wire.Sets, set)
		}
		wire.Held = append(wire.Held, index)
	}
	encoded, err := json.Marshal(wire)
	if err != nil {
		// Structs of numbers and strings can always be encoded.
		return nil
	}
	return encoded
}

func encodeSet(models []winch.LoadedModel) setWire {
	set := setWire{Models: []string{}, Adapters: []string{}, Versions: []string{}}
	for _, loaded := range models {
		set.Models = append(set.Models, string(loaded.Model))
		set.Adapters = append(set.Adapters, string(loaded.Adapter))
		set.Versions = append(set.Versions, string(loaded.Version))
	}
	return set
}

func decodeSets(wires []setWire) ([][]winch.LoadedModel, error) {
	if len(wires) > maxReports {
		return nil, fmt.Errorf("decode Sets: more than %d: %w", maxReports, winch.ErrInvalid)
	}
	sets := make([][]winch.LoadedModel, 0, len(wires))
	for _, wire := range wires {
		if len(wire.Adapters) != len(wire.Models) || len(wire.Versions) != len(wire.Models) || len(wire.Models) > maxIDLengthOrModels {
			return nil, fmt.Errorf("decode Sets: columns differ in length or exceed %d: %w", maxIDLengthOrModels, winch.ErrInvalid)
		}
		var set []winch.LoadedModel
		for i, model := range wire.Models {
			set = append(set, winch.LoadedModel{
				Model: winch.ModelID(model), Adapter: winch.AdapterID(wire.Adapters[i]), Version: winch.ModelVersion(wire.Versions[i]),
			})
		}
		sets = append(sets, set)
	}
	return sets, nil
}

// decode decodes reports whose ages count back from the given time. An endpoint that is not
// listed as leaving becomes ready.
func decode(from time.Time, encoded []byte) ([]winch.LoadReport, error) {
	if len(encoded) == 0 {
		return nil, nil
	}
	wire := reportsWire{}
	if err := json.Unmarshal(encoded, &wire); err != nil {
		return nil, fmt.Errorf("decode load reports: %w: %w", winch.ErrInvalid, err)
	}
	count := len(wire.Endpoints)
	if len(wire.Ages) != count || len(wire.Running) != count || len(wire.Waiting) != count || len(wire.Held) != count || count > maxReports {
		return nil, fmt.Errorf("decode load reports: columns differ in length or exceed %d: %w", maxReports, winch.ErrInvalid)
	}
	sets, err := decodeSets(wire.Sets)
	if err != nil {
		return nil, err
	}
	leaving := map[string]bool{}
	for _, id := range wire.Leaving {
		leaving[id] = true
	}
	reports := make([]winch.LoadReport, 0, count)
	for i, id := range wire.Endpoints {
		if wire.Ages[i] < 0 || wire.Running[i] < 0 || wire.Waiting[i] < 0 || len(id) > maxIDLengthOrModels || wire.Held[i] < 0 || wire.Held[i] >= len(sets) {
			return nil, fmt.Errorf("decode load report of %.64q: value out of range: %w", id, winch.ErrInvalid)
		}
		report := winch.LoadReport{
			Endpoint: winch.EndpointID(id), AsOf: from.Add(-time.Duration(wire.Ages[i]) * time.Millisecond),
			Running: wire.Running[i], Waiting: wire.Waiting[i], State: winch.EndpointReady, Models: sets[wire.Held[i]],
		}
		if leaving[id] {
			report.State = winch.EndpointLeaving
		}
		reports = append(reports, report)
	}
	return reports, nil
}
