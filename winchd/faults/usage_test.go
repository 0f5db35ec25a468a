package faults

import (
	"testing"
	"time"
)

// judgeUsage counts windows that were reported with different figures, and by an older term after a newer.
func (s *system) judgeUsage(result *row) (tokens int64) {
	highest := map[int]int64{}
	billed := map[int]map[time.Time]bool{}
	for _, received := range s.state().Usage {
		report := received.Report
		result.runs++
		if received.Verdict == "differs" {
			result.violate("shard %d window %s was reported again with other figures by %s", report.Shard, report.Window, report.Reporter)
		}
		if report.FencingNumber < highest[report.Shard] {
			result.violate("shard %d was reported by term %d after term %d", report.Shard, report.FencingNumber, highest[report.Shard])
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
	served := int64(len(s.hosts)) // applyBase asks each host for at least one token.
	result := &row{promise: "a usage window is reported once, and by one host in charge", faults: "reporter frozen and woken, answers of the key-value service lost, platform away for a window"}
	serve := func() {
		for _, h := range s.hosts {
			if h.process.running() && s.complete(h, secret, tokens).status == 200 {
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
	s.fault("keyvalue", "lose_answer", jsonObject{"Count": 5})
	s.waitFor("a report of a successor", func() bool {
		for _, h := range s.hosts {
			if h != frozen && s.complete(h, secret, 1).status == 200 {
				served++
			}
		}
		return reporter() != frozen
	})
	frozen.process.thaw()
	s.fault("keyvalue", "outage", jsonObject{"Duration": usageWindow.String()})
	for range rounds {
		serve()
	}
	s.waitFor("all tokens are reported", func() bool { return s.judgeUsage(&row{}) >= served })
	if reported := s.judgeUsage(result); reported > served+served/10 {
		result.violate("%d tokens were reported of %d served", reported, served)
	}
	result.check(t)
}
