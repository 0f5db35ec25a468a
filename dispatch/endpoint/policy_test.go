package endpoint

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/arbutuswinch/winch"
	"github.com/arbutuswinch/winch/dispatch/audit"
)

func steady(rate float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return rate }
}

// burst returns a rate that is high between two times.
func burst(rate, high float64, from, to time.Duration) func(time.Duration) float64 {
	return func(at time.Duration) float64 {
		if at >= from && at < to {
			return high
		}
		return rate
	}
}

func tenOrganisations(random *rand.Rand) winch.OrganisationID {
	return winch.OrganisationID(fmt.Sprintf("o%d", random.IntN(10)))
}

func interactiveClass(rate func(time.Duration) float64) *modelClass {
	class := twoClasses(0, 0).Classes[interactive]
	return &modelClass{class: class, rate: rate, input: 200, output: 40, organisation: tenOrganisations}
}

func backgroundClass(rate func(time.Duration) float64) *modelClass {
	class := twoClasses(0, 0).Classes[background]
	return &modelClass{class: class, rate: rate, input: 1500, output: 300, organisation: tenOrganisations}
}

// burstOptions configures a burst of high-tier requests (class interactive) while low-tier requests
// (class background) fill the engines.
func burstOptions(policy Policy, seed uint64, disable func(*features)) modelOptions {
	return modelOptions{
		hosts: 3, engines: 4, slots: 16, lag: 5 * time.Second, policy: policy, seed: seed, disable: disable,
		classes: []*modelClass{interactiveClass(burst(4, 22, 30*time.Second, 60*time.Second)), backgroundClass(steady(4))},
	}
}

func (m *model) log(name string) {
	report := m.auditLogs()
	m.t.Logf("%s: burst %+v (%.3f) interactive %+v background %+v wasted %d; audit routed %d refused %d preempted %d known %d true %d starved %d",
		name, m.result(interactive, 30*time.Second, 60*time.Second), m.result(interactive, 30*time.Second, 60*time.Second).share(),
		m.result(interactive, 0, time.Hour), m.result(background, 0, time.Hour), m.wasted, report.Routed, report.Refused, report.Preempted,
		report.Count(audit.KindKnownAvoidableRefusal), report.Count(audit.KindAvoidableRefusal), report.Count(audit.KindStarved))
}

func TestPolicyBurst(t *testing.T) {
	for seed := range uint64(3) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			m := newModel(t, burstOptions(PolicyWinch, seed, nil))
			m.run(90*time.Second, nil)
			m.log("winch")
			report := m.auditLogs()
			assert.Assert(t, m.result(interactive, 30*time.Second, 60*time.Second).share() > 0.9)
			assert.Equal(t, len(report.Violations), 0, "%v", report.Violations)
			for _, policy := range []Policy{PolicyRandom, PolicyLeastReported, PolicyRoundRobin} {
				base := newModel(t, burstOptions(policy, seed, nil))
				base.run(90*time.Second, nil)
				base.log(string(policy))
				assert.Assert(t, base.result(interactive, 30*time.Second, 60*time.Second).share() < 0.5)
			}
		})
	}
}

// guardCase is a load that a feature of the policy (the guard) protects against, and a measure of how
// well the policy copes with it. It is run with and without the feature.
type guardCase struct {
	name string
	// options returns the load. The argument is off, or nil for the run with the feature.
	options func(disable func(*features)) modelOptions
	length  time.Duration
	disturb func(m *model, at time.Duration)
	measure func(m *model) float64
	off     func(f *features)
	// seeds is the number of runs over which the measure is averaged; zero means one.
	seeds int
	// minimum is the lowest accepted measure of the whole policy, and minLoss the least by which the
	// measure must fall without the guard.
	minimum, minLoss float64
}

func guardCases() []guardCase {
	burstShare := func(m *model) float64 { return m.result(interactive, 30*time.Second, 60*time.Second).share() }
	burstLoad := func(disable func(*features)) modelOptions { return burstOptions(PolicyWinch, 1, disable) }
	withoutPreemption := func(disable func(*features)) modelOptions {
		return burstOptions(PolicyWinch, 1, func(f *features) {
			f.preemption = false
			if disable != nil {
				disable(f)
			}
		})
	}
	return []guardCase{
		{
			// Preemption is disabled, since it would hide the effect of the order of the queues.
			name: "tiers", options: withoutPreemption, length: 70 * time.Second, measure: burstShare,
			off: func(f *features) { f.tiers = false }, minimum: 0.4, minLoss: 0.2,
		},
		{
			name: "preemption", options: burstLoad, length: 70 * time.Second, measure: burstShare,
			off: func(f *features) { f.preemption = false }, minimum: 0.9, minLoss: 0.1,
		},
		{
			name: "floors", options: flooded, length: 120 * time.Second, measure: backgroundServed,
			off: func(f *features) { f.floors = false }, minimum: 0.02, minLoss: 0.02,
		},
		{
			name: "fairness", options: oneOrganisationFloods, length: 60 * time.Second, measure: smallOrganisations,
			off: func(f *features) { f.fairness = false }, minimum: 0.9, minLoss: 0.2,
		},
		{
			name: "own answers", options: lateReports, length: 60 * time.Second, measure: attainment, disturb: slowTwo, seeds: 3,
			off: func(f *features) { f.observedLatency = false }, minimum: 0.98, minLoss: 0.01,
		},
		{
			name: "ejection", options: lateReports, length: 60 * time.Second, measure: answered, disturb: crashOne,
			off: func(f *features) { f.ejection = false }, minimum: 1, minLoss: 0.005,
		},
		{
			name: "corrections", options: lateReports, length: 60 * time.Second, measure: evenness, seeds: 3,
			off: func(f *features) { f.correctReports = false }, minimum: 0.6, minLoss: 0.05,
		},
		{
			name: "adaptive limit", options: wideSlots, length: 60 * time.Second, measure: attainment,
			off: func(f *features) { f.adaptiveLimit = false }, minimum: 0.5, minLoss: 0.1,
		},
		{
			name: "sharing", options: crowded, length: 60 * time.Second, measure: withinSlots,
			off: func(f *features) { f.sharing = false }, minimum: 0.9, minLoss: 0.3,
		},
		{
			name: "early refusal", options: flooded, length: 60 * time.Second, measure: promptRefusals,
			off: func(f *features) { f.earlyRefusal = false }, minimum: 0.8, minLoss: 0.5,
		},
	}
}

func TestPolicyGuards(t *testing.T) {
	for _, guard := range guardCases() {
		t.Run(guard.name, func(t *testing.T) {
			with, without := guard.run(t, nil), guard.run(t, guard.off)
			t.Logf("with %.3f without %.3f", with, without)
			assert.Assert(t, with >= guard.minimum, "with the guard %.3f", with)
			assert.Assert(t, without <= with-guard.minLoss, "with %.3f without %.3f", with, without)
		})
	}
}

// run runs the case once for each seed and returns the mean of the measure.
func (g guardCase) run(t *testing.T, disable func(*features)) float64 {
	t.Helper()
	sum, runs := 0.0, max(1, g.seeds)
	for i := range runs {
		options := g.options(disable)
		options.seed += uint64(i)
		m := newModel(t, options)
		m.run(g.length, func(at time.Duration) {
			if g.disturb != nil {
				g.disturb(m, at)
			}
		})
		sum += g.measure(m)
	}
	return sum / float64(runs)
}

// flooded configures more interactive requests than the engines can answer, throughout the run.
func flooded(disable func(*features)) modelOptions {
	return modelOptions{
		hosts: 3, engines: 4, slots: 16, lag: time.Second, policy: PolicyWinch, seed: 2, disable: disable,
		classes: []*modelClass{interactiveClass(steady(40)), backgroundClass(steady(0.5))},
	}
}

// backgroundServed returns the share of background requests that finished, except late arrivals.
func backgroundServed(m *model) float64 {
	sum := m.result(background, 0, m.now.Sub(m.start)-60*time.Second)
	return float64(sum.finished) / float64(sum.requests)
}

// promptRefusals returns the share of refused interactive requests that were refused within a quarter second.
func promptRefusals(m *model) float64 {
	prompt, refused := 0.0, 0.0
	for _, r := range m.all {
		if r.class.class.ID != interactive || r.refused == "" {
			continue
		}
		refused++
		if r.endedAt.Sub(r.work.Arrived) < 250*time.Millisecond {
			prompt++
		}
	}
	return prompt / max(1, refused)
}

// oneOrganisationFloods configures one organisation that requests more than the capacity, and
// others that request little.
func oneOrganisationFloods(disable func(*features)) modelOptions {
	class := interactiveClass(steady(40))
	class.organisation = func(random *rand.Rand) winch.OrganisationID {
		if random.Float64() < 0.85 {
			return "large"
		}
		return tenOrganisations(random)
	}
	return modelOptions{
		hosts: 3, engines: 4, slots: 16, lag: time.Second, policy: PolicyWinch, seed: 3, disable: disable, classes: []*modelClass{class},
	}
}

// smallOrganisations returns the share of the other organisations' requests that met their targets.
func smallOrganisations(m *model) float64 {
	sum, attained := 0.0, 0.0
	for _, r := range m.all {
		if r.work.Organisation == "large" || r.work.Arrived.Sub(m.start) > 55*time.Second {
			continue
		}
		sum++
		if !r.firstAt.IsZero() && r.attained() {
			attained++
		}
	}
	return attained / sum
}

// lateReports configures a load within capacity and load reports that arrive 5 s late.
func lateReports(disable func(*features)) modelOptions {
	return modelOptions{
		hosts: 3, engines: 6, slots: 16, lag: 5 * time.Second, policy: PolicyWinch, seed: 4, disable: disable,
		classes: []*modelClass{interactiveClass(steady(20))},
	}
}

// attainment returns the share of interactive requests that met their targets.
func attainment(m *model) float64 {
	return m.result(interactive, 15*time.Second, m.now.Sub(m.start)-5*time.Second).share()
}

// answered returns the share of requests that finished or were refused, except those that
// arrived in the last seconds.
func answered(m *model) float64 {
	sum, ended := 0.0, 0.0
	for _, r := range m.all {
		if m.now.Sub(r.work.Arrived) < 20*time.Second {
			continue
		}
		sum++
		if r.finished || r.refused != "" {
			ended++
		}
	}
	return ended / sum
}

func slowTwo(m *model, at time.Duration) {
	if at == 15*time.Second {
		m.order[0].slow, m.order[1].slow = 5, 5
	}
}

func crashOne(m *model, at time.Duration) {
	if at == 15*time.Second {
		m.order[0].dead = true
	}
}

// evenness returns the ratio of the least loaded to the most loaded engine over the run, by squared load.
func evenness(m *model) float64 {
	most, least := winch.Tokens(0), winch.Tokens(1<<40)
	for _, e := range m.order {
		most, least = max(most, e.squaredLoad), min(least, e.squaredLoad)
	}
	return float64(least) / float64(most)
}

// wideSlots configures slot limits far above what the engines can serve within the target.
func wideSlots(disable func(*features)) modelOptions {
	return modelOptions{
		hosts: 3, engines: 3, slots: 64, lag: time.Second, policy: PolicyWinch, seed: 5, disable: disable,
		classes: []*modelClass{interactiveClass(steady(24))},
	}
}

// crowded configures three hosts that compete for two engines.
func crowded(disable func(*features)) modelOptions {
	return modelOptions{
		hosts: 3, engines: 2, slots: 8, lag: time.Second, policy: PolicyWinch, seed: 6, disable: disable,
		classes: []*modelClass{interactiveClass(steady(12))},
	}
}

// withinSlots returns the share of steps at which no engine had over a quarter more streams than slots.
func withinSlots(m *model) float64 {
	return 1 - float64(m.overSteps)/float64(m.steps)
}
