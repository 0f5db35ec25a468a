package table

import (
	"slices"

	"github.com/arbutuswinch/winch/winchload/result"
)

const (
	shareDigits = 3
	timeDigits  = 1
)

// rows returns all rows of the table: those of each class and tier in the results, of performance,
// of correctness, and of the audit.
func rows(results []result.Result) []row {
	all := []row{}
	for _, name := range groupNames(results, func(r result.Result) []result.Group { return r.Classes }) {
		all = append(all, groupRows(name, func(r result.Result) []result.Group { return r.Classes })...)
	}
	for _, name := range groupNames(results, func(r result.Result) []result.Group { return r.Tiers }) {
		all = append(all, groupRow("attainment, "+name, shareDigits, name, func(r result.Result) []result.Group { return r.Tiers },
			func(g result.Group) float64 { return g.Attainment }))
	}
	all = append(all, performanceRows()...)
	return append(append(all, correctnessRows()...), auditRows(results)...)
}

// auditRows returns the rows of the violations, or none if no result has an audit.
func auditRows(results []result.Result) []row {
	if !slices.ContainsFunc(results, func(r result.Result) bool { return r.Audit != nil }) {
		return nil
	}
	count := func(name string, get func(*result.Audit) int) row {
		return row{name: name, value: func(r result.Result) (float64, bool) {
			if r.Audit == nil {
				return 0, false
			}
			return float64(get(r.Audit)), true
		}}
	}
	return []row{
		count("audit, refused before known lower-tier work", func(a *result.Audit) int { return a.ShedKnown }),
		count("audit, refused before lower-tier work of any host", func(a *result.Audit) int { return a.ShedTrue }),
		count("audit, preempted for no higher tier", func(a *result.Audit) int { return a.Preempted }),
		count("audit, classes starved", func(a *result.Audit) int { return a.Starved }),
		count("audit, sent to an endpoint after its notice", func(a *result.Audit) int { return a.LateWork }),
	}
}

func groupNames(results []result.Result, groups func(result.Result) []result.Group) []string {
	names := []string{}
	for _, measured := range results {
		for _, group := range groups(measured) {
			if !slices.Contains(names, group.Name) {
				names = append(names, group.Name)
			}
		}
	}
	return names
}

func groupRows(name string, groups func(result.Result) []result.Group) []row {
	return []row{
		groupRow("attainment, "+name, shareDigits, name, groups, func(g result.Group) float64 { return g.Attainment }),
		groupRow("first token p95 (ms), "+name, timeDigits, name, groups, func(g result.Group) float64 { return g.FirstToken.P95 }),
		groupRow("time between tokens p95 (ms), "+name, timeDigits, name, groups, func(g result.Group) float64 { return g.InterToken.P95 }),
		groupRow("refused, "+name, 0, name, groups, func(g result.Group) float64 { return float64(g.Refused) }),
	}
}

func groupRow(title string, digits int, name string, groups func(result.Result) []result.Group, get func(result.Group) float64) row {
	return row{name: title, digits: digits, value: func(r result.Result) (float64, bool) {
		for _, group := range groups(r) {
			if group.Name == name {
				return get(group), true
			}
		}
		return 0, false
	}}
}

func resultRow(name string, digits int, get func(result.Result) float64) row {
	return row{name: name, digits: digits, value: func(r result.Result) (float64, bool) { return get(r), true }}
}

func performanceRows() []row {
	return []row{
		resultRow("attainment, all", shareDigits, func(r result.Result) float64 { return r.Total.Attainment }),
		resultRow("attainment, worst organisation", shareDigits, func(r result.Result) float64 { return r.Worst.Attainment }),
		resultRow("goodput (tokens/s)", 0, func(r result.Result) float64 { return r.GoodputTokens }),
		resultRow("goodput (requests/s)", timeDigits, func(r result.Result) float64 { return r.GoodputRequests }),
		resultRow("wasted tokens, share", shareDigits, func(r result.Result) float64 { return r.WastedShare }),
		resultRow("cached prompt tokens, share", shareDigits, func(r result.Result) float64 {
			return float64(r.CachedTokens) / float64(max(r.CachedTokens+r.PrefillTokens, 1))
		}),
		resultRow("paid for endpoints (thousandths of the currency unit)", timeDigits, func(r result.Result) float64 { return r.Cost.Paid }),
		resultRow("paid per 1000 requests that met their targets", timeDigits, func(r result.Result) float64 { return r.Cost.PaidPerThousand }),
		resultRow("work on cheap engines, share", shareDigits, func(r result.Result) float64 { return r.Cost.CheapShare }),
	}
}

func correctnessRows() []row {
	count := func(name string, get func(result.Result) int) row {
		return resultRow(name, 0, func(r result.Result) float64 { return float64(get(r)) })
	}
	return []row{
		count("requests", func(r result.Result) int { return r.Total.Offered }),
		count("requests cut", func(r result.Result) int { return r.Total.Cut }),
		count("wrong answers", func(r result.Result) int { return r.Total.Wrong }),
		count("failed with an error", func(r result.Result) int { return r.Total.Failed }),
		count("unreached", func(r result.Result) int { return r.Total.Unreached }),
		count("confirmations", func(r result.Result) int { return r.Confirmations.Offered }),
		count("confirmations, single", func(r result.Result) int { return r.Confirmations.Single }),
		count("confirmations, doubled", func(r result.Result) int { return r.Confirmations.Doubled }),
		count("confirmations, answered but not run", func(r result.Result) int { return r.Confirmations.Phantom }),
		count("confirmations, run but not answered", func(r result.Result) int { return r.Confirmations.Unknown }),
		count("confirmations, not run", func(r result.Result) int { return r.Confirmations.Lost }),
		count("refusals that said not run although an endpoint accepted", func(r result.Result) int { return r.FalseRefusals }),
		count("usage reports that differ", func(r result.Result) int { return r.Usage.Differs }),
		resultRow("usage tokens reported, share of delivered", shareDigits, func(r result.Result) float64 { return r.Usage.ReportedShare }),
		resultRow("usage report after its window's start, longest (ms)", 0, func(r result.Result) float64 { return r.Usage.Late.Max }),
		count("notes committed", func(r result.Result) int { return r.Notes.Applied }),
		count("notes not committed", func(r result.Result) int { return r.Notes.Failed }),
		noteRow("added key last refused after, median (ms)", median, func(n result.Notes) []float64 { return n.InForce }),
		noteRow("added key last refused after, longest (ms)", slices.Max[[]float64], func(n result.Notes) []float64 { return n.InForce }),
		noteRow("withdrawn key last accepted after, median (ms)", median, func(n result.Notes) []float64 { return n.UsedAfter }),
		noteRow("withdrawn key last accepted after, longest (ms)", slices.Max[[]float64], func(n result.Notes) []float64 { return n.UsedAfter }),
		count("late sends of the tool", func(r result.Result) int { return r.LateSends }),
	}
}

func noteRow(name string, aggregate func([]float64) float64, get func(result.Notes) []float64) row {
	return row{name: name, value: func(r result.Result) (float64, bool) {
		times := get(r.Notes)
		if len(times) == 0 {
			return 0, false
		}
		return aggregate(times), true
	}}
}

func median(values []float64) float64 {
	sorted := slices.Sorted(slices.Values(values))
	return sorted[len(sorted)/2]
}
