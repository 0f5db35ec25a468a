package release

import (
	"cmp"
	"maps"
	"slices"

	"github.com/arbutuswinch/winch"
)

// Empty returns the configuration at revision 0, before the first commit.
func Empty() *winch.Configuration {
	return &winch.Configuration{
		Organisations: map[winch.OrganisationID]winch.Organisation{},
		Keys:          map[winch.KeyID]winch.Key{},
		Classes:       map[winch.ClassID]winch.Class{},
		Routes:        map[winch.RouteID]winch.Route{},
		Endpoints:     map[winch.EndpointID]winch.Endpoint{},
		Pools:         map[winch.PoolID]winch.Pool{},
	}
}

// ApplyRecord returns the configuration that results from the record. It does not
// modify current.
func ApplyRecord(current *winch.Configuration, record winch.ReleaseRecord) *winch.Configuration {
	next := &winch.Configuration{
		Revision:      record.Revision,
		Organisations: maps.Clone(current.Organisations),
		Keys:          maps.Clone(current.Keys),
		Classes:       maps.Clone(current.Classes),
		Routes:        maps.Clone(current.Routes),
		Endpoints:     maps.Clone(current.Endpoints),
		Pools:         maps.Clone(current.Pools),
	}
	removeItems(next, record.Note.Withdrawn)
	putItems(next, record.Note.Changed)
	putItems(next, record.Note.Added)
	return next
}

func removeItems(configuration *winch.Configuration, ids winch.ItemIDs) {
	for _, id := range ids.Organisations {
		delete(configuration.Organisations, id)
	}
	for _, id := range ids.Keys {
		delete(configuration.Keys, id)
	}
	for _, id := range ids.Classes {
		delete(configuration.Classes, id)
	}
	for _, id := range ids.Routes {
		delete(configuration.Routes, id)
	}
	for _, id := range ids.Endpoints {
		delete(configuration.Endpoints, id)
	}
	for _, id := range ids.Pools {
		delete(configuration.Pools, id)
	}
}

func putItems(configuration *winch.Configuration, items winch.Items) {
	for _, item := range items.Organisations {
		configuration.Organisations[item.ID] = item
	}
	for _, item := range items.Keys {
		configuration.Keys[item.ID] = item
	}
	for _, item := range items.Classes {
		configuration.Classes[item.ID] = item
	}
	for _, item := range items.Routes {
		configuration.Routes[item.ID] = item
	}
	for _, item := range items.Endpoints {
		configuration.Endpoints[item.ID] = item
	}
	for _, item := range items.Pools {
		configuration.Pools[item.ID] = item
	}
}

func sortedItems(configuration *winch.Configuration) winch.Items {
	items := winch.Items{
		Organisations: slices.Collect(maps.Values(configuration.Organisations)),
		Keys:          slices.Collect(maps.Values(configuration.Keys)),
		Classes:       slices.Collect(maps.Values(configuration.Classes)),
		Routes:        slices.Collect(maps.Values(configuration.Routes)),
		Endpoints:     slices.Collect(maps.Values(configuration.Endpoints)),
		Pools:         slices.Collect(maps.Values(configuration.Pools)),
	}
	slices.SortFunc(items.Organisations, func(a, b winch.Organisation) int { return cmp.Compare(a.ID, b.ID) })
	slices.SortFunc(items.Keys, func(a, b winch.Key) int { return cmp.Compare(a.ID, b.ID) })
	slices.SortFunc(items.Classes, func(a, b winch.Class) int { return cmp.Compare(a.ID, b.ID) })
	slices.SortFunc(items.Routes, func(a, b winch.Route) int { return cmp.Compare(a.ID, b.ID) })
	slices.SortFunc(items.Endpoints, func(a, b winch.Endpoint) int { return cmp.Compare(a.ID, b.ID) })
	slices.SortFunc(items.Pools, func(a, b winch.Pool) int { return cmp.Compare(a.ID, b.ID) })
	return items
}

// ItemNames returns the items that a note adds, changes or withdraws, such as
// "Keys[id]", sorted.
func ItemNames(note winch.Note) []string {
	names := []string{}
	add := func(kind, id string) { names = append(names, kind+"["+id+"]") }
	for _, items := range []winch.Items{note.Added, note.Changed} {
		for _, item := range items.Organisations {
			add("Organisations", string(item.ID))
		}
		for _, item := range items.Keys {
			add("Keys", string(item.ID))
		}
		for _, item := range items.Classes {
			add("Classes", string(item.ID))
		}
		for _, item := range items.Routes {
			add("Routes", string(item.ID))
		}
		for _, item := range items.Endpoints {
			add("Endpoints", string(item.ID))
		}
		for _, item := range items.Pools {
			add("Pools", string(item.ID))
		}
	}
	names = append(names, itemIDNames(note.Withdrawn)...)
	slices.Sort(names)
	return names
}

func itemIDNames(ids winch.ItemIDs) []string {
	names := []string{}
	add := func(kind, id string) { names = append(names, kind+"["+id+"]") }
	for _, id := range ids.Organisations {
		add("Organisations", string(id))
	}
	for _, id := range ids.Keys {
		add("Keys", string(id))
	}
	for _, id := range ids.Classes {
		add("Classes", string(id))
	}
	for _, id := range ids.Routes {
		add("Routes", string(id))
	}
	for _, id := range ids.Endpoints {
		add("Endpoints", string(id))
	}
	for _, id := range ids.Pools {
		add("Pools", string(id))
	}
	return names
}

// CommonItems returns the items that both notes add, change or withdraw, sorted.
func CommonItems(a, b winch.Note) []string {
	otherNames := ItemNames(b)
	common := []string{}
	for _, name := range ItemNames(a) {
		if _, found := slices.BinarySearch(otherNames, name); found {
			common = append(common, name)
		}
	}
	return common
}
