package check

import (
	"github.com/arbutuswinch/winch"
)

// The names of the fields of a configuration in paths.
const (
	fieldRevision      = "Revision"
	fieldRoutes        = "Routes"
	fieldServices      = "Services"
	fieldLimits        = "Limits"
	fieldOrganisations = "Organisations"
	fieldKeys          = "Keys"
	fieldSplit         = "Split"
)

// checker holds what the checks of single entries need of the others.
type checker struct {
	recorder
	configuration *Configuration
	options       Options
	// services holds the services by name, used those that a route sends requests to.
	services, used map[winch.ModelID]bool
}

// Check returns the findings in one configuration, in no particular order.
func Check(configuration *Configuration, options Options) []Finding {
	c := &checker{
		configuration: configuration, options: options, services: map[winch.ModelID]bool{}, used: map[winch.ModelID]bool{},
	}
	if configuration.Revision <= 0 {
		c.errorf(RevisionInvalid, Path{}.Field(fieldRevision), "the version is missing or not positive")
	}
	for _, service := range configuration.Services {
		c.services[service.Model] = true
	}
	c.checkRoutes()
	c.checkServices()
	c.checkLimits()
	c.checkOrganisations()
	return c.findings
}

// names checks that each entry of a list has a unique name. field is the field that holds the name.
func (c *checker) names(list Path, field string, names []string) {
	first := map[string]int{}
	for i, name := range names {
		path := list.Index(i)
		if name == "" {
			c.errorf(NameMissing, path.Field(field), "the entry has no name")
			continue
		}
		if earlier, duplicate := first[name]; duplicate {
			c.add(Finding{
				Severity: Error, Code: NameDuplicate, Path: path.Field(field), Other: list.Index(earlier).Field(field),
				Message: "another entry has the same name",
			})
			continue
		}
		first[name] = i
	}
}
