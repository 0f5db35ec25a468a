package endpoint

import (
	"bytes"
	"compress/flate"
	"fmt"
	"testing"
	"time"

	"github.com/arbutuswinch/winch"
)

// benchHub returns a hub with reports of hosts that have requests on all endpoints.
func benchHub(b *testing.B, hosts, endpoints int) (*core, time.Time) {
	b.Helper()
	c, now := benchCore(endpoints, 0)
	for host := range hosts {
		report := newStats()
		for i, e := range c.sortedEndpoints {
			report.endpoints[e.spec.ID] = endpointStats{Running: (host + i) % 3, Limit: 16}
		}
		for _, l := range c.sortedLanes {
			report.lanes[l.key] = laneStats{Queued: host, Running: host}
		}
		for i := range maxReportedAccounts {
			report.charged[accountKey{tier: 1, organisation: winch.OrganisationID(fmt.Sprintf("organisation-%d", i))}] = int64(1000 + host)
		}
		c.hub.collect(now, winch.HostID(fmt.Sprintf("host-%d", host)), report)
	}
	return c, now
}

// BenchmarkSummary measures the hub's summary for one host. It also reports the summary's size
// in bytes, as JSON and deflated.
func BenchmarkSummary(b *testing.B) {
	for _, size := range []struct{ hosts, endpoints int }{{6, 24}, {20, 100}, {44, 100}, {44, 400}} {
		b.Run(fmt.Sprintf("hosts=%d/endpoints=%d", size.hosts, size.endpoints), func(b *testing.B) {
			c, now := benchHub(b, size.hosts, size.endpoints)
			var encoded []byte
			b.ReportAllocs()
			for b.Loop() {
				encoded = encodeStats(c.summary(now, "host-0"))
			}
			deflated := &bytes.Buffer{}
			writer, err := flate.NewWriter(deflated, flate.DefaultCompression)
			if err != nil {
				b.Fatal(err)
			}
			if _, err := writer.Write(encoded); err != nil {
				b.Fatal(err)
			}
			if err := writer.Close(); err != nil {
				b.Fatal(err)
			}
			b.ReportMetric(float64(len(encoded)), "JSON-B/op")
			b.ReportMetric(float64(deflated.Len()), "deflated-B/op")
		})
	}
}
