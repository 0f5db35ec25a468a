package peer

import (
	"cmp"
	"context"
	"net/http"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/arbutuswinch/winch"
	"github.com/arbutuswinch/winch/httpjson"
	"github.com/arbutuswinch/winch/origin"
)

const (
	// Prefix is the path prefix of the calls between hosts.
	Prefix   = "/peer/origins/"
	tellPath = Prefix + "tell"
	findPath = Prefix + "find"

	// tellHosts is the number of other hosts that are given the origin of a stream.
	tellHosts = 2
	// tellPause is the time in which records are collected for one message. What is not told when this host dies is lost.
	tellPause = 10 * time.Millisecond
	// tellTimeout limits one message, and maxSending the messages that are under way to one host.
	tellTimeout = 500 * time.Millisecond
	maxSending  = 8
)

func findAt(ctx context.Context, all *httpjson.Clients, host winch.Host, call findCall) (*findResponse, error) {
	client, err := all.To(host.PeerAddress)
	if err != nil {
		return nil, err
	}
	response := &findResponse{}
	return response, client.Call(ctx, findPath, call, response)
}

func tellTo(ctx context.Context, all *httpjson.Clients, host winch.Host, call tellCall) error {
	client, err := all.To(host.PeerAddress)
	if err != nil {
		return err
	}
	return client.Call(ctx, tellPath, call, nil)
}

// ranked returns the other live hosts in the order in which they keep the stream.
func (k *Keeper) ranked(now time.Time, stream winch.RequestID) []winch.Host {
	self := k.options.Membership.Self()
	hosts := slices.DeleteFunc(slices.Clone(k.options.Membership.Hosts(now, self.DataCentre)), func(host winch.Host) bool { return host.ID == self.ID })
	weight := func(host winch.Host) uint64 { return xxhash.Sum64String(string(stream) + "\x00" + string(host.ID)) }
	slices.SortFunc(hosts, func(a, b winch.Host) int { return cmp.Compare(weight(b), weight(a)) })
	return hosts
}

// runTeller gives records to other hosts until ctx ends.
func (k *Keeper) runTeller(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-k.wake:
		}
		all := k.clients.Load()
		if all == nil {
			// What is recorded until then is told after Connect.
			continue
		}
		k.mu.Lock()
		told := k.book.TakeUntold()
		k.mu.Unlock()
		if len(told) == 0 {
			continue
		}
		k.tellAll(ctx, all, told)
		select {
		case <-ctx.Done():
			return
		case <-time.After(tellPause):
		}
	}
}

// tellAll gives each record to the hosts that keep it, with one message to each host.
func (k *Keeper) tellAll(ctx context.Context, all *httpjson.Clients, told []origin.Told) {
	now := k.options.Clock.Now()
	batches, hosts := map[winch.HostID]*tellCall{}, map[winch.HostID]winch.Host{}
	for _, each := range told {
		ranked := k.ranked(now, each.Stream)
		for _, host := range ranked[:min(tellHosts, len(ranked))] {
			if batches[host.ID] == nil {
				batches[host.ID], hosts[host.ID] = &tellCall{}, host
			}
			batch := batches[host.ID]
			batch.Streams = append(batch.Streams, encodeStream(now, each.Stream, each.Origin))
		}
	}
	for id, batch := range batches {
		for rows := range slices.Chunk(batch.Streams, maxRows) {
			k.send(ctx, all, hosts[id], tellCall{Streams: rows})
		}
	}
}

// send sends a message in the background. It is dropped if too many are under way to the host.
func (k *Keeper) send(ctx context.Context, all *httpjson.Clients, host winch.Host, call tellCall) {
	k.mu.Lock()
	full := k.sending[host.ID] >= maxSending
	if !full {
		k.sending[host.ID]++
	}
	k.mu.Unlock()
	if full {
		k.recordUntold(host, len(call.Streams), "too many messages under way")
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(ctx, tellTimeout)
		defer cancel()
		err := tellTo(ctx, all, host, call)
		k.mu.Lock()
		if k.sending[host.ID]--; k.sending[host.ID] == 0 {
			delete(k.sending, host.ID)
		}
		k.mu.Unlock()
		if err != nil {
			k.recordUntold(host, len(call.Streams), err.Error())
			return
		}
		k.metrics.countTold(len(call.Streams), true)
	}()
}

func (k *Keeper) recordUntold(host winch.Host, streams int, cause string) {
	k.metrics.countTold(streams, false)
	k.options.Logger.Info("host not told of streams", "Event", EventOriginUntold, "Host", string(host.ID), "Streams", streams, "Cause", cause)
}

// Handler serves the other hosts. It does not authenticate them; the server that mounts it must.
func (k *Keeper) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+tellPath, k.serveTell)
	mux.HandleFunc("POST "+findPath, k.serveFind)
	return mux
}

func (k *Keeper) serveTell(w http.ResponseWriter, r *http.Request) {
	call := tellCall{}
	if err := httpjson.Decode(w, r, maxRequestBytes, &call); err != nil {
		httpjson.WriteError(w, err)
		return
	}
	now := k.options.Clock.Now()
	kept := make([]origin.Told, 0, len(call.Streams))
	for _, row := range call.Streams {
		stream, known, err := decodeStream(now, row)
		if err != nil {
			httpjson.WriteError(w, err)
			return
		}
		kept = append(kept, origin.Told{Stream: stream, Origin: known})
	}
	k.mu.Lock()
	for _, each := range kept {
		k.book.Keep(each.Stream, each.Origin)
	}
	k.mu.Unlock()
	httpjson.Write(w, http.StatusOK, struct{}{})
}

func (k *Keeper) serveFind(w http.ResponseWriter, r *http.Request) {
	call := findCall{}
	if err := httpjson.Decode(w, r, maxRequestBytes, &call); err != nil {
		httpjson.WriteError(w, err)
		return
	}
	now, memory := k.options.Clock.Now(), k.memory()
	response := findResponse{}
	k.mu.Lock()
	if known, found := k.book.Lookup(winch.RequestID(call.Stream)); found {
		row := encodeStream(now, winch.RequestID(call.Stream), known)
		response.Origin = &row
	}
	response.Versions = encodeVersions(now, k.book.Served(now, winch.ModelID(call.Model), memory))
	k.mu.Unlock()
	httpjson.Write(w, http.StatusOK, response)
}
