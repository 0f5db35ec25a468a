package daemon

import (
	"cmp"
	"slices"
	"time"

	"github.com/arbutuswinch/winch"
	"github.com/arbutuswinch/winch/serving/caller"
)

type hostWire struct {
	ID          string
	DataCentre  string
	PeerAddress string
	Leaving     bool
	Hub         bool
}

type hostsWire struct {
	Self     string
	Revision int64
	Hosts    []hostWire
}

func encodeHost(host winch.Host, hub bool) hostWire {
	return hostWire{
		ID: string(host.ID), DataCentre: string(host.DataCentre),
		PeerAddress: host.PeerAddress, Leaving: host.Leaving, Hub: hub,
	}
}

type endpointWire struct {
	ID         string
	DataCentre string
	Kind       string
	Address    string
	Models     []string
	Routes     []string
	Classes    []string
	Supply     string
	Cost       int64
	Pool       string
	State      string
	LeavesAt   string
	Evacuated  bool
}

type endpointsWire struct {
	Endpoints []endpointWire
}

func (e endpointsWire) sort() {
	slices.SortFunc(e.Endpoints, func(a, b endpointWire) int { return cmp.Compare(a.ID, b.ID) })
}

// encodeEndpoint encodes an endpoint. It is evacuated if its status says so or its data centre is among the evacuations.
func encodeEndpoint(status winch.EndpointStatus, evacuations map[winch.DataCentreID]winch.Evacuation) endpointWire {
	endpoint := status.Endpoint
	_, evacuated := evacuations[endpoint.DataCentre]
	wire := endpointWire{
		ID: string(endpoint.ID), DataCentre: string(endpoint.DataCentre), Kind: string(endpoint.Kind), Address: endpoint.Address,
		Supply: string(endpoint.Supply), Cost: int64(endpoint.Cost), Pool: string(endpoint.Pool), State: string(status.State),
		Evacuated: evacuated || status.Evacuated,
	}
	for _, model := range endpoint.Models {
		wire.Models = append(wire.Models, string(model))
	}
	for _, route := range endpoint.Routes {
		wire.Routes = append(wire.Routes, string(route))
	}
	for _, class := range endpoint.Classes {
		wire.Classes = append(wire.Classes, string(class))
	}
	if !status.LeavesAt.IsZero() {
		wire.LeavesAt = status.LeavesAt.Format(time.RFC3339Nano)
	}
	return wire
}

type queueWire struct {
	DataCentre     string
	Host           string
	Class          string
	Model          string
	Route          string
	Tier           int
	Queued         int
	Running        int
	Slots          int
	OldestWait     string
	PredictedDrain string
	Age            string
}

type queuesWire struct {
	Queues []queueWire
}

func encodeQueue(queue winch.QueueStatus) queueWire {
	return queueWire{
		DataCentre: string(queue.DataCentre), Host: string(queue.Host), Class: string(queue.Class), Model: string(queue.Model),
		Route: string(queue.Route), Tier: int(queue.Tier), Queued: queue.Queued, Running: queue.Running, Slots: queue.Slots,
		OldestWait: queue.OldestWait.String(), PredictedDrain: queue.PredictedDrain.String(), Age: queue.Age.String(),
	}
}

type attemptWire struct {
	Endpoint string
	Waited   string
	Took     string
	Outcome  string
	Tokens   int64
}

type explanationWire struct {
	Request      string
	Organisation string
	Class        string
	Model        string
	Route        string
	Arrived      string
	FirstToken   string
	Took         string
	Tokens       int64
	Code         string
	RunState     string
	Attempts     []attemptWire
}

func encodeExplanation(explanation caller.Explanation) explanationWire {
	wire := explanationWire{
		Request: string(explanation.Request), Organisation: string(explanation.Organisation), Class: string(explanation.Class),
		Model: string(explanation.Model), Route: string(explanation.Route), Arrived: explanation.Arrived.Format(time.RFC3339Nano),
		FirstToken: explanation.FirstToken.String(), Took: explanation.Took.String(), Tokens: int64(explanation.Tokens),
		Code: explanation.Code, RunState: explanation.RunState,
	}
	for _, attempt := range explanation.Attempts {
		wire.Attempts = append(wire.Attempts, attemptWire{
			Endpoint: string(attempt.Endpoint), Waited: attempt.Waited.String(), Took: attempt.Duration.String(),
			Outcome: outcomeName(attempt.Outcome), Tokens: int64(attempt.Tokens),
		})
	}
	return wire
}

func outcomeName(outcome winch.Outcome) string {
	switch outcome {
	case winch.OutcomeDone:
		return "Done"
	case winch.OutcomeCancelled:
		return "Cancelled"
	case winch.OutcomeUnsent:
		return "Unsent"
	case winch.OutcomeFailed:
		return "Failed"
	case winch.OutcomeRejected:
		return "Rejected"
	case winch.OutcomeRestarted:
		return "Restarted"
	}
	return "Unknown"
}
