package release

import (
	"maps"

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
		Evacuations:   map[winch.DataCentreID]winch.Evacuation{},
	}
}

// ApplyRecord returns the configuration that results from the record. It does not
// modify current. Both share the maps of the kinds of items that the record does not change.
func ApplyRecord(current *winch.Configuration, record winch.ReleaseRecord) *winch.Configuration {
	next := &winch.Configuration{
		Revision:      record.Revision,
		Organisations: current.Organisations,
		Keys:          current.Keys,
		Classes:       current.Classes,
		Routes:        current.Routes,
		Endpoints:     current.Endpoints,
		Pools:         current.Pools,
		Evacuations:   current.Evacuations,
	}
	copyChangedMaps(next, record.Note)
	removeItems(next, record.Note.Withdrawn)
	putItems(next, record.Note.Changed)
	putItems(next, record.Note.Added)
	return next
}

// copyChangedMaps replaces the maps of the kinds of items that the note changes by copies.
func copyChangedMaps(configuration *winch.Configuration, note winch.Note) {
	withdrawn, changed, added := note.Withdrawn, note.Changed, note.Added
	if len(withdrawn.Organisations)+len(changed.Organisations)+len(added.Organisations) > 0 {
		configuration.Organisations = maps.Clone(configuration.Organisations)
	}
	if len(withdrawn.Keys)+len(changed.Keys)+len(added.Keys) > 0 {
		configuration.Keys = maps.Clone(configuration.Keys)
	}
	if len(withdrawn.Classes)+len(changed.Classes)+len(added.Classes) > 0 {
		configuration.Classes = maps.Clone(configuration.Classes)
	}
	if len(withdrawn.Routes)+len(changed.Routes)+len(added.Routes) > 0 {
		configuration.Routes = maps.Clone(configuration.Routes)
	}
	if len(withdrawn.Endpoints)+len(changed.Endpoints)+len(added.Endpoints) > 0 {
		configuration.Endpoints = maps.Clone(configuration.Endpoints)
	}
	if len(withdrawn.Pools)+len(changed.Pools)+len(added.Pools) > 0 {
		configuration.Pools = maps.Clone(configuration.Pools)
	}
	if len(withdrawn.Evacuations)+len(changed.Evacuations)+len(added.Evacuations) > 0 {
		configuration.Evacuations = maps.Clone(configuration.Evacuations)
	}
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
	for _, centre := range ids.Evacuations {
		delete(configuration.Evacuations, centre)
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
	for _, item := range items.Evacuations {
		configuration.Evacuations[item.DataCentre] = item
	}
}
