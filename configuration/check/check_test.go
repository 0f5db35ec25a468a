package check

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/arbutuswinch/winch"
)

// sound returns a configuration without findings.
func sound() *Configuration {
	return &Configuration{
		Revision: 7,
		Routes: []Route{
			{ID: "chat", Host: "a.example", Prefix: "/chat/", Kind: winch.ForwardStream, Model: "pool", Timeout: 15 * time.Second,
				FirstTokenTarget: time.Second, InterTokenTarget: time.Second, MaxAttempts: 2, Resumable: true},
			{ID: "hold", Host: "a.example", Prefix: "/hold/", Kind: winch.ForwardOnce, Timeout: time.Second, FirstTokenTarget: time.Second,
				MaxAttempts: 1, Open: true, Split: []winch.ForwardTarget{{Model: "pool", Weight: 9}, {Model: "desk", Weight: 0}}},
		},
		Services: []Service{
			{Model: "pool", Scaling: &winch.Scaling{Min: 1, Max: 4, DataCentres: []winch.DataCentreID{"a"}},
				ColdStart: winch.ColdStart{Duration: 3 * time.Second, Rate: 11}, ColdRateStated: true, CacheCapacity: new(int64(9)), Slots: new(int64(4))},
			{Model: "desk"},
		},
		Limits: Limits{HeaderBytes: new(int64(16384)), BodyBytes: new(int64(4 << 20)), HeaderTimeout: new(3 * time.Second),
			IdleTimeout: new(15 * time.Second)},
		Organisations: []Organisation{
			{ID: "first", Grade: new(winch.Grade(0)), Keys: []Key{{Hash: winch.HashKey("k1")}, {Hash: winch.HashKey("k2")}}},
			{ID: "second", Keys: []Key{{Hash: winch.HashKey("k3")}}},
		},
	}
}

// change is a change to a sound configuration that leads to one finding.
type change struct {
	name     string
	severity Severity
	code     Code
	path     string
	apply    func(c *Configuration)
}

func assertFindings(t *testing.T, findings []Finding, want change) {
	t.Helper()
	findings = Sorted(findings)
	assert.Equal(t, len(findings), 1, "%v", findings)
	assert.Equal(t, findings[0].Code, want.code)
	assert.Equal(t, findings[0].Severity, want.severity)
	assert.Equal(t, findings[0].Path.String(), want.path)
	assert.Assert(t, findings[0].Message != "")
}

func runChanges(t *testing.T, changes []change) {
	t.Helper()
	for _, test := range changes {
		name := test.name
		if name == "" {
			name = string(test.code)
		}
		t.Run(name, func(t *testing.T) {
			c := sound()
			test.apply(c)
			assertFindings(t, Check(c, Options{}), test)
		})
	}
}

func TestSound(t *testing.T) {
	assert.Equal(t, len(Check(sound(), Options{Memory: 112_000_000})), 0, "%v", Check(sound(), Options{Memory: 112_000_000}))
}

func TestRoutes(t *testing.T) {
	hold := func(apply func(r *Route)) func(c *Configuration) {
		return func(c *Configuration) { apply(&c.Routes[1]) }
	}
	chat := func(apply func(r *Route)) func(c *Configuration) {
		return func(c *Configuration) { apply(&c.Routes[0]) }
	}
	runChanges(t, []change{
		{code: NameMissing, severity: Error, path: "Routes[1].ID", apply: hold(func(r *Route) { r.ID = "" })},
		{code: NameDuplicate, severity: Error, path: "Routes[1].ID", apply: hold(func(r *Route) { r.ID = "chat" })},
		{code: ServiceUnknown, severity: Error, path: "Routes[0].Model", apply: chat(func(r *Route) { r.Model = "poool" })},
		{code: ServiceUnknown, name: "in a split", severity: Error, path: "Routes[1].Split[2].Model",
			apply: hold(func(r *Route) { r.Split = append(r.Split, winch.ForwardTarget{Model: "x", Weight: 1}) })},
		{code: ServiceMissing, severity: Error, path: "Routes[0].Model", apply: chat(func(r *Route) { r.Model = "" })},
		{code: ServiceAndSplit, severity: Warning, path: "Routes[1]." + fieldSplit, apply: hold(func(r *Route) { r.Model = "desk" })},
		{code: WeightNegative, severity: Error, path: "Routes[1].Split[1].Weight", apply: hold(func(r *Route) { r.Split[1].Weight = -1 })},
		{code: WeightsZero, severity: Error, path: "Routes[1].Split", apply: hold(func(r *Route) { r.Split[0].Weight = 0 })},
		{code: SplitDuplicate, severity: Warning, path: "Routes[1].Split[2].Model",
			apply: hold(func(r *Route) { r.Split = append(r.Split, winch.ForwardTarget{Model: "pool", Weight: 1}) })},
		{code: KindUnknown, severity: Error, path: "Routes[1].Kind", apply: hold(func(r *Route) { r.Kind = "" })},
		{code: RouteDuplicate, severity: Error, path: "Routes[1]", apply: hold(func(r *Route) { r.Prefix = "/chat/" })},
		{code: HostMissing, severity: Error, path: "Routes[1].Host", apply: hold(func(r *Route) { r.Host = "" })},
		{code: HostInvalid, name: "port", severity: Error, path: "Routes[1].Host", apply: hold(func(r *Route) { r.Host = "a.example:80" })},
		{code: HostInvalid, name: "space", severity: Error, path: "Routes[1].Host", apply: hold(func(r *Route) { r.Host = "a.example " })},
		{code: HostInvalid, name: "pattern", severity: Error, path: "Routes[1].Host", apply: hold(func(r *Route) { r.Host = "*.example" })},
		{code: HostInvalid, name: "final dot", severity: Warning, path: "Routes[1].Host", apply: hold(func(r *Route) { r.Host = "a.example." })},
		{code: HostUpperCase, severity: Warning, path: "Routes[1].Host", apply: hold(func(r *Route) { r.Host = "A.example" })},
		{code: PrefixInvalid, name: "no leading slash", severity: Error, path: "Routes[1].Prefix", apply: hold(func(r *Route) { r.Prefix = "hold/" })},
		{code: PrefixInvalid, name: "no trailing slash", severity: Error, path: "Routes[1].Prefix", apply: hold(func(r *Route) { r.Prefix = "/hold" })},
		{code: PrefixUnreachable, name: "dot segment", severity: Warning, path: "Routes[1].Prefix", apply: hold(func(r *Route) { r.Prefix = "/a/../hold/" })},
		{code: PrefixUnreachable, name: "query", severity: Warning, path: "Routes[1].Prefix", apply: hold(func(r *Route) { r.Prefix = "/hold?/" })},
		{code: TimeoutMissing, severity: Error, path: "Routes[1].Timeout", apply: hold(func(r *Route) { r.Timeout = 0 })},
		{code: TimeoutNegative, severity: Error, path: "Routes[1].Timeout", apply: hold(func(r *Route) { r.Timeout = -1 })},
		{code: TimeoutBelowTarget, severity: Error, path: "Routes[1].Timeout", apply: hold(func(r *Route) { r.Timeout-- })},
		{code: TargetMissing, severity: Warning, path: "Routes[1].FirstTokenTarget", apply: hold(func(r *Route) { r.FirstTokenTarget = 0 })},
		{code: TargetNegative, severity: Error, path: "Routes[1].FirstTokenTarget", apply: hold(func(r *Route) { r.FirstTokenTarget = -1 })},
		{code: TargetNegative, name: "gap", severity: Error, path: "Routes[0].InterTokenTarget", apply: chat(func(r *Route) { r.InterTokenTarget = -1 })},
		{code: GapAboveTimeout, severity: Error, path: "Routes[0].InterTokenTarget", apply: chat(func(r *Route) { r.InterTokenTarget = time.Minute })},
		{code: GapWithoutStream, severity: Warning, path: "Routes[1].InterTokenTarget", apply: hold(func(r *Route) { r.InterTokenTarget = time.Second })},
		{code: AttemptsNegative, severity: Error, path: "Routes[1].MaxAttempts", apply: hold(func(r *Route) { r.MaxAttempts = -1 })},
		{code: AttemptsUseless, severity: Warning, path: "Routes[1].MaxAttempts", apply: hold(func(r *Route) { r.MaxAttempts = 2 })},
		{code: AttemptsUseless, name: "stream that is not resumed", severity: Warning, path: "Routes[0].MaxAttempts",
			apply: chat(func(r *Route) { r.Resumable = false })},
		{code: ResumeWithoutStream, severity: Warning, path: "Routes[1].Resumable", apply: hold(func(r *Route) { r.Resumable = true })},
		{code: PriorityNegative, severity: Warning, path: "Routes[1].Priority", apply: hold(func(r *Route) { r.Priority = -1 })},
	})
	t.Run("hidden", func(t *testing.T) {
		c := sound()
		c.Routes[0].Prefix, c.Routes[1].Prefix = "", "/"
		findings := Sorted(Check(c, Options{}))
		assert.Equal(t, findings[0].Code, RouteHidden)
		assert.Equal(t, findings[0].Path.String()+" "+findings[0].Other.String(), "Routes[0] Routes[1]")
	})
	t.Run("none", func(t *testing.T) {
		c := sound()
		c.Routes, c.Services = nil, nil
		assertFindings(t, Check(c, Options{}), change{severity: Warning, code: RoutesMissing, path: "Routes"})
	})
}

func TestServices(t *testing.T) {
	pool := func(apply func(s *Service)) func(c *Configuration) {
		return func(c *Configuration) { apply(&c.Services[0]) }
	}
	runChanges(t, []change{
		{code: ServiceUnused, severity: Warning, path: "Services[2]", apply: func(c *Configuration) { c.Services = append(c.Services, Service{Model: "x"}) }},
		{code: NameDuplicate, severity: Error, path: "Services[2].Model", apply: func(c *Configuration) { c.Services = append(c.Services, Service{Model: "pool"}) }},
		{code: NameMissing, severity: Error, path: "Services[2].Model", apply: func(c *Configuration) { c.Services = append(c.Services, Service{}) }},
		{code: ScalingNegative, severity: Error, path: "Services[0].Scaling.Min", apply: pool(func(s *Service) { s.Scaling.Min = -1 })},
		{code: ScalingNegative, name: "start time", severity: Error, path: "Services[0].Scaling.StartTime", apply: pool(func(s *Service) { s.Scaling.StartTime = -1 })},
		{code: ScalingMinAboveMax, severity: Error, path: "Services[0].Scaling.Min", apply: pool(func(s *Service) { s.Scaling.Min = 5 })},
		{code: ScalingCannotServe, severity: Error, path: "Services[0].Scaling.Max", apply: pool(func(s *Service) { s.Scaling.Min, s.Scaling.Max = 0, 0 })},
		{code: ScalingNoCentre, severity: Warning, path: "Services[0].Scaling.DataCentres", apply: pool(func(s *Service) { s.Scaling.DataCentres = nil })},
		{code: NameMissing, name: "data centre", severity: Error, path: "Services[0].Scaling.DataCentres",
			apply: pool(func(s *Service) { s.Scaling.DataCentres = []winch.DataCentreID{""} })},
		{code: CapacityInvalid, severity: Error, path: "Services[0].CacheCapacity", apply: pool(func(s *Service) { *s.CacheCapacity = 0 })},
		{code: SlotsInvalid, severity: Error, path: "Services[0].Slots", apply: pool(func(s *Service) { *s.Slots = -3 })},
		{code: ColdNegative, name: "cold time", severity: Error, path: "Services[0].ColdDuration", apply: pool(func(s *Service) { s.ColdStart.Duration = -1 })},
		{code: ColdNegative, name: "cold rate", severity: Error, path: "Services[0].ColdRate", apply: pool(func(s *Service) { s.ColdStart.Rate = -1 })},
		{code: ColdRateAlone, severity: Warning, path: "Services[0].ColdRate", apply: pool(func(s *Service) { s.ColdStart.Duration = 0 })},
		{code: ColdDurationAlone, severity: Warning, path: "Services[0].ColdDuration",
			apply: pool(func(s *Service) { s.ColdStart.Rate, s.ColdRateStated = 0, false })},
	})
	t.Run("a stated rate of zero means never cold", func(t *testing.T) {
		c := sound()
		c.Services[0].ColdStart.Rate = 0
		assert.Equal(t, len(Check(c, Options{})), 0)
	})
}

func TestOrganisations(t *testing.T) {
	addKey := func(organisation int, secret string) func(c *Configuration) {
		return func(c *Configuration) {
			keys := &c.Organisations[organisation].Keys
			*keys = append(*keys, Key{Hash: winch.HashKey(secret)})
		}
	}
	runChanges(t, []change{
		{code: KeyInTwo, severity: Error, path: "Organisations[1].Keys[1]", apply: addKey(1, "k1")},
		{code: KeyTwice, severity: Warning, path: "Organisations[0].Keys[2]", apply: addKey(0, "k1")},
		{code: KeyInvalid, severity: Error, path: "Organisations[1].Keys[0]", apply: func(c *Configuration) { c.Organisations[1].Keys[0].Malformed = true }},
		{code: OrganisationNoKeys, severity: Warning, path: "Organisations[1].Keys", apply: func(c *Configuration) { c.Organisations[1].Keys = nil }},
		{code: NameMissing, severity: Error, path: "Organisations[1].ID", apply: func(c *Configuration) { c.Organisations[1].ID = "" }},
		{code: NameDuplicate, severity: Error, path: "Organisations[1].ID", apply: func(c *Configuration) { c.Organisations[1].ID = "first" }},
		{code: PriorityNegative, severity: Error, path: "Organisations[0].Grade", apply: func(c *Configuration) { *c.Organisations[0].Grade = -1 }},
		{code: OrganisationsEmpty, severity: Error, path: "Organisations", apply: func(c *Configuration) { c.Organisations = nil }},
		{code: OrganisationsEmpty, name: "empty, and all routes open", severity: Warning, path: "Organisations",
			apply: func(c *Configuration) { c.Organisations, c.Routes[0].Open = nil, true }},
		{code: OrganisationsAbsent, severity: Warning, path: "Organisations",
			apply: func(c *Configuration) { c.Organisations, c.KeysOptional, c.Routes[1].Open = nil, true, false }},
		{code: RevisionInvalid, severity: Error, path: "Revision", apply: func(c *Configuration) { c.Revision = 0 }},
	})
	t.Run("an open route without a list", func(t *testing.T) {
		c := sound()
		c.Organisations, c.KeysOptional = nil, true
		findings := Sorted(Check(c, Options{}))
		assert.Equal(t, len(findings), 2)
		assert.Equal(t, findings[1].Code, OpenWithoutEffect)
		assert.Equal(t, findings[1].Path.String(), "Routes[1].Open")
	})
}

func TestLimits(t *testing.T) {
	runChanges(t, []change{
		{code: LimitMissing, name: "header bytes missing", severity: Warning, path: "Limits.HeaderBytes", apply: func(c *Configuration) { c.Limits.HeaderBytes = nil }},
		{code: LimitMissing, name: "idle time missing", severity: Warning, path: "Limits.IdleTimeout", apply: func(c *Configuration) { c.Limits.IdleTimeout = nil }},
		{code: LimitInvalid, name: "body bytes zero", severity: Error, path: "Limits.BodyBytes", apply: func(c *Configuration) { *c.Limits.BodyBytes = 0 }},
		{code: LimitInvalid, name: "header bytes negative", severity: Error, path: "Limits.HeaderBytes", apply: func(c *Configuration) { *c.Limits.HeaderBytes = -1 }},
		{code: LimitInvalid, name: "header time zero", severity: Error, path: "Limits.HeaderTimeout", apply: func(c *Configuration) { *c.Limits.HeaderTimeout = 0 }},
		{code: LimitTimesContradict, severity: Warning, path: "Limits.HeaderTimeout", apply: func(c *Configuration) { *c.Limits.HeaderTimeout = time.Minute }},
	})
	for _, test := range []struct {
		change
		bytes int64
	}{
		{change: change{severity: Error, code: LimitAboveMemory, path: "Limits.BodyBytes"}, bytes: 64 << 20},
		{change: change{severity: Warning, code: LimitNearMemory, path: "Limits.BodyBytes"}, bytes: 20 << 20},
	} {
		t.Run(string(test.code), func(t *testing.T) {
			c := sound()
			*c.Limits.BodyBytes = test.bytes
			assertFindings(t, Check(c, Options{Memory: 134_000_000}), test.change)
			assert.Equal(t, len(Check(c, Options{})), 0, "the memory is not known")
		})
	}
}
