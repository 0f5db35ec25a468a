package peer

import (
	"context"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"
	"golang.org/x/sync/errgroup"

	"github.com/arbutuswinch/winch"
)

// hostSet is a list of live hosts with the version that identifies it.
type hostSet struct {
	version uint64
	hosts   []winch.Host
}

func newHostSet(hosts []winch.Host) hostSet {
	digest := xxhash.New()
	length := make([]byte, 8)
	for _, host := range hosts {
		for _, part := range []string{string(host.ID), string(host.DataCentre), host.PeerAddress, fmt.Sprint(host.Leaving)} {
			binary.LittleEndian.PutUint64(length, uint64(len(part)))
			_, _ = digest.Write(length)
			_, _ = digest.WriteString(part)
		}
	}
	return hostSet{version: digest.Sum64(), hosts: hosts}
}

func decodeHosts(version uint64, entries []hostEntry) hostSet {
	set := hostSet{version: version}
	for _, entry := range entries {
		host := decodeHost(entry)
		set.hosts = append(set.hosts, host)
	}
	return set
}

// allHosts returns the live hosts of all data centres.
func (e *Exchange) allHosts(now time.Time) hostSet {
	hosts := []winch.Host{}
	for _, centre := range e.table.DataCentres() {
		hosts = append(hosts, e.table.Hosts(now, centre)...)
	}
	return newHostSet(hosts)
}

func (e *Exchange) ownHosts(now time.Time) hostSet {
	return newHostSet(e.table.Hosts(now, e.table.Self().DataCentre))
}

// sendDigests tells the hubs of the other data centres, when this host is a hub.
func (e *Exchange) sendDigests(ctx context.Context) {
	now := e.options.Clock.Now()
	self := e.table.Self()
	if hub, _ := e.table.Hub(now, self.DataCentre); hub.ID != self.ID {
		return
	}
	group := errgroup.Group{}
	for _, centre := range e.table.DataCentres() {
		if centre != self.DataCentre {
			group.Go(func() error { e.sendDigest(ctx, centre); return nil })
		}
	}
	_ = group.Wait()
}

func (e *Exchange) sendDigest(ctx context.Context, centre winch.DataCentreID) {
	now := e.options.Clock.Now()
	hub, found := e.table.Hub(now, centre)
	if !found {
		hub, found = e.table.Probe(now, centre)
	}
	if !found {
		return
	}
	if err := e.digestWith(ctx, centre, hub); err != nil && ctx.Err() == nil {
		e.fail(hub, err)
	}
}

func (e *Exchange) digestWith(ctx context.Context, centre winch.DataCentreID, hub winch.Host) error {
	client, err := e.client(hub.PeerAddress)
	if err != nil {
		return err
	}
	sent := e.options.Clock.Now()
	call := e.digest(sent, centre, e.acknowledgedBy(centre))
	answer := digestMessage{}
	if err := client.Call(ctx, "/peer/digest", call, &answer); err != nil {
		return fmt.Errorf("send digest to %s: %w", hub.ID, err)
	}
	now := e.options.Clock.Now()
	e.table.Heard(now, hub, now.Sub(sent))
	e.applyDigest(now, sent, answer)
	return nil
}

// digest builds the message for a data centre that holds the given version of this one's hosts.
func (e *Exchange) digest(now time.Time, to winch.DataCentreID, acknowledged uint64) digestMessage {
	own := e.ownHosts(now)
	message := digestMessage{
		From: encodeHost(e.table.Self()), Version: own.version,
		Known: e.remoteVersion(to), Sections: sections{},
	}
	if own.version != acknowledged {
		message.Hosts = encodeHosts(own.hosts)
	}
	for _, section := range e.options.Sections {
		if digest := section.Digest(now, to); digest != nil {
			message.Sections[string(section.Name())] = json.RawMessage(digest)
		}
	}
	return message
}

// applyDigest takes a message of another data centre in. A zero sent means that it came unasked.
func (e *Exchange) applyDigest(now, sent time.Time, message digestMessage) {
	from := decodeHost(message.From)
	e.table.Heard(now, from, 0)
	for _, host := range e.remoteHosts(from.DataCentre, message) {
		e.table.Heard(now, host, 0)
	}
	for _, section := range e.options.Sections {
		if digest, found := message.Sections[string(section.Name())]; found {
			e.check(section, section.ApplyDigest(now, sent, from.DataCentre, digest))
		}
	}
}

// remoteHosts returns the live hosts of the data centre by the message, or by the earlier one of the same version.
func (e *Exchange) remoteHosts(centre winch.DataCentreID, message digestMessage) []winch.Host {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.acknowledged[centre] = message.Known
	if message.Hosts != nil {
		e.remote[centre] = decodeHosts(message.Version, message.Hosts)
	}
	if e.remote[centre].version != message.Version {
		return nil
	}
	return e.remote[centre].hosts
}

func (e *Exchange) remoteVersion(centre winch.DataCentreID) uint64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.remote[centre].version
}

func (e *Exchange) acknowledgedBy(centre winch.DataCentreID) uint64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.acknowledged[centre]
}
