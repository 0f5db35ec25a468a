package release

import (
	"cmp"
	"maps"
	"slices"

	"github.com/arbutuswinch/winch"
)

// sortedItems returns the items of the configuration, sorted by id.
func sortedItems(configuration *winch.Configuration) winch.Items {
	items := winch.Items{
		Organisations: slices.Collect(maps.Values(configuration.Organisations)),
		Keys:          slices.Collect(maps.Values(configuration.Keys)),
		Classes:       slices.Collect(maps.Values(configuration.Classes)),
		Routes:        slices.Collect(maps.Values(configuration.Routes)),
		Endpoints:     slices.Collect(maps.Values(configuration.Endpoints)),
		Pools:         slices.Collect(maps.Values(configuration.Pools)),
		Evacuations:   slices.Collect(maps.Values(configuration.Evacuations)),
	}
	slices.SortFunc(items.Organisations, func(a, b winch.Organisation) int { return cmp.Compare(a.ID, b.ID) })
	slices.SortFunc(items.Keys, func(a, b winch.Key) int { return cmp.Compare(a.ID, b.ID) })
	slices.SortFunc(items.Classes, func(a, b winch.Class) int { return cmp.Compare(a.ID, b.ID) })
	slices.SortFunc(items.Routes, func(a, b winch.Route) int { return cmp.Compare(a.ID, b.ID) })
	slices.SortFunc(items.Endpoints, func(a, b winch.Endpoint) int { return cmp.Compare(a.ID, b.ID) })
	slices.SortFunc(items.Pools, func(a, b winch.Pool) int { return cmp.Compare(a.ID, b.ID) })
	slices.SortFunc(items.Evacuations, func(a, b winch.Evacuation) int { return cmp.Compare(a.DataCentre, b.DataCentre) })
	return items
}

// ItemNames returns the names of the items that a note adds, changes or withdraws,
// sorted. The name of a key, for example, is "Keys[<id>]".
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
		for _, item := range items.Evacuations {
			add("Evacuations", string(item.DataCentre))
		}
	}
	names = append(names, itemIDNames(note.Withdrawn)...)
	slices.Sort(names)
	return names
}

// itemIDNames returns the names of the items, grouped by kind in the order of the ids.
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
	for _, centre := range ids.Evacuations {
		add("Evacuations", string(centre))
	}
	return names
}

// CommonItems returns the names of the items that both notes add, change or withdraw, sorted.
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
