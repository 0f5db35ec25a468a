package peer

import (
	"fmt"
	"time"

	"github.com/arbutuswinch/winch"
)

// maxHosts bounds the hosts that one message may name.
const maxHosts = 4096

func (c exchangeCall) validate() error {
	if len(c.Members) > maxHosts {
		return fmt.Errorf("field Members: more than %d hosts: %w", maxHosts, winch.ErrInvalid)
	}
	return nil
}

func (r exchangeResponse) validate() error {
	if len(r.Hosts) > maxHosts {
		return fmt.Errorf("field Hosts: more than %d hosts: %w", maxHosts, winch.ErrInvalid)
	}
	return nil
}

// addMembers adds the hosts that report to this one to its own report. Only these are told, never hosts that others have
// relayed: otherwise two hosts could keep a dead one alive by telling each other of it.
func (e *Exchange) addMembers(now time.Time, call *exchangeCall) {
	callers := e.table.Callers(now)
	if len(callers) == 0 {
		return
	}
	members := newHostSet(callers)
	call.MembersVersion = members.version
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.acknowledgedMembers != members.version {
		call.Members = encodeHosts(members.hosts)
	}
}

// noteMembersAcknowledged records the version of this host's members that the host has. Other hosts than the parent are only
// probed, and do not matter.
func (e *Exchange) noteMembersAcknowledged(by winch.HostID, version uint64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if by == e.parent {
		e.acknowledgedMembers = version
	}
}

// applyMembers records as alive the hosts that report to the caller. It returns the version of the set that this host has.
func (e *Exchange) applyMembers(now time.Time, call exchangeCall) uint64 {
	from := winch.HostID(call.From.ID)
	e.mu.Lock()
	if call.Members != nil {
		e.members[from] = decodeHosts(call.MembersVersion, call.Members)
	}
	if call.MembersVersion == 0 {
		delete(e.members, from)
	}
	known := e.members[from]
	e.mu.Unlock()
	if known.version != call.MembersVersion {
		return known.version
	}
	age, centre := e.table.RelayedAge(), e.table.Self().DataCentre
	for _, host := range known.hosts {
		if host.ID != "" && host.DataCentre == centre {
			e.table.RecordAlive(now, host, age)
		}
	}
	return known.version
}

// pruneMembers forgets what hosts that are gone have told.
func (e *Exchange) pruneMembers(now time.Time) {
	alive := map[winch.HostID]bool{}
	for _, host := range e.table.Hosts(now, e.table.Self().DataCentre) {
		alive[host.ID] = true
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	for id := range e.members {
		if !alive[id] {
			delete(e.members, id)
		}
	}
}
