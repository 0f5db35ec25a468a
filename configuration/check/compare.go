package check

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/arbutuswinch/winch"
)

// entry is an entry of a list with the fields that are compared, in text.
type entry struct {
	name   string
	fields []Property
}

// Compare returns the findings and the differences between the configuration in force and the next one. The differences are sorted.
func Compare(inForce, next *Configuration) ([]Finding, []Difference) {
	c := &comparison{}
	if next.Revision <= inForce.Revision {
		c.errorf(RevisionNotAbove, Path{}.Field(fieldRevision), "the version %d is not above %d, the one in force", next.Revision, inForce.Revision)
	}
	c.fields(Path{}, configurationFields(inForce), configurationFields(next))
	c.fields(Path{}.Field(fieldLimits), limitFields(&inForce.Limits), limitFields(&next.Limits))
	routes, services, organisations := Path{}.Field(fieldRoutes), Path{}.Field(fieldServices), Path{}.Field(fieldOrganisations)
	for _, name := range c.entries(routes, routeEntries(inForce), routeEntries(next)) {
		c.warnf(RouteRemoved, routes.Element(name), "the route is removed")
	}
	c.entries(services, serviceEntries(inForce), serviceEntries(next))
	removed := c.entries(organisations, organisationEntries(inForce), organisationEntries(next))
	c.compareKeys(organisations, inForce, next)
	switch {
	case next.KeysOptional && !inForce.KeysOptional:
		c.errorf(KeysBecomeOptional, organisations, "the list of organisations is removed: requests no longer need a key")
		return c.result()
	case inForce.KeysOptional && !next.KeysOptional:
		c.warnf(KeysBecomeRequired, organisations, "a list of organisations is added: requests need a key from now on")
	}
	for _, name := range removed {
		c.warnf(OrganisationRemoved, organisations.Element(name), "the organisation is removed")
	}
	return c.result()
}

type comparison struct {
	recorder
	differences []Difference
}

func (c *comparison) result() ([]Finding, []Difference) {
	sortDifferences(c.differences)
	return c.findings, c.differences
}

func sortDifferences(differences []Difference) {
	slices.SortStableFunc(differences, func(a, b Difference) int {
		return cmp.Or(a.Path.compare(b.Path), cmp.Compare(a.Change, b.Change))
	})
}

// entries compares the entries of a list by name and returns the names of the removed ones, sorted.
func (c *comparison) entries(list Path, inForce, next []entry) []string {
	before, after, removed := entriesByName(inForce), entriesByName(next), []string{}
	for _, name := range slices.Sorted(maps.Keys(before)) {
		if _, found := after[name]; found {
			c.fields(list.Element(name), before[name], after[name])
			continue
		}
		removed = append(removed, name)
		c.differences = append(c.differences, Difference{Change: Removed, Path: list.Element(name)})
	}
	for name := range after {
		if _, found := before[name]; !found {
			c.differences = append(c.differences, Difference{Change: Added, Path: list.Element(name)})
		}
	}
	return removed
}

// entriesByName leaves out entries without a name, which Check reports.
func entriesByName(entries []entry) map[string][]Property {
	byName := map[string][]Property{}
	for _, e := range entries {
		if e.name != "" {
			byName[e.name] = e.fields
		}
	}
	return byName
}

// fields compares the fields of one entry. A missing field equals one with an empty value.
func (c *comparison) fields(path Path, inForce, next []Property) {
	before, after := values(inForce), values(next)
	all := maps.Clone(before)
	maps.Copy(all, after)
	for name := range all {
		if before[name] != after[name] {
			c.differences = append(c.differences, Difference{Change: Changed, Path: fieldPath(path, name), Old: before[name], New: after[name]})
		}
	}
}

// fieldPath returns the path of a field whose name has a dot between the fields of a nested object.
func fieldPath(path Path, name string) Path {
	for part := range strings.SplitSeq(name, ".") {
		path = path.Field(part)
	}
	return path
}

func values(fields []Property) map[string]string {
	byName := map[string]string{}
	for _, field := range fields {
		byName[field.Name] = field.Value
	}
	return byName
}

// compareKeys reports keys that were added, removed or moved to another organisation, and organisations that lose their last key.
func (c *comparison) compareKeys(organisations Path, inForce, next *Configuration) {
	before, after := keyHolders(inForce), keyHolders(next)
	remaining := map[winch.OrganisationID]int{}
	for _, holder := range after {
		remaining[holder]++
	}
	lastRemoved := map[winch.OrganisationID]bool{}
	for hash, holder := range before {
		path := organisations.Element(string(holder)).Field(fieldKeys)
		now, found := after[hash]
		if now == holder && found {
			continue
		}
		c.differences = append(c.differences, Difference{Change: Removed, Path: path.Element(shortHash(hash))})
		if found {
			c.warnf(KeyMoved, organisations.Element(string(now)).Field(fieldKeys).Element(shortHash(hash)), "the key belonged to the organisation %q", holder)
		}
		lastRemoved[holder] = remaining[holder] == 0
	}
	for hash, holder := range after {
		if now, found := before[hash]; !found || now != holder {
			path := organisations.Element(string(holder)).Field(fieldKeys)
			c.differences = append(c.differences, Difference{Change: Added, Path: path.Element(shortHash(hash))})
		}
	}
	for _, organisation := range next.Organisations {
		if lastRemoved[organisation.ID] {
			c.warnf(LastKeyRemoved, organisations.Element(string(organisation.ID)).Field(fieldKeys), "the last key of the organisation is removed")
		}
	}
}

// keyHolders returns the organisation of each key. If two have the same key, it belongs to the later one, as on hosts.
func keyHolders(configuration *Configuration) map[winch.KeyHash]winch.OrganisationID {
	holders := map[winch.KeyHash]winch.OrganisationID{}
	for _, organisation := range configuration.Organisations {
		for _, key := range organisation.Keys {
			if organisation.ID != "" {
				holders[key.Hash] = organisation.ID
			}
		}
	}
	return holders
}

func configurationFields(c *Configuration) []Property {
	list := "present"
	if c.KeysOptional {
		list = "absent"
	}
	return append([]Property{{fieldRevision, fmt.Sprint(c.Revision)}, {fieldOrganisations, list}}, c.Others...)
}

func limitFields(l *Limits) []Property {
	return append([]Property{
		{"HeaderBytes", optionalNumber(l.HeaderBytes)},
		{"BodyBytes", optionalNumber(l.BodyBytes)},
		{"HeaderTimeout", optionalDuration(l.HeaderTimeout)},
		{"IdleTimeout", optionalDuration(l.IdleTimeout)},
	}, l.Others...)
}

func routeEntries(c *Configuration) []entry {
	entries := make([]entry, 0, len(c.Routes))
	for _, r := range c.Routes {
		split := make([]string, 0, len(r.Split))
		for _, target := range r.Split {
			split = append(split, fmt.Sprintf("%s=%d", target.Model, target.Weight))
		}
		entries = append(entries, entry{name: string(r.ID), fields: append([]Property{
			{"Host", r.Host}, {"Prefix", r.Prefix}, {"Kind", string(r.Kind)}, {"Model", string(r.Model)}, {fieldSplit, strings.Join(split, " ")},
			{"Timeout", r.Timeout.String()},
			{"FirstTokenTarget", r.FirstTokenTarget.String()},
			{"InterTokenTarget", r.InterTokenTarget.String()},
			{"MaxAttempts", fmt.Sprint(r.MaxAttempts)},
			{"Priority", fmt.Sprint(r.Priority)},
			{"Open", fmt.Sprint(r.Open)},
			{"Resumable", fmt.Sprint(r.Resumable)},
		}, r.Others...)})
	}
	return entries
}

func serviceEntries(c *Configuration) []entry {
	entries := make([]entry, 0, len(c.Services))
	for _, s := range c.Services {
		fields := []Property{
			{"ColdDuration", s.ColdStart.Duration.String()},
			{"ColdRate", fmt.Sprint(s.ColdStart.Rate)},
			{"CacheCapacity", optionalNumber(s.CacheCapacity)},
			{"Slots", optionalNumber(s.Slots)},
		}
		if s.Scaling != nil {
			fields = append(fields, Property{"Scaling.Min", fmt.Sprint(s.Scaling.Min)}, Property{"Scaling.Max", fmt.Sprint(s.Scaling.Max)},
				Property{"Scaling.StartTime", s.Scaling.StartTime.String()}, Property{"Scaling.DataCentres", fmt.Sprint(s.Scaling.DataCentres)})
		}
		entries = append(entries, entry{name: string(s.Model), fields: append(fields, s.Others...)})
	}
	return entries
}

func organisationEntries(c *Configuration) []entry {
	entries := make([]entry, 0, len(c.Organisations))
	for _, o := range c.Organisations {
		grade := ""
		if o.Grade != nil {
			grade = fmt.Sprint(*o.Grade)
		}
		entries = append(entries, entry{name: string(o.ID), fields: append([]Property{{"Grade", grade}}, o.Others...)})
	}
	return entries
}

func optionalNumber(value *int64) string {
	if value == nil {
		return ""
	}
	return fmt.Sprint(*value)
}

func optionalDuration(value *time.Duration) string {
	if value == nil {
		return ""
	}
	return value.String()
}
