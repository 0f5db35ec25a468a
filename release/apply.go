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
		Evacuations:   maps.Clone(current.Evacuations),
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
