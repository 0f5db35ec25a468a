package peer

import (
	"context"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"golang.org/x/sync/errgroup"

	"github.com/arbutuswinch/winch"
)

// hostSet is a list of live hosts. The version is a hash of the list.
type hostSet struct {
	version uint64
	hosts   []winch.Host
}

func newHostSet(hosts []winch.Host) hostSet {
	hash := xxhash.New()
	length := make([]byte, 8)
	for _, host := range hosts {
		for _, part := range []string{string(host.ID), string(host.DataCentre), host.PeerAddress, strconv.FormatBool(host.Leaving)} {
			binary.LittleEndian.PutUint64(length, uint64(len(part)))
			_, _ = hash.Write(length)
			_, _ = hash.WriteString(part)
		}
	}
	return hostSet{version: hash.Sum64(), hosts: hosts}
}

func decodeHosts(version uint64, entries []hostEntry) hostSet {
	decoded := hostSet{version: version}
	for _, entry := range entries {
		host := decodeHost(entry)
		decoded.hosts = append(decoded.hosts, host)
	}
	return decoded
}

// hostSetReuse is how long the set of live hosts is used again, which is built for many calls.
const hostSetReuse = 50 * time.Millisecond

// allHosts returns the live hosts of all data centres.
func (e *Exchange) allHosts(now time.Time) hostSet {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.relayedAt.IsZero() && now.Sub(e.relayedAt).Abs() < hostSetReuse {
		return e.relayed
	}
	hosts := []winch.Host{}
	for _, centre := range e.table.DataCentres() {
		hosts = append(hosts, e.table.Hosts(now, centre)...)
	}
	e.relayed, e.relayedAt = newHostSet(hosts), now
	return e.relayed
}

func (e *Exchange) localHosts(now time.Time) hostSet {
	return newHostSet(e.table.Hosts(now, e.table.Self().DataCentre))
}

// sendDigests sends digests to the hubs of all other data centres if this host is the hub of its
// data centre.
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
	receiver, found := e.table.Hub(now, centre)
	if !found {
		// No host of the data centre is considered alive: try one of them.
		receiver, found = e.table.Probe(now, centre)
	}
	if !found {
		return
	}
	if err := e.exchangeDigest(ctx, centre, receiver); err != nil && ctx.Err() == nil {
		e.recordAndLogFailure(receiver, err)
	}
}

func (e *Exchange) exchangeDigest(ctx context.Context, centre winch.DataCentreID, receiver winch.Host) error {
	client, err := e.clients.Load().To(receiver.PeerAddress)
	if err != nil {
		return err
	}
	sent := e.options.Clock.Now()
	call := e.buildDigest(sent, centre, e.acknowledgedVersion(centre))
	response := digestMessage{}
	if err := client.Call(ctx, "/peer/digest", call, &response); err != nil {
		return fmt.Errorf("send digest to %s: %w", receiver.ID, err)
	}
	now := e.options.Clock.Now()
	e.table.RecordAlive(now, receiver, now.Sub(sent))
	e.applyDigest(now, sent, response)
	return nil
}

// buildDigest builds the message for a data centre. It includes the hosts of this data centre
// unless the receiver has acknowledged their current version.
func (e *Exchange) buildDigest(now time.Time, to winch.DataCentreID, acknowledged uint64) digestMessage {
	own := e.localHosts(now)
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

// applyDigest processes a digest from another data centre. requestSent is when this host sent the
// call whose response is the digest, which is no older than that; it is zero if the digest came
// in a call, so that its age is unknown.
func (e *Exchange) applyDigest(now, requestSent time.Time, message digestMessage) {
	from := decodeHost(message.From)
	e.table.RecordAlive(now, from, 0)
	for _, host := range e.updateRemoteHosts(from.DataCentre, message) {
		e.table.RecordAlive(now, host, 0)
	}
	for _, section := range e.options.Sections {
		if digest, found := message.Sections[string(section.Name())]; found {
			e.logSectionError(section, section.ApplyDigest(now, requestSent, from.DataCentre, digest))
		}
	}
}

// updateRemoteHosts stores the host set of the message, if it contains one, and the version
// that the sender acknowledges. It returns the live hosts of the data centre, or nil if their
// stored version is not the one that the message names.
func (e *Exchange) updateRemoteHosts(centre winch.DataCentreID, message digestMessage) []winch.Host {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.acknowledged[centre] = message.Known
	if message.Hosts != nil {
		e.remoteHosts[centre] = decodeHosts(message.Version, message.Hosts)
	}
	if e.remoteHosts[centre].version != message.Version {
		return nil
	}
	return e.remoteHosts[centre].hosts
}

func (e *Exchange) remoteVersion(centre winch.DataCentreID) uint64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.remoteHosts[centre].version
}

func (e *Exchange) acknowledgedVersion(centre winch.DataCentreID) uint64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.acknowledged[centre]
}
