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

// seedsVariable names more seeds, such as "10-30" or "7".
const seedsVariable = "WINCH_FAULT_SEEDS"

// shortGrace is short enough that notes are accepted, without a data centre that is cut off or a
// host that is frozen, before the longest faults end.
const shortGrace = 2 * time.Second

// togetherSeeds returns the seeds that are always tried, or those of the environment.
func togetherSeeds(t *testing.T) []uint64 {
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

// TestFaultsTogether shows many faults at once, drawn from a seed, while callers and
// operators go on, and judges all promises at the end.
func TestFaultsTogether(t *testing.T) {
	for _, seed := range togetherSeeds(t) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) { runTogether(t, seed) })
	}
}

func runTogether(t *testing.T, seed uint64) {
	s := startSystem(t, func(_ string, settings jsonObject) {
		settings["Release"] = jsonObject{"FreshnessLimit": freshnessLimit.String(), "IsolationGrace": shortGrace.String()}
	})
	s.keepLogs(fmt.Sprintf("together-%d-", seed))
	s.applyBase()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	drawn := drawSchedule(seed)
	g := &together{
		system: s, schedule: drawn, lives: newLives(s.hosts), ctx: ctx, done: make(chan struct{}),
		records: newRecords(fmt.Sprintf("everything at once, seed %d", seed), drawn), keys: &keyRounds{states: map[string]keyState{}},
	}
	g.records.serve(time.Now(), 0, int64(len(s.hosts))) // applyBase got one token of each host.
	g.keys.raise(s.waitAccepted(s.hosts[0], "base").Revision)
	t.Logf("seed %d:\n%s", seed, g.schedule)

	group := sync.WaitGroup{}
	g.startCallers(seed, &group)
	g.startOperators(seed, &group)
	g.startWatchers(&group)
	g.show()
	t.Logf("all faults have ended")
	close(g.done)
	mustHeal := time.AfterFunc(waitLimit, cancel)
	defer mustHeal.Stop()
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		group.Wait()
	}()
	g.heal(ended)
	<-ended
	g.judgeKeys()
	g.judge()
	for _, promise := range promises {
		g.records.rows[promise].check(t)
	}
}
