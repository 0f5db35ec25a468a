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
	result := &row{promise: "a withdrawn key is rejected within seconds, also on open streams and idle connections", faults: "traffic in every data centre"}
	firstTokens, streamResults := sync.WaitGroup{}, make([]streamResult, len(s.hosts))
	clients := make([]*http.Client, len(s.hosts))
	streams := sync.WaitGroup{}
	for i, h := range s.hosts {
		clients[i] = &http.Client{Transport: &http.Transport{}}
		assert.Equal(t, s.send(clients[i], s.completion(h, callerKey, 1, false)).status, http.StatusOK)
		firstTokens.Add(1)
		streams.Go(func() { streamResults[i] = s.stream(h, callerKey, 4000, firstTokens.Done) })
	}
	firstTokens.Wait()
	committed := time.Now()
	s.apply(s.hosts[0], withdrawKeyNote("withdraw"))
	streams.Wait()
	took := time.Since(committed)
	result.runs = len(s.hosts)
	for i, end := range streamResults {
		if end.outcome != "key_withdrawn" {
			result.addViolation("stream at %s ended with %q", s.hosts[i].id, end.outcome)
		}
		if got := s.send(clients[i], s.completion(s.hosts[i], callerKey, 1, false)); got.status != http.StatusUnauthorized {
			result.addViolation("idle connection to %s got status %d", s.hosts[i].id, got.status)
		}
	}
	t.Logf("all streams ended %s after the commit", took)
	if took > 5*time.Second {
		result.addViolation("streams continued for %s", took)
	}
	result.check(t)
}

// checkKeyRejected calls the hosts for a while with the withdrawn key, and adds a violation if one serves it.
func (s *system) checkKeyRejected(result *row, hosts []*host, duration time.Duration) {
	deadline := time.Now().Add(duration)
	for time.Now().Before(deadline) {
		for _, h := range hosts {
			result.runs++
			if got := s.complete(h, callerKey, 1); got.status == http.StatusOK {
				result.addViolation("%s served a request with the withdrawn key after the note was accepted", h.id)
				return
			}
		}
	}
}

func TestFaultsAcceptedNeverReverts(t *testing.T) {
	s := startSystem(t, nil)
	s.applyBase()
	result := &row{promise: "an accepted note is applied everywhere and never reverts", faults: "key-value service unavailable after acceptance, hosts replaced, data centre reconnected"}
	s.apply(s.hosts[0], withdrawKeyNote("withdraw"))
	s.waitAccepted(s.hosts[0], "withdraw")
	s.checkKeyRejected(result, s.hosts, time.Second)
	s.injectFault("keyvalue", "outage", jsonObject{"Duration": "6s"})
	for _, id := range []string{"a-1", "b-2", "c-1"} {
		s.replaceHost(s.host(id))
	}
	s.setLinks("b", linkFrozen)
	s.checkKeyRejected(result, s.hosts, 4*time.Second)
	s.setLinks("b", linkOpen)
	s.checkKeyRejected(result, s.hosts, 4*time.Second)
	result.check(t)
}

// isolateDataCentre withdraws a key while data centre c is isolated, and checks that no host
// serves requests with the key once the note is accepted. It returns how long c served them after the cut.
func isolateDataCentre(t *testing.T, result *row, change func(id string, settings jsonObject)) time.Duration {
	s := startSystem(t, change)
	s.applyBase()
	isolated := s.host("c-1")
	s.cutKeyValue("c", true)
	s.setLinks("c", linkCut)
	cut := time.Now()
	s.apply(s.hosts[0], withdrawKeyNote("withdraw"))
	acceptedFor := time.Duration(0)
	s.waitFor("acceptance", func() bool {
		if s.complete(isolated, callerKey, 1).status == http.StatusOK {
			acceptedFor = time.Since(cut)
		}
		status, err := s.noteStatus(s.hosts[0], "withdraw")
		return err == nil && status.Accepted
	})
	t.Logf("requests with the key were served for %s, the note of its withdrawal was accepted after %s", acceptedFor, time.Since(cut))
	s.checkKeyRejected(result, s.hosts, 2*time.Second)
	s.cutKeyValue("c", false)
	s.setLinks("c", linkOpen)
	s.checkKeyRejected(result, s.hosts, 3*time.Second)
	return acceptedFor
}

func TestFaultsIsolatedDataCentre(t *testing.T) {
	const faults = "data centre isolated from peers and the key-value service"
	const promise = "acceptance waits for an isolated data centre, which stops accepting keys after the grace period"
	t.Run("guarded", func(t *testing.T) {
		result := &row{promise: promise, faults: faults}
		if acceptedFor := isolateDataCentre(t, result, nil); acceptedFor < isolationGrace/2 {
			result.addViolation("requests with the key were served for %s only", acceptedFor)
		}
		result.check(t)
	})
	t.Run("a data centre that ignores the grace period", func(t *testing.T) {
		result := &row{promise: promise, faults: faults}
		isolateDataCentre(t, result, func(id string, settings jsonObject) {
			// The other hosts accept the note after their own, shorter grace period, while c still
			// accepts the key.
			if id[:1] == "c" {
				settings["Release"] = jsonObject{"FreshnessLimit": freshnessLimit.String(), "IsolationGrace": "10m"}
			}
		})
		result.checkGuardOff(t)
	})
}

func TestFaultsPlatformUnavailable(t *testing.T) {
	s := startSystem(t, nil)
	s.applyBase()
	result := &row{promise: "serving continues while the key-value service is unavailable", faults: "key-value service down for longer than the isolation grace"}
	s.injectFault("keyvalue", "outage", jsonObject{"Duration": "15s"})
	deadline := time.Now().Add(14 * time.Second)
	for time.Now().Before(deadline) {
		for _, h := range s.hosts {
			result.runs++
			if got := s.complete(h, callerKey, 1); got.status != http.StatusOK {
				result.addViolation("%s responded with %d %s", h.id, got.status, got.code)
			}
		}
	}
	result.check(t)
}

func TestFaultsRacingOperators(t *testing.T) {
	s := startSystem(t, nil)
	s.applyBase()
	result := &row{promise: "of competing notes one is committed, the others get a conflict; a note is applied once", faults: "responses of the key-value service lost after the call took effect"}
	s.injectFault("keyvalue", "lose_answer", jsonObject{"Count": 6})
	status := s.apply(s.hosts[0], jsonObject{"ID": "twice", "Added": jsonObject{"Organisations": []jsonObject{{"ID": "extra", "Weight": 1}}}})
	again := s.apply(s.hosts[3], jsonObject{"ID": "twice", "Added": jsonObject{"Organisations": []jsonObject{{"ID": "extra", "Weight": 1}}}})
	if status.Revision != again.Revision {
		result.addViolation("note got revisions %d and %d", status.Revision, again.Revision)
	}
	base := status.Revision
	statuses := make([]int, len(s.hosts))
	racers := sync.WaitGroup{}
	for i, h := range s.hosts {
		racers.Go(func() {
			note := jsonObject{"ID": fmt.Sprintf("race-%d", i), "Base": base, "Changed": jsonObject{"Organisations": []jsonObject{{"ID": "extra", "Weight": i + 2}}}}
			statuses[i] = s.postNote(h, note)
		})
	}
	racers.Wait()
	won := 0
	for i, status := range statuses {
		result.runs++
		switch status {
		case http.StatusOK:
			won++
		case http.StatusConflict:
		default:
			result.addViolation("operator at %s got status %d", s.hosts[i].id, status)
		}
	}
	if won != 1 {
		result.addViolation("%d competing notes were committed", won)
	}
	result.check(t)
}
