package endpoint

import (
	"encoding/json"
	"fmt"
	"sort"
	"strings"
	"time"

	"github.com/arbutuswinch/winch"
)

// statsWire holds columns instead of rows, which makes the JSON shorter.
type statsWire struct {
	Endpoints []string      `json:",omitempty"`
	Running   []int         `json:",omitempty"`
	Limits    []int         `json:",omitempty"` // in tenths of a slot
	Unread    []int64       `json:",omitempty"` // pending prompt tokens
	Demand    []int         `json:",omitempty"` // requests in ten seconds, absent if no endpoint of the list is ever cold
	Paces     []int         `json:",omitempty"` // usual paces, absent if no endpoint states one
	Lanes     *lanesWire    `json:",omitempty"`
	Accounts  *accountsWire `json:",omitempty"`
	Remotes   []remoteWire  `json:",omitempty"`
	Aperture  int           `json:",omitempty"`
	// Group is set in the report of a host that reports for others.
	Group bool `json:",omitempty"`
}

// lanesWire has one row for each class and group: Queued, Running, Movable, Urgent, OldestWait
// in milliseconds, and PromptRate.
type lanesWire struct {
	Classes []string
	Groups  []string
	Rows    [][laneColumns]int
}

const laneColumns = 6

type accountsWire struct {
	Organisations []string
	Tiers         []int
	Charged       []int64
}

type remoteWire struct {
	DataCentre string `json:",omitempty"`
	Age        int    `json:",omitempty"` // milliseconds
	Groups     []string
	Rooms      []int      // free slots by group
	Lanes      *lanesWire `json:",omitempty"`
}

const (
	routePrefix   = "/"
	maxWireRows   = 4096
	maxNameLength = 256
)

// encodeGroup encodes a route with a leading slash and a model without.
func encodeGroup(g group) string {
	if g.route != "" {
		return routePrefix + string(g.route)
	}
	return string(g.model)
}

func decodeGroup(text string) group {
	if route, found := strings.CutPrefix(text, routePrefix); found {
		return group{route: winch.RouteID(route)}
	}
	return group{model: winch.ModelID(text)}
}

func encodeLanes(lanes map[laneKey]laneStats) *lanesWire {
	if len(lanes) == 0 {
		return nil
	}
	keys := make([]laneKey, 0, len(lanes))
	for key := range lanes {
		keys = append(keys, key)
	}
	sort.Slice(keys, func(i, j int) bool {
		if keys[i].class != keys[j].class {
			return keys[i].class < keys[j].class
		}
		return keys[i].group.String() < keys[j].group.String()
	})
	wire := &lanesWire{}
	for _, key := range keys {
		l := lanes[key]
		wire.Classes = append(wire.Classes, string(key.class))
		wire.Groups = append(wire.Groups, encodeGroup(key.group))
		wire.Rows = append(wire.Rows, [laneColumns]int{l.Queued, l.Running, l.Movable, l.Urgent, milliseconds(l.OldestWait), l.PromptRate})
	}
	return wire
}

func decodeLanes(wire *lanesWire) (map[laneKey]laneStats, error) {
	lanes := map[laneKey]laneStats{}
	if wire == nil {
		return lanes, nil
	}
	if len(wire.Classes) != len(wire.Rows) || len(wire.Groups) != len(wire.Rows) || len(wire.Rows) > maxWireRows {
		return nil, fmt.Errorf("decode Lanes: columns differ in length or exceed %d: %w", maxWireRows, winch.ErrInvalid)
	}
	for i, row := range wire.Rows {
		for _, value := range row {
			if value < 0 {
				return nil, fmt.Errorf("decode Lanes.Rows: negative value: %w", winch.ErrInvalid)
			}
		}
		key := laneKey{class: winch.ClassID(wire.Classes[i]), group: decodeGroup(wire.Groups[i])}
		lanes[key] = laneStats{
			Queued: row[0], Running: row[1], Movable: row[2], Urgent: row[3],
			OldestWait: time.Duration(row[4]) * time.Millisecond, PromptRate: row[5],
		}
	}
	return lanes, nil
}

func encodeStats(stats sharedStats) []byte {
	wire := statsWire{Lanes: encodeLanes(stats.lanes), Accounts: encodeAccounts(stats.charged), Aperture: stats.aperture, Group: stats.group}
	ids := make([]string, 0, len(stats.endpoints))
	for id := range stats.endpoints {
		ids = append(ids, string(id))
	}
	sort.Strings(ids)
	for _, id := range ids {
		e := stats.endpoints[winch.EndpointID(id)]
		wire.Endpoints = append(wire.Endpoints, id)
		wire.Running = append(wire.Running, e.Running)
		wire.Limits = append(wire.Limits, int(e.Limit*10))
		if stats.prefillAware {
			wire.Unread = append(wire.Unread, int64(max(0, e.PendingPrefill)))
		}
		wire.addPace(e.Pace)
	}
	wire.Demand = encodeDemand(ids, stats.endpoints)
	for centre, remote := range stats.remotes {
		encoded := encodeRemote(remote)
		encoded.DataCentre, encoded.Age = string(centre), milliseconds(remote.Age)
		wire.Remotes = append(wire.Remotes, encoded)
	}
	sort.Slice(wire.Remotes, func(i, j int) bool { return wire.Remotes[i].DataCentre < wire.Remotes[j].DataCentre })
	return marshal(wire)
}

func encodeAccounts(charged map[accountKey]int64) *accountsWire {
	if len(charged) == 0 {
		return nil
	}
	keys := make([]accountKey, 0, len(charged))
	for key := range charged {
		keys = append(keys, key)
	}
	sort.Slice(keys, func(i, j int) bool {
		if keys[i].organisation != keys[j].organisation {
			return keys[i].organisation < keys[j].organisation
		}
		return keys[i].tier < keys[j].tier
	})
	wire := &accountsWire{}
	for _, key := range keys {
		wire.Organisations = append(wire.Organisations, string(key.organisation))
		wire.Tiers = append(wire.Tiers, int(key.tier))
		wire.Charged = append(wire.Charged, charged[key])
	}
	return wire
}

func encodeRemote(stats remoteStats) remoteWire {
	wire := remoteWire{Groups: []string{}, Rooms: []int{}}
	groups := make([]string, 0, len(stats.freeSlots))
	for g := range stats.freeSlots {
		groups = append(groups, encodeGroup(g))
	}
	sort.Strings(groups)
	for _, g := range groups {
		wire.Groups = append(wire.Groups, g)
		wire.Rooms = append(wire.Rooms, stats.freeSlots[decodeGroup(g)])
	}
	if len(stats.lanes) <= maxRemoteLanes {
		wire.Lanes = encodeLanes(stats.lanes)
	}
	return wire
}

// maxRemoteLanes is the largest number of lanes of another data centre that is passed on to
// hosts. If there are more, none is.
const maxRemoteLanes = 32

// milliseconds rounds a duration down. Negative durations become zero: they occur when a concurrent
// call has stored a time after the caller's now.
func milliseconds(d time.Duration) int { return int(max(0, d.Milliseconds())) }

// marshal encodes a value as JSON. It returns nil if that fails, which cannot occur for the structs
// of this file.
func marshal(value any) []byte {
	encoded, err := json.Marshal(value)
	if err != nil {
		return nil
	}
	return encoded
}

func decodeStats(encoded []byte) (sharedStats, error) {
	wire := statsWire{}
	if err := json.Unmarshal(encoded, &wire); err != nil {
		return sharedStats{}, fmt.Errorf("decode statistics: %w: %w", winch.ErrInvalid, err)
	}
	if len(wire.Endpoints) != len(wire.Running) || len(wire.Limits) != len(wire.Running) || len(wire.Running) > maxWireRows {
		return sharedStats{}, fmt.Errorf("decode Endpoints: columns differ in length or exceed %d: %w", maxWireRows, winch.ErrInvalid)
	}
	stats := newStats()
	stats.aperture, stats.group = max(0, wire.Aperture), wire.Group
	for i, id := range wire.Endpoints {
		if wire.Running[i] < 0 || wire.Limits[i] < 0 || len(id) > maxNameLength {
			return sharedStats{}, fmt.Errorf("decode Endpoints: invalid Running, Limits or ID of %.64q: %w", id, winch.ErrInvalid)
		}
		stats.endpoints[winch.EndpointID(id)] = endpointStats{
			Running: wire.Running[i], Limit: float64(wire.Limits[i]) / 10, PendingPrefill: wire.pendingPrefill(i), Demand: wire.demand(i), Pace: wire.pace(i),
		}
	}
	lanes, err := decodeLanes(wire.Lanes)
	if err != nil {
		return sharedStats{}, err
	}
	stats.lanes = lanes
	if err := decodeAccounts(wire.Accounts, stats.charged); err != nil {
		return sharedStats{}, err
	}
	for _, remote := range wire.Remotes {
		decoded, err := decodeRemote(remote)
		if err != nil {
			return sharedStats{}, err
		}
		stats.remotes[winch.DataCentreID(remote.DataCentre)] = decoded
	}
	return stats, nil
}

// pendingPrefill returns the pending prompt tokens of a row. Hosts of earlier versions do not send them.
func (w *statsWire) pendingPrefill(row int) winch.Tokens {
	if row >= len(w.Unread) {
		return 0
	}
	return winch.Tokens(max(0, w.Unread[row]))
}

func decodeAccounts(wire *accountsWire, charged map[accountKey]int64) error {
	if wire == nil {
		return nil
	}
	if len(wire.Organisations) != len(wire.Charged) || len(wire.Tiers) != len(wire.Charged) || len(wire.Charged) > maxWireRows {
		return fmt.Errorf("decode Accounts: columns differ in length or exceed %d: %w", maxWireRows, winch.ErrInvalid)
	}
	for i, organisation := range wire.Organisations {
		if wire.Charged[i] < 0 {
			return fmt.Errorf("decode Accounts.Charged: negative value: %w", winch.ErrInvalid)
		}
		charged[accountKey{tier: winch.Tier(wire.Tiers[i]), organisation: winch.OrganisationID(organisation)}] = wire.Charged[i]
	}
	return nil
}

func decodeRemote(wire remoteWire) (remoteStats, error) {
	if len(wire.Groups) != len(wire.Rooms) || len(wire.Rooms) > maxWireRows || wire.Age < 0 {
		return remoteStats{}, fmt.Errorf("decode Remotes: columns differ in length or exceed %d, or Age is negative: %w", maxWireRows, winch.ErrInvalid)
	}
	lanes, err := decodeLanes(wire.Lanes)
	if err != nil {
		return remoteStats{}, err
	}
	stats := remoteStats{Age: time.Duration(wire.Age) * time.Millisecond, freeSlots: map[group]int{}, lanes: lanes}
	for i, g := range wire.Groups {
		stats.freeSlots[decodeGroup(g)] = max(0, wire.Rooms[i])
	}
	return stats, nil
}

func decodeRemoteDigest(encoded []byte) (remoteStats, error) {
	wire := remoteWire{}
	if err := json.Unmarshal(encoded, &wire); err != nil {
		return remoteStats{}, fmt.Errorf("decode statistics of another data centre: %w: %w", winch.ErrInvalid, err)
	}
	return decodeRemote(wire)
}
