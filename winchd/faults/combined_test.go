package faults

import (
	"context"
	"fmt"
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// seedsVariable is the environment variable that sets the seeds, as a number such as 7 or as a
// range such as 10-30.
const seedsVariable = "WINCH_FAULT_SEEDS"

// shortGrace is short enough that notes are accepted before the longest faults end, without
// waiting for an isolated data centre or a frozen host to come back.
const shortGrace = 2 * time.Second

// combinedSeeds returns the seeds set in the environment, or the default seeds.
func combinedSeeds(t *testing.T) []uint64 {
	t.Helper()
	named := os.Getenv(seedsVariable)
	if named == "" {
		return []uint64{1, 2, 3}
	}
	first, last, isRange := strings.Cut(named, "-")
	if !isRange {
		last = first
	}
	low, err := strconv.ParseUint(first, 10, 32)
	assert.NilError(t, err, seedsVariable)
	high, err := strconv.ParseUint(last, 10, 32)
	assert.NilError(t, err, seedsVariable)
	seeds := []uint64{}
	for seed := low; seed <= high; seed++ {
		seeds = append(seeds, seed)
	}
	return seeds
}

// TestFaultsCombined injects many overlapping faults, generated from a seed, while callers
// and operators continue, and checks all promises at the end.
func TestFaultsCombined(t *testing.T) {
	for _, seed := range combinedSeeds(t) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) { runCombined(t, seed) })
	}
}

func runCombined(t *testing.T, seed uint64) {
	s := startSystem(t, func(_ string, settings jsonObject) {
		settings["Release"] = jsonObject{"FreshnessLimit": freshnessLimit.String(), "IsolationGrace": shortGrace.String()}
	})
	s.keepLogs(fmt.Sprintf("together-%d-", seed))
	s.applyBase()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	generated := generateSchedule(seed)
	r := &combinedRun{
		system: s, schedule: generated, availability: newAvailability(s.hosts), ctx: ctx, done: make(chan struct{}),
		records: newRecords(fmt.Sprintf("all faults combined, seed %d", seed), generated), keys: &keyTracker{states: map[string]keyState{}},
	}
	r.records.recordServed(time.Now(), 0, int64(len(s.hosts))) // applyBase got one token of each host.
	r.keys.setAccepted(s.waitAccepted(s.hosts[0], "base").Revision)
	t.Logf("seed %d:\n%s", seed, r.schedule)

	group := sync.WaitGroup{}
	r.startCallers(seed, &group)
	r.startOperators(seed, &group)
	r.startWatchers(&group)
	r.runFaults()
	t.Logf("all faults have ended")
	close(r.done)
	recoveryTimer := time.AfterFunc(waitLimit, cancel)
	defer recoveryTimer.Stop()
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		group.Wait()
	}()
	r.waitRecovered(ended)
	<-ended
	r.checkWithdrawnKeys()
	r.checkPromises()
	for _, promise := range promises {
		r.records.rows[promise].check(t)
	}
}
