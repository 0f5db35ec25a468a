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

// deploymentSize is the size of a deployment to measure. The counts of hosts and endpoints are per
// data centre.
type deploymentSize struct {
	dimension        Dimension
	value            float64
	centres          int
	hosts            int
	endpoints        int
	organisations    int
	changesPerSecond float64
}

func deploymentSizes() []deploymentSize {
	all := []deploymentSize{}
	base := deploymentSize{centres: defaultCentres, hosts: defaultHosts, endpoints: defaultEndpoints, organisations: defaultOrganisations}
	for _, hosts := range []int{2, 6, 20, 32, 44} {
		size := base
		size.dimension, size.value, size.hosts = DimensionHosts, float64(hosts), hosts
		all = append(all, size)
	}
	for _, endpoints := range []int{6, 24, 60, 120} {
		size := base
		size.dimension, size.value, size.hosts, size.endpoints = DimensionEndpoints, float64(endpoints), 6, endpoints
		all = append(all, size)
	}
	for _, hosts := range []int{11, 22, 44} {
		size := base
		size.dimension, size.value, size.centres, size.hosts, size.endpoints = DimensionScale, float64(hosts), 1, hosts, endpointsPerHost*hosts
		all = append(all, size)
	}
	for _, organisations := range []int{10, 500, 2000} {
		size := base
		size.dimension, size.value, size.organisations = DimensionOrganisations, float64(organisations), organisations
		all = append(all, size)
	}
	for _, changes := range []float64{0.25, 1, 4} {
		size := base
		size.dimension, size.value, size.changesPerSecond = DimensionChanges, changes, changes
		all = append(all, size)
	}
	for _, centres := range []int{2, 5, 9} {
		size := base
		size.dimension, size.value, size.centres, size.hosts, size.endpoints = DimensionCentres, float64(centres), centres, 2, 2
		all = append(all, size)
	}
	return all
}

func (size deploymentSize) newExperiment() experiment.Experiment {
	built := experiment.Experiment{
		Name: "capacity", Duration: experiment.Duration(time.Minute),
		Classes: []experiment.Class{{
			ID: "urgent", Tier: 1, FirstTokenTarget: experiment.Duration(1300 * time.Millisecond), MaxWait: experiment.Duration(5 * time.Second),
			QueueLimit: 100, Share: 1, Model: "model-0",
		}},
	}
	for i := range size.organisations {
		built.Organisations = append(built.Organisations, experiment.Organisation{ID: fmt.Sprintf("organisation-%d", i), Load: 1, Weight: 1})
	}
	for i := range size.centres {
		centre := fmt.Sprintf("centre-%d", i)
		built.DataCentres = append(built.DataCentres, experiment.DataCentre{ID: centre, Hosts: size.hosts})
		built.Engines = append(built.Engines, experiment.EngineGroup{
			DataCentre: centre, Model: "model-0", Count: size.endpoints, Supply: "Steady", BatchLimit: 16,
		})
	}
	return built
}
