package peer

import (
	"fmt"
	"testing"

	"github.com/arbutuswinch/winch"
	"github.com/arbutuswinch/winch/release"
)

// largeConfiguration returns a configuration of 2,000 organisations with two keys each,
// 3,600 endpoints and 100 classes.
func largeConfiguration() *winch.Configuration { return configurationOf(2000, 2, 3600) }

func configurationOf(organisations, keysEach, endpoints int) *winch.Configuration {
	configuration := release.Empty()
	configuration.Revision = 1
	for i := range 100 {
		id := winch.ClassID(fmt.Sprintf("class-%d", i))
		configuration.Classes[id] = winch.Class{ID: id, Tier: 1, FirstTokenTarget: 1, MaxWait: 1, QueueLimit: 1, Models: []winch.ModelID{"model"}}
	}
	for i := range organisations {
		id := winch.OrganisationID(fmt.Sprintf("organisation-%d", i))
		configuration.Organisations[id] = winch.Organisation{ID: id, Weight: 1}
		for k := range keysEach {
			key := winch.KeyID(fmt.Sprintf("key-%d-%d", i, k))
			configuration.Keys[key] = winch.Key{ID: key, Organisation: id, Hash: winch.HashKey(string(key))}
		}
	}
	for i := range endpoints {
		id := winch.EndpointID(fmt.Sprintf("endpoint-%d", i))
		configuration.Endpoints[id] = winch.Endpoint{
			ID: id, DataCentre: "dc", Kind: winch.EndpointEngine, Address: fmt.Sprintf("10.0.%d.%d:80", i/250, i%250+1),
			Models: []winch.ModelID{"model"}, Classes: []winch.ClassID{"class-1"}, Supply: winch.SupplySteady, SlotLimit: 8,
		}
	}
	return configuration
}

// BenchmarkChange measures how long a change holds the lock of the state, with the configuration of the largest deployments and with the
// largest one that release.Check allows.
func BenchmarkChange(b *testing.B) {
	withdrawnKey := winch.Note{ID: "n", Withdrawn: winch.ItemIDs{Keys: []winch.KeyID{"key-1-1"}}}
	withdrawnEndpoint := winch.Note{ID: "n", Withdrawn: winch.ItemIDs{Endpoints: []winch.EndpointID{"endpoint-1"}}}
	for name, configuration := range map[string]*winch.Configuration{"deployment": largeConfiguration(), "limits": configurationOf(20_000, 5, 20_000)} {
		for item, note := range map[string]winch.Note{"key": withdrawnKey, "endpoint": withdrawnEndpoint} {
			b.Run(name+"/"+item, func(b *testing.B) {
				s := newState(defaultLimits(), start)
				s.replaceIfNewer(start, configuration, nil)
				b.ReportAllocs()
				for b.Loop() {
					s.applyRecords(start, []winch.ReleaseRecord{{Revision: s.current.Revision + 1, Note: note}})
				}
			})
		}
	}
}

func BenchmarkCheck(b *testing.B) {
	configuration := largeConfiguration()
	note := winch.Note{ID: "n", Withdrawn: winch.ItemIDs{Keys: []winch.KeyID{"key-1-1"}}}
	for b.Loop() {
		if err := release.Check(configuration, note); err != nil {
			b.Fatal(err)
		}
	}
}

func BenchmarkSnapshot(b *testing.B) {
	configuration := largeConfiguration()
	for b.Loop() {
		body, err := release.EncodeConfiguration(configuration)
		if err != nil {
			b.Fatal(err)
		}
		b.ReportMetric(float64(len(body)), "bytes")
	}
}

// BenchmarkAuthorize measures the search for a key, without the check of the proof.
func BenchmarkAuthorize(b *testing.B) {
	s := newState(defaultLimits(), start)
	s.replaceIfNewer(start, largeConfiguration(), nil)
	s.applyProof(proof{asOf: start, revision: 1})
	for name, hash := range map[string]winch.KeyHash{"known": winch.HashKey("key-7-1"), "unknown": winch.HashKey("nobody")} {
		b.Run(name, func(b *testing.B) {
			for b.Loop() {
				_, _ = s.findKey(hash)
			}
		})
	}
}

// BenchmarkMessages reports the size of a report, a summary and a digest when nothing changes.
func BenchmarkMessages(b *testing.B) {
	sim := newSimulation(b, defaultLimits(), 9, 5)
	sim.commit(sim.host("0-0"), true)
	sim.runFor(20e9) // 20 s, until the note is accepted
	host, hub := sim.host("0-1"), sim.host("0-0")
	for b.Loop() {
		report := host.distributor.Section().Report(host.Now())
		summary := hub.distributor.Section().Summary(hub.Now(), "0-1")
		b.ReportMetric(float64(len(report)), "report-B")
		b.ReportMetric(float64(len(summary)), "summary-B")
		b.ReportMetric(float64(len(hub.distributor.Section().Digest(hub.Now(), "dc1"))), "digest-B")
	}
}

// BenchmarkHub measures one exchange at the hub of a data centre with 44 hosts.
func BenchmarkHub(b *testing.B) {
	sim := newSimulation(b, defaultLimits(), 1, 44)
	sim.commit(sim.host("0-0"), true)
	sim.runFor(20e9) // 20 s, until the note is accepted
	host, hub := sim.host("0-1"), sim.host("0-0")
	report := host.distributor.Section().Report(host.Now())
	for b.Loop() {
		if err := hub.distributor.Section().Collect(hub.Now(), "0-1", report); err != nil {
			b.Fatal(err)
		}
		hub.distributor.Section().Summary(hub.Now(), "0-1")
	}
}
