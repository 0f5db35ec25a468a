package peer

import (
	"encoding/json"

	"github.com/arbutuswinch/winch"
)

// hostEntry is the JSON form of a host.
type hostEntry struct {
	ID          string
	DataCentre  string
	Home        string `json:",omitempty"`
	PeerAddress string
	Capacity    float64 `json:",omitempty"`
	Leaving     bool    `json:",omitempty"`
}

type sections map[string]json.RawMessage

// exchangeCall is a host's report to the hub of its data centre, or to the head of its group.
type exchangeCall struct {
	From     hostEntry
	Version  uint64
	Sections sections
	// MembersVersion identifies the hosts that report to the caller, zero if there are none. Members contains them unless the
	// receiver has acknowledged that version.
	MembersVersion uint64      `json:",omitempty"`
	Members        []hostEntry `json:",omitempty"`
}

// exchangeResponse is the summary of the hub or head. Hosts is set if the caller's version differs. MembersVersion is the
// version of the caller's members that the sender has.
type exchangeResponse struct {
	Hub            hostEntry
	Version        uint64
	Hosts          []hostEntry `json:",omitempty"`
	Sections       sections
	MembersVersion uint64 `json:",omitempty"`
}

// digestMessage is both the request and the response between the hubs of two data centres.
// Version identifies the sender's live hosts, which Hosts contains unless the receiver has
// acknowledged that version. Known is the version of the receiver's hosts that the sender has.
type digestMessage struct {
	From     hostEntry
	Version  uint64
	Known    uint64
	Hosts    []hostEntry `json:",omitempty"`
	Sections sections
}

func encodeHost(host winch.Host) hostEntry {
	return hostEntry{
		ID: string(host.ID), DataCentre: string(host.DataCentre), Home: string(host.Home),
		PeerAddress: host.PeerAddress, Capacity: host.Capacity, Leaving: host.Leaving,
	}
}

func encodeHosts(hosts []winch.Host) []hostEntry {
	entries := make([]hostEntry, 0, len(hosts))
	for _, host := range hosts {
		entries = append(entries, encodeHost(host))
	}
	return entries
}

func decodeHost(entry hostEntry) winch.Host {
	return winch.Host{
		ID: winch.HostID(entry.ID), DataCentre: winch.DataCentreID(entry.DataCentre), Home: winch.DataCentreID(entry.Home),
		PeerAddress: entry.PeerAddress, Capacity: entry.Capacity, Leaving: entry.Leaving,
	}
}
