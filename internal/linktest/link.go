// Package linktest provides TCP links between processes that tests can delay and interrupt.
//
// # Usage
//
//	link := linktest.New(t, serverAddress)
//	link.Cut(t)
//	// Callers of link.Address() get no response, and their connections stay open.
//	link.Heal(t) // closes these connections; new ones work
package linktest

import (
	"fmt"
	"strings"
	"testing"
	"time"

	toxiproxy "github.com/Shopify/toxiproxy/v2"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"
)

// Link is a TCP proxy that can delay and interrupt traffic.
type Link struct{ proxy *toxiproxy.Proxy }

// New starts a link to the upstream address. It is closed at the end of the test.
func New(t *testing.T, upstream string) *Link {
	t.Helper()
	server := toxiproxy.NewServer(toxiproxy.NewMetricsContainer(prometheus.NewRegistry()), zerolog.Nop())
	proxy := toxiproxy.NewProxy(server, "link", "127.0.0.1:0", upstream)
	assert.NilError(t, proxy.Start())
	t.Cleanup(proxy.Stop)
	return &Link{proxy: proxy}
}

// Address returns the IP address and port that callers connect to.
func (l *Link) Address() string { return l.proxy.Listen }

// Slow delays traffic in both directions by latency.
func (l *Link) Slow(t *testing.T, latency time.Duration) {
	t.Helper()
	l.addToxic(t, "slow", "latency", fmt.Sprintf(`"latency":%d`, latency.Milliseconds()))
}

// Upstream returns the address to which the link leads.
func (l *Link) Upstream() string { return l.proxy.Upstream }

// Limit bounds the rate of each connection in each direction.
func (l *Link) Limit(t *testing.T, bytesPerSecond int) {
	t.Helper()
	l.addToxic(t, "limit", "bandwidth", fmt.Sprintf(`"rate":%d`, bytesPerSecond/1024))
}

// Cut discards traffic in both directions until Heal is called. Connections stay open until then.
func (l *Link) Cut(t *testing.T) {
	t.Helper()
	l.addToxic(t, "cut", "timeout", `"timeout":0`)
}

// Heal restores traffic after Cut. Connections that were open during the cut are closed. A delay by
// Slow remains.
func (l *Link) Heal(t *testing.T) {
	t.Helper()
	for _, direction := range directions() {
		assert.NilError(t, l.proxy.Toxics.RemoveToxic(t.Context(), "cut-"+direction))
	}
}

// addToxic adds a toxic to both directions.
func (l *Link) addToxic(t *testing.T, name, kind, attributes string) {
	t.Helper()
	for _, direction := range directions() {
		toxic := fmt.Sprintf(`{"name":"%s-%s","type":"%s","stream":"%s","attributes":{%s}}`, name, direction, kind, direction, attributes)
		_, err := l.proxy.Toxics.AddToxicJson(strings.NewReader(toxic))
		assert.NilError(t, err)
	}
}

func directions() []string { return []string{"upstream", "downstream"} }
