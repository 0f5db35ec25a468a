package peer

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/arbutuswinch/winch"
)

const (
	// minParentTries is the number of hosts that are tried for one report, also if each of them costs a timeout.
	minParentTries = 2
	// maxParentTries bounds the tries of hosts that refuse the connection, as after many were killed at once.
	maxParentTries = 20
)

// exchange sends a report to the parent, which is the hub or the head of this host's group. If the parent does not respond, it is
// marked as failed and the report goes to the host that takes its place.
func (e *Exchange) exchange(ctx context.Context) {
	started := e.options.Clock.Now()
	for try := range maxParentTries {
		now := e.options.Clock.Now()
		if try >= minParentTries && now.Sub(started) >= e.options.Timeout {
			return
		}
		parent := e.table.Parent(now)
		e.setParent(parent)
		e.setRelays(now)
		if parent.ID == e.table.Self().ID {
			e.exchangeLocally(now)
			e.introduce(ctx, now)
			return
		}
		err := e.exchangeWith(ctx, parent, e.options.Sections)
		if err == nil || ctx.Err() != nil {
			return
		}
		e.recordAndLogFailure(parent, err)
	}
}

// introduce calls another host if this one ranks as the hub and has heard none yet. The others then learn of it at once
// instead of from the host list.
func (e *Exchange) introduce(ctx context.Context, now time.Time) {
	host, found := e.table.Introduction(now)
	if !found {
		return
	}
	if err := e.exchangeWith(ctx, host, e.probeSections()); err != nil && ctx.Err() == nil {
		e.recordAndLogFailure(host, err)
	}
}

// probeSections returns the sections for a call to a host that may not be this host's parent. While the hosts are divided into
// groups there are none, because the host would count the report in addition to the parent.
func (e *Exchange) probeSections() []winch.Section {
	if e.table.Grouped() {
		return nil
	}
	return e.options.Sections
}

// recordAndLogFailure records in the table that the call to the host failed, and logs it.
func (e *Exchange) recordAndLogFailure(host winch.Host, err error) {
	if errors.Is(err, winch.ErrUnauthorized) && e.options.Rejected != nil {
		e.options.Rejected()
	}
	e.table.RecordFailure(e.options.Clock.Now(), host.ID)
	e.options.Logger.Warn("call to peer failed", "Event", EventPeerFailed, "Host", host.ID, "Address", host.PeerAddress, "Error", err)
}

func (e *Exchange) setParent(parent winch.Host) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.parent == parent.ID {
		return
	}
	e.parent = parent.ID
	// Version zero makes the new parent send its complete list.
	e.receivedHosts = hostSet{}
	e.acknowledgedMembers = 0
	e.options.Logger.Info("hub or head of the group changed", "Event", EventHubChanged, "Hub", parent.ID)
}

func (e *Exchange) setRelays(now time.Time) {
	relays := e.table.RelaysReports(now)
	e.mu.Lock()
	changed := e.relays != relays
	e.relays = relays
	e.mu.Unlock()
	if changed {
		e.options.Logger.Info("hub or head of a group", "Event", EventRelaysReports, "Relays", relays, "Callers", len(e.table.Callers(now)))
	}
}

func (e *Exchange) exchangeLocally(now time.Time) {
	self := e.table.Self().ID
	for _, section := range e.options.Sections {
		e.logSectionError(section, section.Collect(now, self, section.Report(now)))
	}
	for _, section := range e.options.Sections {
		e.logSectionError(section, section.Apply(now, now, self, section.Summary(now, self)))
	}
}

func (e *Exchange) exchangeWith(ctx context.Context, hub winch.Host, exchanged []winch.Section) error {
	client, err := e.clients.Load().To(hub.PeerAddress)
	if err != nil {
		return err
	}
	sent := e.options.Clock.Now()
	call := exchangeCall{From: encodeHost(e.table.Self()), Sections: reports(sent, exchanged), Version: e.receivedVersion()}
	e.addMembers(sent, &call)
	response := exchangeResponse{}
	if err := client.Call(ctx, "/peer/exchange", call, &response); err != nil {
		return fmt.Errorf("exchange with %s: %w", hub.ID, err)
	}
	if err := response.validate(); err != nil {
		return fmt.Errorf("exchange with %s: %w", hub.ID, err)
	}
	now := e.options.Clock.Now()
	e.table.RecordAlive(now, hub, now.Sub(sent))
	e.noteMembersAcknowledged(hub.ID, response.MembersVersion)
	e.applyHosts(now, response)
	for _, section := range exchanged {
		if summary, found := response.Sections[string(section.Name())]; found {
			e.logSectionError(section, section.Apply(now, sent, hub.ID, summary))
		}
	}
	return nil
}

// reports returns the reports of the sections, nil if there are no sections.
func reports(now time.Time, exchanged []winch.Section) sections {
	if len(exchanged) == 0 {
		return nil
	}
	reports := sections{}
	for _, section := range exchanged {
		if report := section.Report(now); report != nil {
			reports[string(section.Name())] = json.RawMessage(report)
		}
	}
	return reports
}

func (e *Exchange) receivedVersion() uint64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.receivedHosts.version
}

func (e *Exchange) applyHosts(now time.Time, response exchangeResponse) {
	e.mu.Lock()
	// The response contains no hosts if the call named their current version. The stored version
	// can differ from it by now if a concurrent call has replaced it.
	if response.Hosts != nil || response.Version != e.receivedHosts.version {
		e.receivedHosts = decodeHosts(response.Version, response.Hosts)
	}
	hosts := e.receivedHosts.hosts
	e.mu.Unlock()
	age := e.table.RelayedAge()
	for _, host := range hosts {
		e.table.RecordAlive(now, host, age)
	}
}
