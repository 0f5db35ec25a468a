package keyvalue

import (
	"encoding/json"
	"fmt"

	"github.com/arbutuswinch/winch"
)

type hostWire struct {
	Host        string
	DataCentre  string
	Home        string `json:",omitempty"`
	PeerAddress string
	Capacity    float64 `json:",omitempty"`
}

func encodeHost(host winch.Host) ([]byte, error) {
	encoded, err := json.Marshal(hostWire{
		Host: string(host.ID), DataCentre: string(host.DataCentre), Home: string(host.Home),
		PeerAddress: host.PeerAddress, Capacity: host.Capacity,
	})
	if err != nil {
		return nil, fmt.Errorf("encode host: %w", err)
	}
	return encoded, nil
}

func decodeHost(value []byte) (winch.Host, error) {
	wire := hostWire{}
	if err := json.Unmarshal(value, &wire); err != nil {
		return winch.Host{}, fmt.Errorf("decode host: %w: %w", winch.ErrInvalid, err)
	}
	if wire.Host == "" || wire.PeerAddress == "" {
		return winch.Host{}, fmt.Errorf("decode host: Host or PeerAddress is empty: %w", winch.ErrInvalid)
	}
	return winch.Host{
		ID: winch.HostID(wire.Host), DataCentre: winch.DataCentreID(wire.DataCentre), Home: winch.DataCentreID(wire.Home),
		PeerAddress: wire.PeerAddress, Capacity: wire.Capacity,
	}, nil
}
