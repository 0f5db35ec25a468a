package experiment

import "fmt"

// EngineID returns the id of the group's engine with the index.
func (g EngineGroup) EngineID(index int) string {
	supply := "steady"
	if g.Supply == "Cheap" {
		supply = "cheap"
	}
	return fmt.Sprintf("%s-%s-%s-%d", g.DataCentre, g.Model, supply, index)
}

// ServiceID returns the id of the group's plain service with the index.
func (g ServiceGroup) ServiceID(index int) string {
	return fmt.Sprintf("%s-%s-%d", g.DataCentre, g.Route, index)
}

// HostID returns the id of the data centre's host with the index.
func (d DataCentre) HostID(index int) string { return fmt.Sprintf("%s-host-%d", d.ID, index) }

// ChecksFencing reports whether the data centre's order interface rejects old fencing numbers.
func (e Experiment) ChecksFencing(centre string) bool {
	for _, known := range e.DataCentres {
		if known.ID == centre {
			return known.ChecksFencing
		}
	}
	return false
}

// RouteOf returns the route of a plain service, or "" if the service is unknown.
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
