package check

import (
	"fmt"
	"strings"
	"unicode"

	"github.com/arbutuswinch/winch"
)

func (c *checker) checkRoutes() {
	list := Path{}.Field(fieldRoutes)
	if len(c.configuration.Routes) == 0 {
		c.warnf(RoutesMissing, list, "there is no route: no request is served")
	}
	names := make([]string, 0, len(c.configuration.Routes))
	for i := range c.configuration.Routes {
		route, path := &c.configuration.Routes[i], list.Index(i)
		names = append(names, string(route.ID))
		c.checkTargets(route, path)
		c.checkHost(route, path.Field("Host"))
		c.checkPrefix(route, path.Field("Prefix"))
		c.checkTimes(route, path)
		c.checkKind(route, path)
	}
	c.names(list, "ID", names)
	c.checkMatches(list)
}

func (c *checker) checkTargets(route *Route, path Path) {
	switch {
	case route.Model == "" && len(route.Split) == 0:
		c.errorf(ServiceMissing, path.Field("Model"), "the route has no service")
	case route.Model != "" && len(route.Split) > 0:
		c.warnf(ServiceAndSplit, path.Field(fieldSplit), "the route has a service and a split: the service takes part in the split with weight 1")
	}
	if route.Model != "" {
		c.use(route.Model, path.Field("Model"))
	}
	largest, first := 0, map[winch.ModelID]int{}
	for i, target := range route.Split {
		entry := path.Field(fieldSplit).Index(i)
		c.use(target.Model, entry.Field("Model"))
		if target.Weight < 0 {
			c.errorf(WeightNegative, entry.Field("Weight"), "the weight is negative")
		}
		largest = max(largest, target.Weight)
		if earlier, duplicate := first[target.Model]; duplicate {
			c.add(Finding{
				Severity: Warning, Code: SplitDuplicate, Path: entry.Field("Model"), Other: path.Field(fieldSplit).Index(earlier).Field("Model"),
				Message: "the split names the service twice: its weights add up",
			})
			continue
		}
		first[target.Model] = i
	}
	if len(route.Split) > 0 && largest <= 0 {
		c.errorf(WeightsZero, path.Field(fieldSplit), "no service of the split has a weight above zero")
	}
}

// use records that a route sends requests to the service.
func (c *checker) use(model winch.ModelID, path Path) {
	c.used[model] = true
	if !c.services[model] {
		c.errorf(ServiceUnknown, path, "there is no service with the name %q", model)
	}
}

// checkHost finds hosts that match no request. The Host field of requests is compared in lower case and without its port.
func (c *checker) checkHost(route *Route, path Path) {
	host := route.Host
	switch {
	case host == "":
		c.errorf(HostMissing, path, "the route has no host: no request matches")
	case strings.ContainsFunc(host, func(r rune) bool { return unicode.IsSpace(r) || unicode.IsControl(r) || r > unicode.MaxASCII }):
		c.errorf(HostInvalid, path, "the host has a character that host names in requests cannot have: no request matches")
	case strings.Contains(host, ":"):
		c.errorf(HostInvalid, path, "the host has a port or colon: requests are compared without the port, so none matches")
	case strings.ContainsAny(host, "/*?#@%"):
		c.errorf(HostInvalid, path, "the host must be a plain host name: patterns and addresses of web pages match no request")
	case strings.HasSuffix(host, "."):
		c.warnf(HostInvalid, path, "the host ends with a dot: only requests that name it with the dot match")
	case host != strings.ToLower(host):
		c.warnf(HostUpperCase, path, "the host is compared in lower case")
	}
}

func (c *checker) checkPrefix(route *Route, path Path) {
	prefix := route.Prefix
	switch {
	case !strings.HasPrefix(prefix, "/"):
		c.errorf(PrefixInvalid, path, "the prefix does not begin with a slash: no request matches")
	case !strings.HasSuffix(prefix, "/"):
		c.errorf(PrefixInvalid, path, "the prefix does not end with a slash: paths that go on with other characters match as well")
	case strings.Contains(prefix, "//"), strings.Contains(prefix, "/./"), strings.Contains(prefix, "/../"):
		c.warnf(PrefixUnreachable, path, "clients remove empty and dot segments from a path: hardly any request matches")
	case strings.ContainsFunc(prefix, func(r rune) bool { return strings.ContainsRune("?#%", r) || unicode.IsSpace(r) || unicode.IsControl(r) }):
		c.warnf(PrefixUnreachable, path, "the prefix is compared with the decoded path, without query: hardly any request matches")
	}
}

// checkMatches finds routes that never match because another one takes precedence. Of routes with the same host, the one
// with the longest prefix takes precedence; of those with the same prefix, the first.
func (c *checker) checkMatches(list Path) {
	type key struct{ host, prefix string }
	first := map[key]int{}
	for i, route := range c.configuration.Routes {
		k := key{host: strings.ToLower(route.Host), prefix: route.Prefix}
		if earlier, duplicate := first[k]; duplicate {
			c.add(Finding{
				Severity: Error, Code: RouteDuplicate, Path: list.Index(i), Other: list.Index(earlier),
				Message: "an earlier route has the same host and prefix: this one never matches",
			})
			continue
		}
		first[k] = i
	}
	for i, route := range c.configuration.Routes {
		root, found := first[key{host: strings.ToLower(route.Host), prefix: "/"}]
		if route.Prefix == "" && found {
			c.add(Finding{
				Severity: Error, Code: RouteHidden, Path: list.Index(i), Other: list.Index(root),
				Message: "each path begins with a slash, so the other route takes precedence: this one never matches",
			})
		}
	}
}

func (c *checker) checkTimes(route *Route, path Path) {
	timeout := path.Field("Timeout")
	switch {
	case route.Timeout < 0:
		c.errorf(TimeoutNegative, timeout, "the timeout is negative")
	case route.Timeout == 0:
		c.errorf(TimeoutMissing, timeout, "the timeout is missing or zero: hosts apply their own")
	case route.Timeout < route.FirstTokenTarget:
		c.add(Finding{
			Severity: Error, Code: TimeoutBelowTarget, Path: timeout, Other: path.Field("FirstTokenTarget"),
			Message: fmt.Sprintf("the timeout of %s is shorter than the target of %s", route.Timeout, route.FirstTokenTarget),
		})
	}
	switch {
	case route.FirstTokenTarget < 0:
		c.errorf(TargetNegative, path.Field("FirstTokenTarget"), "the target is negative")
	case route.FirstTokenTarget == 0:
		c.warnf(TargetMissing, path.Field("FirstTokenTarget"), "the target is missing or zero: each response is late")
	}
	gap := path.Field("InterTokenTarget")
	switch {
	case route.InterTokenTarget < 0:
		c.errorf(TargetNegative, gap, "the target is negative")
	case route.InterTokenTarget > 0 && route.Timeout > 0 && route.InterTokenTarget > route.Timeout:
		c.add(Finding{
			Severity: Error, Code: GapAboveTimeout, Path: gap, Other: timeout,
			Message: fmt.Sprintf("the target of %s between events is above the timeout of %s", route.InterTokenTarget, route.Timeout),
		})
	}
	if route.InterTokenTarget > 0 && route.Kind != winch.ForwardStream && route.Kind != "" {
		c.warnf(GapWithoutStream, gap, "the route is not streaming: the target between events has no effect")
	}
}

func (c *checker) checkKind(route *Route, path Path) {
	repeatable := winch.Forward{Kind: route.Kind, Resumable: route.Resumable}
	switch {
	case route.Kind == "":
		c.errorf(KindUnknown, path.Field("Kind"), "the type of the route is missing or unknown")
	case route.Resumable && route.Kind != winch.ForwardStream:
		c.warnf(ResumeWithoutStream, path.Field("Resumable"), "the route is not streaming: there is nothing to resume")
	}
	switch attempts := path.Field("MaxAttempts"); {
	case route.MaxAttempts < 0:
		c.errorf(AttemptsNegative, attempts, "the number of attempts is negative")
	case route.MaxAttempts > 1 && route.Kind != "" && !repeatable.Repeatable():
		c.warnf(AttemptsUseless, attempts, "requests of the route must run at most once: after an attempt that may have run there is no other")
	}
	if route.Priority < 0 {
		c.warnf(PriorityNegative, path.Field("Priority"), "the priority is negative, and 0 is the highest that is documented")
	}
	if route.Open && c.configuration.KeysOptional {
		c.warnf(OpenWithoutEffect, path.Field("Open"), "no route requires a key, since there is no list of organisations")
	}
}
