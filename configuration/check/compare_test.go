package check

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/arbutuswinch/winch"
)

// compared changes a sound configuration and compares it with the sound one.
func compared(apply func(c *Configuration)) ([]Finding, []Difference) {
	next := sound()
	next.Revision++
	apply(next)
	findings, differences := Compare(sound(), next)
	return Sorted(findings), differences
}

func assertCompared(t *testing.T, apply func(c *Configuration), codes string, differences ...string) {
	t.Helper()
	findings, got := compared(apply)
	found := []string{}
	for _, finding := range findings {
		found = append(found, string(finding.Code))
	}
	assert.Equal(t, strings.Join(found, " "), codes)
	lines := []string{}
	for _, d := range got {
		if d.Path.String() != "Revision" {
			lines = append(lines, fmt.Sprintf("%s %s %s>%s", d.Change, d.Path, d.Old, d.New))
		}
	}
	assert.DeepEqual(t, lines, append([]string{}, differences...))
}

func TestCompare(t *testing.T) {
	k1, k2, k3 := shortHash(winch.HashKey("k1")), shortHash(winch.HashKey("k2")), shortHash(winch.HashKey("k3"))
	t.Run("nothing but the version", func(t *testing.T) { assertCompared(t, func(*Configuration) {}, "") })
	t.Run("the same version", func(t *testing.T) {
		assertCompared(t, func(c *Configuration) { c.Revision = 7 }, "version_not_above")
	})
	t.Run("fields of a route", func(t *testing.T) {
		assertCompared(t, func(c *Configuration) { c.Routes[1].Timeout, c.Routes[1].Split[0].Weight = 2*time.Second, 8 }, "",
			"Changed Routes[hold].Split pool=9 desk=0>pool=8 desk=0", "Changed Routes[hold].Timeout 1s>2s")
	})
	t.Run("the order of entries is no difference", func(t *testing.T) {
		assertCompared(t, func(c *Configuration) { slices.Reverse(c.Routes); slices.Reverse(c.Organisations) }, "")
	})
	t.Run("a route goes away and another one comes", func(t *testing.T) {
		assertCompared(t, func(c *Configuration) { c.Routes[1].ID = "keep" }, "route_removed", "Removed Routes[hold] >", "Added Routes[keep] >")
	})
	t.Run("services and limits", func(t *testing.T) {
		assertCompared(t, func(c *Configuration) {
			c.Services[0].Scaling, c.Limits.IdleTimeout = nil, nil
			c.Services[1].Others = []Property{{Name: "extra", Value: "1"}}
		}, "",
			"Changed Limits.IdleTimeout 15s>",
			"Changed Services[desk].extra >1",
			"Changed Services[pool].Scaling.DataCentres [a]>", "Changed Services[pool].Scaling.Max 4>",
			"Changed Services[pool].Scaling.Min 1>", "Changed Services[pool].Scaling.StartTime 0s>")
	})
	t.Run("one key of two", func(t *testing.T) {
		assertCompared(t, func(c *Configuration) { c.Organisations[0].Keys = c.Organisations[0].Keys[:1] }, "",
			"Removed Organisations[first].Keys["+k2+"] >")
	})
	t.Run("the last key", func(t *testing.T) {
		assertCompared(t, func(c *Configuration) { c.Organisations[1].Keys = nil }, "organisation_last_key_removed",
			"Removed Organisations[second].Keys["+k3+"] >")
	})
	t.Run("a key moves", func(t *testing.T) {
		findings, _ := compared(func(c *Configuration) {
			c.Organisations[1].Keys = append(c.Organisations[1].Keys, c.Organisations[0].Keys[0])
			c.Organisations[0].Keys = c.Organisations[0].Keys[1:]
		})
		assertFindings(t, findings, change{severity: Warning, code: KeyMoved, path: "Organisations[second].Keys[" + k1 + "]"})
	})
	t.Run("an organisation goes away", func(t *testing.T) {
		assertCompared(t, func(c *Configuration) { c.Organisations = c.Organisations[:1] }, "organisation_removed",
			"Removed Organisations[second] >", "Removed Organisations[second].Keys["+k3+"] >")
	})
	t.Run("the list goes away", func(t *testing.T) {
		findings, _ := compared(func(c *Configuration) { c.Organisations, c.KeysOptional = nil, true })
		assertFindings(t, findings, change{severity: Error, code: KeysBecomeOptional, path: "Organisations"})
	})
	t.Run("the list comes", func(t *testing.T) {
		before := sound()
		before.Organisations, before.KeysOptional, before.Revision = nil, true, 6
		findings, _ := Compare(before, sound())
		assertFindings(t, findings, change{severity: Warning, code: KeysBecomeRequired, path: "Organisations"})
	})
}

// TestOrder guards against a report that depends on the order in which findings are made.
func TestOrder(t *testing.T) {
	sorted := []Finding{}
	for _, path := range []Path{{}, Path{}.Field("A").Index(2), Path{}.Field("A").Index(10), Path{}.Field("A").Index(10).Field("B"), Path{}.Field("C")} {
		sorted = append(sorted, Finding{Severity: Error, Code: "x", Path: path}, Finding{Severity: Warning, Code: "a", Path: path})
	}
	shuffled := slices.Clone(sorted)
	rand.Shuffle(len(shuffled), func(i, j int) { shuffled[i], shuffled[j] = shuffled[j], shuffled[i] })
	assert.DeepEqual(t, Sorted(shuffled), sorted)
}

func TestPath(t *testing.T) {
	path := Path{}.Field("Routes").Index(3).Field("Slots")
	assert.Equal(t, path.Rename(map[string]string{"Routes": "routes", "Routes.Slots": "engine.slots"}).String(), "routes[3].engine.slots")
	assert.Equal(t, Path{}.Field("Routes").Element("a]\x1b").String(), `Routes["a]\x1b"]`, "a name cannot control the terminal")
}
