package source

import (
	"bytes"
	"compress/flate"
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"

	"github.com/arbutuswinch/winch"
	"github.com/arbutuswinch/winch/httpjson"
)

// oneHost is a membership whose only other host is at the address.
type oneHost struct {
	winch.Membership
	address string
}

func (m oneHost) Self() winch.Host { return winch.Host{ID: "self"} }

func (m oneHost) Hosts(time.Time, winch.DataCentreID) []winch.Host {
	return []winch.Host{{ID: "self"}, {ID: "hub", PeerAddress: m.address}}
}

// newLargeHub returns a follower that has read version 5, which is too large for the exchange, and a server for its content.
func newLargeHub(t *testing.T) (*Follower, string) {
	t.Helper()
	hub, err := New(Options{Source: largeSource{&fakeSource{version: 5, hasKey: true}}, Clock: &fakeClock{now: start}, Logger: hclog.NewNullLogger(), Self: "hub"})
	assert.NilError(t, err)
	hub.Step(t.Context())
	server := httptest.NewServer(httpjson.RequireSecret("s", hub.Handler()))
	t.Cleanup(server.Close)
	return hub, strings.TrimPrefix(server.URL, "http://")
}

func newHostOf(t *testing.T, address string, own winch.ConfigurationSource) *Follower {
	t.Helper()
	host, err := New(Options{
		Source: own, Clock: &fakeClock{now: start}, Logger: hclog.NewNullLogger(), Self: "self", Membership: oneHost{address: address},
		FreshnessLimit: 4 * time.Second, MaxRelayedAge: time.Second,
	})
	assert.NilError(t, err)
	return host
}

func TestHostGetsALargeConfiguration(t *testing.T) {
	hub, address := newLargeHub(t)
	t.Run("from the hub if it cannot reach the source", func(t *testing.T) {
		host := newHostOf(t, address, largeSource{&fakeSource{err: winch.ErrUnavailable}})
		host.Connect("s")
		assert.NilError(t, host.Section().Apply(start, start, "hub", hub.Section().Summary(start, "self")))
		host.catchUp(t.Context())
		assertKey(t, host, start, nil)
		assert.Assert(t, !host.ConfirmedAt().After(hub.ConfirmedAt()))
		assert.Assert(t, host.ConfirmedAt().Sub(hub.ConfirmedAt()).Abs() <= 2*time.Millisecond, "the relayed evidence counts for it")
	})
	t.Run("from the source if the hub does not answer", func(t *testing.T) {
		host := newHostOf(t, "127.0.0.1:1", largeSource{&fakeSource{version: 5, hasKey: true}})
		host.Connect("s")
		assert.NilError(t, host.Section().Apply(start, start, "hub", hub.Section().Summary(start, "self")))
		host.catchUp(t.Context())
		assertKey(t, host, start, nil)
	})
	t.Run("the hub from a host that has a newer one", func(t *testing.T) {
		behind := newHostOf(t, address, largeSource{&fakeSource{err: winch.ErrUnavailable}})
		behind.Connect("s")
		assert.NilError(t, behind.Section().Collect(start, "hub", hub.Section().Report(start)))
		behind.catchUp(t.Context())
		assert.Equal(t, behind.state.edition.version, winch.Version(5))
	})
	t.Run("until then it tells that a newer one exists", func(t *testing.T) {
		host, other := newHostOf(t, address, &fakeSource{err: winch.ErrUnavailable}), newHostOf(t, address, &fakeSource{})
		assert.NilError(t, host.Section().Apply(start, start, "hub", hub.Section().Summary(start, "self")))
		assert.NilError(t, other.applyRelayed([]byte("true"), 4, start, "another"))
		assert.NilError(t, host.applyRelayed([]byte("true"), 3, start, "another"))
		assert.NilError(t, other.Section().Apply(start, start, "host", host.Section().Summary(start, "other")))
		assert.Assert(t, other.isBehind())
	})
}

func TestContentIsServedOnlyIfItIsNewer(t *testing.T) {
	hub, address := newLargeHub(t)
	client, err := httpjson.NewClient(httpjson.Options{Address: address, Secret: "s"})
	assert.NilError(t, err)
	response := contentResponse{}
	assert.NilError(t, client.Call(t.Context(), readPath, contentCall{Known: editionWire{Version: 4}}, &response))
	assert.Equal(t, response.Edition.Version, int64(5))
	assert.Assert(t, len(response.Deflated) < 1<<16, "%d bytes", len(response.Deflated))
	assert.ErrorIs(t, client.Call(t.Context(), readPath, contentCall{Known: editionWire{Version: 5}}, &response), winch.ErrNotFound)
	for range maxContentReads {
		hub.contents.reads <- struct{}{}
	}
	assert.ErrorIs(t, client.Call(t.Context(), readPath, contentCall{Known: editionWire{Version: 4}}, &response), winch.ErrUnavailable)
}

// TestHostsOfTheEarlierVersionAreNotMisread guards against versions of the store that are taken for revisions while hosts of the software
// version that exchanged them still run.
func TestHostsOfTheEarlierVersionAreNotMisread(t *testing.T) {
	hub, address := newLargeHub(t)
	assert.Assert(t, hub.Section().Name() != "Configuration")
	client, err := httpjson.NewClient(httpjson.Options{Address: address, Secret: "s"})
	assert.NilError(t, err)
	err = client.Call(t.Context(), Prefix+"read", struct{ Known int64 }{Known: 4}, &struct{}{})
	assert.ErrorIs(t, err, winch.ErrNotFound)
}

// TestContentOfAnotherEditionIsRefused guards against a host that asks for the same content again and again, because it is not what was told.
func TestContentOfAnotherEditionIsRefused(t *testing.T) {
	wrong := contentResponse{Edition: editionWire{Revision: 9, Digest: 1, Version: 9}}
	served, err := newContentServer().compress(edition{version: 1}, []byte("true"))
	assert.NilError(t, err)
	wrong.Deflated = served.Deflated
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { httpjson.Write(w, http.StatusOK, wrong) }))
	t.Cleanup(server.Close)
	host := newHostOf(t, strings.TrimPrefix(server.URL, "http://"), &fakeSource{})
	host.Connect("s")
	host.hearOfNewer(evidence{edition: wrong.Edition.decode()}, "hub")
	assert.ErrorIs(t, host.fetchFromHolder(t.Context()), winch.ErrInvalid)
	t.Run("also if only the revision differs", func(t *testing.T) {
		wrong.Edition.Digest = uint64(editionOf(9, []byte("true"), 9).digest)
		assert.NilError(t, host.applyRelayed([]byte("false"), 9, start, "another"))
		assert.ErrorIs(t, host.fetchFromHolder(t.Context()), winch.ErrInvalid)
	})
}

// literalSource has one configuration and keeps the raw form of the last that was decoded.
type literalSource struct {
	fakeSource
	raw, decoded string
}

func (s *literalSource) Fetch(context.Context, winch.Version, winch.LongRead) ([]byte, winch.Version, error) {
	return []byte(s.raw), s.version, s.err
}

func (s *literalSource) Decode(raw []byte) (*winch.Configuration, error) {
	s.decoded = string(raw)
	return &winch.Configuration{}, nil
}

// An absent list, an empty one and null do not mean the same, so hosts pass on what the operator wrote.
func TestHostsPassTheConfigurationOnUnchanged(t *testing.T) {
	for name, raw := range map[string]string{
		"absent":       `{ "other" : 1 }`,
		"empty":        `{ "list" : [ ] }`,
		"null":         `{ "list" : null }`,
		"null, large":  `{ "list" : null }` + strings.Repeat(" ", inlineLimit),
		"empty, large": `{ "list" : [ ] }` + strings.Repeat(" ", inlineLimit),
	} {
		t.Run(name, func(t *testing.T) {
			hub := newHostOf(t, "", &literalSource{fakeSource: fakeSource{version: 5}, raw: raw})
			hub.Step(t.Context())
			server := httptest.NewServer(httpjson.RequireSecret("s", hub.Handler()))
			t.Cleanup(server.Close)
			own := &literalSource{fakeSource: fakeSource{err: winch.ErrUnavailable}}
			host := newHostOf(t, strings.TrimPrefix(server.URL, "http://"), own)
			host.Connect("s")
			assert.NilError(t, host.Section().Apply(start, start, "hub", hub.Section().Summary(start, "self")))
			host.catchUp(t.Context())
			assert.Equal(t, own.decoded, raw)
		})
	}
}

func TestMalformedContent(t *testing.T) {
	deflated := func(size int) []byte {
		out := &bytes.Buffer{}
		writer, err := flate.NewWriter(out, flate.BestSpeed)
		assert.NilError(t, err)
		_, err = writer.Write(make([]byte, size))
		assert.NilError(t, err)
		assert.NilError(t, writer.Close())
		return out.Bytes()
	}
	for name, content := range map[string][]byte{"not compressed": []byte("true"), "cut": deflated(1000)[:5], "too large": deflated(maxContentBytes + 1)} {
		t.Run(name, func(t *testing.T) {
			_, err := contentResponse{Deflated: content}.decompress()
			assert.ErrorIs(t, err, winch.ErrInvalid)
		})
	}
}

// undecodableSource has a version that cannot be decoded.
type undecodableSource struct{ *fakeSource }

func (undecodableSource) Decode([]byte) (*winch.Configuration, error) { return nil, winch.ErrInvalid }

func TestVersionThatCannotBeDecodedIsNotWaitedFor(t *testing.T) {
	host := newHostOf(t, "127.0.0.1:1", undecodableSource{&fakeSource{version: 5}})
	host.hearOfNewer(evidence{edition: edition{version: 5}, confirmed: start}, "")
	assert.Assert(t, host.isBehind())
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	host.catchUp(ctx)
	assert.NilError(t, ctx.Err())
	assert.Assert(t, !host.isBehind())
}
