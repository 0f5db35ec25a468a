package faults

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestFaultsKeyWithdrawn(t *testing.T) {
	s := startSystem(t, nil)
	s.applyBase()
	result := &row{promise: "a withdrawn key stops within seconds, also on open streams and kept connections", faults: "traffic runs in every data centre"}
	begun, ends := sync.WaitGroup{}, make([]streamEnd, len(s.hosts))
	clients := make([]*http.Client, len(s.hosts))
	streams := sync.WaitGroup{}
	for i, h := range s.hosts {
		clients[i] = &http.Client{Transport: &http.Transport{}}
		assert.Equal(t, s.send(clients[i], s.completion(h, secret, 1, false)).status, http.StatusOK)
		begun.Add(1)
		streams.Go(func() { ends[i] = s.stream(h, secret, 4000, begun.Done) })
	}
	begun.Wait()
	committed := time.Now()
	s.apply(s.hosts[0], withdrawal("withdraw"))
	streams.Wait()
	took := time.Since(committed)
	result.runs = len(s.hosts)
	for i, end := range ends {
		if end.how != "key_withdrawn" {
			result.violate("stream at %s ended with %q", s.hosts[i].id, end.how)
		}
		if got := s.send(clients[i], s.completion(s.hosts[i], secret, 1, false)); got.status != http.StatusUnauthorized {
			result.violate("kept connection at %s got %d", s.hosts[i].id, got.status)
		}
	}
	t.Logf("all streams ended %s after the commit", took)
	if took > 5*time.Second {
		result.violate("streams ran on for %s", took)
	}
	result.check(t)
}

// watchKey calls the hosts for a while and counts answers for the withdrawn key.
func (s *system) watchKey(result *row, hosts []*host, until time.Duration) {
	deadline := time.Now().Add(until)
	for time.Now().Before(deadline) {
		for _, h := range hosts {
			result.runs++
			if got := s.complete(h, secret, 1); got.status == http.StatusOK {
				result.violate("%s honoured the key after acceptance", h.id)
				return
			}
		}
	}
}

func TestFaultsAcceptedNeverReverts(t *testing.T) {
	s := startSystem(t, nil)
	s.applyBase()
	result := &row{promise: "an accepted note is in force everywhere and never reverts", faults: "platform away after acceptance, hosts replaced, data centre back"}
	s.apply(s.hosts[0], withdrawal("withdraw"))
	s.waitAccepted(s.hosts[0], "withdraw")
	s.watchKey(result, s.hosts, time.Second)
	s.fault("keyvalue", "outage", jsonObject{"Duration": "6s"})
	for _, id := range []string{"a-1", "b-2", "c-1"} {
		s.replaceHost(s.host(id))
	}
	s.isolate("b", linkFrozen)
	s.watchKey(result, s.hosts, 4*time.Second)
	s.isolate("b", linkOpen)
	s.watchKey(result, s.hosts, 4*time.Second)
	result.check(t)
}

// isolateDataCentre withdraws a key while data centre c is cut off, and watches that no
// host honours it after acceptance. It returns how long c honoured the key after the cut.
func isolateDataCentre(t *testing.T, result *row, change func(id string, settings jsonObject)) time.Duration {
	s := startSystem(t, change)
	s.applyBase()
	isolated := s.host("c-1")
	s.cutPlatform("c", true)
	s.isolate("c", linkCut)
	cut := time.Now()
	s.apply(s.hosts[0], withdrawal("withdraw"))
	honoured := time.Duration(0)
	s.waitFor("acceptance", func() bool {
		if s.complete(isolated, secret, 1).status == http.StatusOK {
			honoured = time.Since(cut)
		}
		status, err := s.noteStatus(s.hosts[0], "withdraw")
		return err == nil && status.Accepted
	})
	t.Logf("honoured for %s, accepted after %s", honoured, time.Since(cut))
	s.watchKey(result, s.hosts, 2*time.Second)
	s.cutPlatform("c", false)
	s.isolate("c", linkOpen)
	s.watchKey(result, s.hosts, 3*time.Second)
	return honoured
}

func TestFaultsIsolatedDataCentre(t *testing.T) {
	const faults = "data centre cut off from peers and platform"
	const promise = "acceptance waits for a data centre that is cut off, which stops honouring keys after the grace"
	t.Run("guarded", func(t *testing.T) {
		result := &row{promise: promise, faults: faults}
		if honoured := isolateDataCentre(t, result, nil); honoured < isolationGrace/2 {
			result.violate("keys were honoured for %s only", honoured)
		}
		result.check(t)
	})
	t.Run("a data centre that ignores the grace", func(t *testing.T) {
		result := &row{promise: promise, faults: faults}
		isolateDataCentre(t, result, func(id string, settings jsonObject) {
			if id[:1] == "c" {
				settings["Release"] = jsonObject{"FreshnessLimit": freshnessLimit.String(), "IsolationGrace": "10m"}
			}
		})
		result.checkGuardOff(t)
	})
}

func TestFaultsPlatformAway(t *testing.T) {
	s := startSystem(t, nil)
	s.applyBase()
	result := &row{promise: "serving goes on while the platform is away", faults: "key-value service down for longer than the isolation grace"}
	s.fault("keyvalue", "outage", jsonObject{"Duration": "15s"})
	deadline := time.Now().Add(14 * time.Second)
	for time.Now().Before(deadline) {
		for _, h := range s.hosts {
			result.runs++
			if got := s.complete(h, secret, 1); got.status != http.StatusOK {
				result.violate("%s answered %d %s", h.id, got.status, got.code)
			}
		}
	}
	result.check(t)
}

func TestFaultsRacingOperators(t *testing.T) {
	s := startSystem(t, nil)
	s.applyBase()
	result := &row{promise: "racing notes: one wins, the other hears what clashed; a note is applied once", faults: "answers of the key-value service lost after effect"}
	s.fault("keyvalue", "lose_answer", jsonObject{"Count": 6})
	status := s.apply(s.hosts[0], jsonObject{"ID": "twice", "Added": jsonObject{"Organisations": []jsonObject{{"ID": "extra", "Weight": 1}}}})
	again := s.apply(s.hosts[3], jsonObject{"ID": "twice", "Added": jsonObject{"Organisations": []jsonObject{{"ID": "extra", "Weight": 1}}}})
	if status.Revision != again.Revision {
		result.violate("note got revisions %d and %d", status.Revision, again.Revision)
	}
	base := status.Revision
	answers := make([]int, len(s.hosts))
	racers := sync.WaitGroup{}
	for i, h := range s.hosts {
		racers.Go(func() {
			note := jsonObject{"ID": fmt.Sprintf("race-%d", i), "Base": base, "Changed": jsonObject{"Organisations": []jsonObject{{"ID": "extra", "Weight": i + 2}}}}
			answers[i] = s.postNote(h, note)
		})
	}
	racers.Wait()
	won := 0
	for i, status := range answers {
		result.runs++
		switch status {
		case http.StatusOK:
			won++
		case http.StatusConflict:
		default:
			result.violate("operator at %s got %d", s.hosts[i].id, status)
		}
	}
	if won != 1 {
		result.violate("%d racing notes were committed", won)
	}
	result.check(t)
}
