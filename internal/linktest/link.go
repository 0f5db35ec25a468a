// Package linktest has links between processes that tests slow and cut.
//
// # Usage
//
//	link := linktest.New(t, serverAddress)
//	link.Cut(t)
//	// Callers of link.Address() hear nothing, and their connections stay open.
//	link.Heal(t)
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

// Link is a connection between processes that can be slowed and cut.
type Link struct{ proxy *toxiproxy.Proxy }

// New returns a link to the address, which is closed at the end of the test.
func New(t *testing.T, upstream string) *Link {
	t.Helper()
	server := toxiproxy.NewServer(toxiproxy.NewMetricsContainer(prometheus.NewRegistry()), zerolog.Nop())
	proxy := toxiproxy.NewProxy(server, "link", "127.0.0.1:0", upstream)
	assert.NilError(t, proxy.Start())
	t.Cleanup(proxy.Stop)
	return &Link{proxy: proxy}
}

// Address is the IP number and port that callers use.
func (l *Link) Address() string { return l.proxy.Listen }

// Slow delays everything in both directions.
func (l *Link) Slow(t *testing.T, latency time.Duration) {
	t.Helper()
	l.add(t, "slow", "latency", fmt.Sprintf(`"latency":%d`, latency.Milliseconds()))
}

// Cut lets nothing through in either direction until Heal; connections stay open.
func (l *Link) Cut(t *testing.T) {
	t.Helper()
	l.add(t, "cut", "timeout", `"timeout":0`)
}

// Heal ends a cut.
func (l *Link) Heal(t *testing.T) {
	t.Helper()
	for _, stream := range streams() {
		assert.NilError(t, l.proxy.Toxics.RemoveToxic(t.Context(), "cut-"+stream))
	}
}

// add disturbs both directions.
func (l *Link) add(t *testing.T, name, kind, attributes string) {
	t.Helper()
	for _, stream := range streams() {
		toxic := fmt.Sprintf(`{"name":"%s-%s","type":"%s","stream":"%s","attributes":{%s}}`, name, stream, kind, stream, attributes)
		_, err := l.proxy.Toxics.AddToxicJson(strings.NewReader(toxic))
		assert.NilError(t, err)
	}
}

func streams() []string { return []string{"upstream", "downstream"} }
