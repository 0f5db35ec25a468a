package faults

import (
	"testing"
	"time"
)

// checkUsage adds a violation for each window that was reported again with different usage, and for each
// report of an older term after a newer one. It returns the reported output tokens.
func (s *system) checkUsage(result *row) (tokens int64) {
	highest := map[int]int64{}
	billed := map[int]map[time.Time]bool{}
	for _, received := range s.state().Usage {
		report := received.Report
		result.runs++
		if received.Verdict == "differs" {
			result.addViolation("shard %d window %s was reported again with different usage by %s", report.Shard, report.Window, report.Reporter)
		}
		if report.FencingNumber < highest[report.Shard] {
			result.addViolation("shard %d was reported by term %d after term %d", report.Shard, report.FencingNumber, highest[report.Shard])
		}
		highest[report.Shard] = max(highest[report.Shard], report.FencingNumber)
		if billed[report.Shard] == nil {
			billed[report.Shard] = map[time.Time]bool{}
		}
		if billed[report.Shard][report.Window] {
			continue
		}
		billed[report.Shard][report.Window] = true
		for _, figures := range report.Figures {
			tokens += figures.OutputTokens
		}
	}
	return tokens
}

func TestFaultsUsage(t *testing.T) {
	const tokens, rounds = 10, 5
	s := startSystem(t, nil)
	s.applyBase()
	served := int64(len(s.hosts)) // applyBase requests at least one token from each host.
	result := &row{promise: "a usage window is reported once, by one lease holder", faults: "reporter frozen and resumed, responses of the key-value service lost, key-value service unavailable for one window"}
	serve := func() {
		for _, h := range s.hosts {
			if h.process.running() && s.complete(h, callerKey, tokens).status == 200 {
				served += tokens
			}
		}
	}
	reporter := func() *host {
		reports := s.state().Usage
		if len(reports) == 0 {
			return nil
		}
		return s.host(reports[len(reports)-1].Report.Reporter)
	}
	serve()
	s.waitFor("a first report", func() bool { return reporter() != nil })
	frozen := reporter()
	frozen.process.freeze()
	s.injectFault("keyvalue", "lose_answer", jsonObject{"Count": 5})
	s.waitFor("a report of a successor", func() bool {
		for _, h := range s.hosts {
			if h != frozen && s.complete(h, callerKey, 1).status == 200 {
				served++
			}
		}
		return reporter() != frozen
	})
	frozen.process.thaw()
	s.injectFault("keyvalue", "outage", jsonObject{"Duration": usageWindow.String()})
	for range rounds {
		serve()
	}
	s.waitFor("all tokens are reported", func() bool { return s.checkUsage(&row{}) >= served })
	// served leaves out requests that failed after tokens were generated; their usage is reported too.
	if reported := s.checkUsage(result); reported > served+served/10 {
		result.addViolation("%d tokens were reported, but only %d were served", reported, served)
	}
	result.check(t)
}
