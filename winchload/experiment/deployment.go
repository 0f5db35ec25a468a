package experiment

import "fmt"

// EngineID returns the id of an engine of a group, numbered from zero.
func (g EngineGroup) EngineID(index int) string {
	supply := "steady"
	if g.Supply == "Cheap" {
		supply = "cheap"
	}
	return fmt.Sprintf("%s-%s-%s-%d", g.DataCentre, g.Model, supply, index)
}

// ServiceID returns the id of a plain service of a group, numbered from zero.
func (g ServiceGroup) ServiceID(index int) string {
	return fmt.Sprintf("%s-%s-%d", g.DataCentre, g.Route, index)
}

// HostID returns the id of a data centre's host, numbered from zero.
func (d DataCentre) HostID(index int) string { return fmt.Sprintf("%s-host-%d", d.ID, index) }

// ChecksFencing tells whether the order interface of a data centre refuses old fencing numbers.
func (e Experiment) ChecksFencing(centre string) bool {
	for _, known := range e.DataCentres {
		if known.ID == centre {
			return known.ChecksFencing
		}
	}
	return false
}

// RouteOf returns the route of a plain service, or nothing.
func (e Experiment) RouteOf(serviceID string) string {
	for _, group := range e.Services {
		for i := range group.Count {
			if group.ServiceID(i) == serviceID {
				return group.Route
			}
		}
	}
	return ""
}
