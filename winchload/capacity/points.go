package capacity

import (
	"fmt"
	"time"

	"github.com/arbutuswinch/winch/winchload/experiment"
)

// Dimension names the quantity that a measurement varies.
type Dimension string

// The dimensions of a measurement.
const (
	// DimensionHosts is the number of hosts in each data centre.
	DimensionHosts Dimension = "hosts of a data centre"
	// DimensionEndpoints is the number of endpoints in each data centre, with six hosts there.
	DimensionEndpoints Dimension = "endpoints of a data centre"
	// DimensionOrganisations is the number of organisations.
	DimensionOrganisations Dimension = "organisations"
	// DimensionChanges is the number of configuration changes per second.
	DimensionChanges Dimension = "changes a second"
	// DimensionScale is the number of hosts in a single data centre, with nine endpoints per host.
	DimensionScale Dimension = "hosts with nine endpoints each"
	// DimensionCentres is the number of data centres, with two hosts each.
	DimensionCentres Dimension = "data centres"
)

const (
	defaultCentres       = 2
	defaultHosts         = 4
	defaultEndpoints     = 4
	defaultOrganisations = 10
	endpointsPerHost     = 9
)

// point is one deployment size to measure. The counts of hosts and endpoints are per
// data centre.
type point struct {
	dimension        Dimension
	value            float64
	centres          int
	hosts            int
	endpoints        int
	organisations    int
	changesPerSecond float64
}

func points() []point {
	all := []point{}
	base := point{centres: defaultCentres, hosts: defaultHosts, endpoints: defaultEndpoints, organisations: defaultOrganisations}
	for _, hosts := range []int{2, 6, 20, 32, 44} {
		p := base
		p.dimension, p.value, p.hosts = DimensionHosts, float64(hosts), hosts
		all = append(all, p)
	}
	for _, endpoints := range []int{6, 24, 60, 120} {
		p := base
		p.dimension, p.value, p.hosts, p.endpoints = DimensionEndpoints, float64(endpoints), 6, endpoints
		all = append(all, p)
	}
	for _, hosts := range []int{11, 22, 44} {
		p := base
		p.dimension, p.value, p.centres, p.hosts, p.endpoints = DimensionScale, float64(hosts), 1, hosts, endpointsPerHost*hosts
		all = append(all, p)
	}
	for _, organisations := range []int{10, 500, 2000} {
		p := base
		p.dimension, p.value, p.organisations = DimensionOrganisations, float64(organisations), organisations
		all = append(all, p)
	}
	for _, changes := range []float64{0.25, 1, 4} {
		p := base
		p.dimension, p.value, p.changesPerSecond = DimensionChanges, changes, changes
		all = append(all, p)
	}
	for _, centres := range []int{2, 5, 9} {
		p := base
		p.dimension, p.value, p.centres, p.hosts, p.endpoints = DimensionCentres, float64(centres), centres, 2, 2
		all = append(all, p)
	}
	return all
}

// experiment returns an experiment with a deployment of the point's size.
func (p point) experiment() experiment.Experiment {
	built := experiment.Experiment{
		Name: "capacity", Duration: experiment.Duration(time.Minute),
		Classes: []experiment.Class{{
			ID: "urgent", Tier: 1, FirstTokenTarget: experiment.Duration(1300 * time.Millisecond), MaxWait: experiment.Duration(5 * time.Second),
			QueueLimit: 100, Share: 1, Model: "model-0",
		}},
	}
	for i := range p.organisations {
		built.Organisations = append(built.Organisations, experiment.Organisation{ID: fmt.Sprintf("organisation-%d", i), Load: 1, Weight: 1})
	}
	for i := range p.centres {
		centre := fmt.Sprintf("centre-%d", i)
		built.DataCentres = append(built.DataCentres, experiment.DataCentre{ID: centre, Hosts: p.hosts})
		built.Engines = append(built.Engines, experiment.EngineGroup{
			DataCentre: centre, Model: "model-0", Count: p.endpoints, Supply: "Steady", BatchLimit: 16,
		})
	}
	return built
}
