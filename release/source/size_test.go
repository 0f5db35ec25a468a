package source

import (
	"context"
	"testing"

	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"

	"github.com/arbutuswinch/winch"
)

// largeSource is a source whose configuration has a megabyte.
type largeSource struct{ *fakeSource }

func (s largeSource) Fetch(ctx context.Context, known winch.Version, read winch.LongRead) ([]byte, winch.Version, error) {
	raw, version, err := s.fakeSource.Fetch(ctx, known, read)
	if raw == nil || err != nil {
		return raw, version, err
	}
	return append(raw, make([]byte, 1<<20)...), version, nil
}

func (s largeSource) Decode(raw []byte) (*winch.Configuration, error) {
	return s.fakeSource.Decode(raw[:len(raw)-1<<20])
}

func TestExchangeDoesNotGrowWithTheConfiguration(t *testing.T) {
	c := &fakeClock{now: start}
	hub, err := New(Options{Source: largeSource{&fakeSource{version: 5}}, Clock: c, Logger: hclog.NewNullLogger()})
	assert.NilError(t, err)
	hub.Step(t.Context())
	assert.Equal(t, hub.Current().Revision, winch.Revision(0))
	assert.Equal(t, hub.ConfirmedAt(), start)
	for name, message := range map[string][]byte{
		"summary for a host without the version": hub.Section().Summary(c.now, "host"),
		"report to a hub without the version":    hub.Section().Report(c.now),
	} {
		assert.Assert(t, len(message) < 1<<10, "%s: %d bytes", name, len(message))
	}
}
