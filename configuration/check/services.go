package check

import "fmt"

func (c *checker) checkServices() {
	list := Path{}.Field(fieldServices)
	names := make([]string, 0, len(c.configuration.Services))
	for i := range c.configuration.Services {
		service, path := &c.configuration.Services[i], list.Index(i)
		names = append(names, string(service.Model))
		if service.Model != "" && !c.used[service.Model] {
			c.warnf(ServiceUnused, path, "no route uses the service")
		}
		c.checkScaling(service, path.Field("Scaling"))
		c.checkColdStart(service, path)
		if service.CacheCapacity != nil && *service.CacheCapacity < 1 {
			c.errorf(CapacityInvalid, path.Field("CacheCapacity"), "the capacity of an engine is not positive")
		}
		if service.Slots != nil && *service.Slots < 1 {
			c.errorf(SlotsInvalid, path.Field("Slots"), "the number of slots of an engine is not positive")
		}
	}
	c.names(list, "Model", names)
}

func (c *checker) checkScaling(service *Service, path Path) {
	scaling := service.Scaling
	if scaling == nil {
		return
	}
	if scaling.Min < 0 {
		c.errorf(ScalingNegative, path.Field("Min"), "the minimum is negative")
	}
	if scaling.Max < 0 {
		c.errorf(ScalingNegative, path.Field("Max"), "the maximum is negative")
	}
	if scaling.StartTime < 0 {
		c.errorf(ScalingNegative, path.Field("StartTime"), "the start time is negative")
	}
	if scaling.Min > scaling.Max {
		c.add(Finding{
			Severity: Error, Code: ScalingMinAboveMax, Path: path.Field("Min"), Other: path.Field("Max"),
			Message: fmt.Sprintf("the minimum of %d is above the maximum of %d", scaling.Min, scaling.Max),
		})
	}
	if scaling.Max == 0 && c.used[service.Model] {
		c.errorf(ScalingCannotServe, path.Field("Max"), "a route uses the service, and no endpoint may be ordered")
	}
	if len(scaling.DataCentres) == 0 {
		c.warnf(ScalingNoCentre, path.Field("DataCentres"), "no data centre is named: endpoints may be ordered in each")
	}
	for _, centre := range scaling.DataCentres {
		if centre == "" {
			c.errorf(NameMissing, path.Field("DataCentres"), "a data centre has no name")
		}
	}
}

func (c *checker) checkColdStart(service *Service, path Path) {
	duration, rate := service.ColdStart.Duration, service.ColdStart.Rate
	if duration < 0 {
		c.errorf(ColdNegative, path.Field("ColdDuration"), "the cold time is negative")
	}
	if rate < 0 {
		c.errorf(ColdNegative, path.Field("ColdRate"), "the rate of cold endpoints is negative")
	}
	if rate > 0 && duration == 0 {
		c.warnf(ColdRateAlone, path.Field("ColdRate"), "without a cold time, only endpoints that say that they are cold get this rate")
	}
	// A rate of zero that is stated means that endpoints are never cold.
	if duration > 0 && !service.ColdRateStated {
		c.warnf(ColdDurationAlone, path.Field("ColdDuration"), "without a rate of cold endpoints, the cold time has no effect")
	}
}
