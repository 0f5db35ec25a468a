package control

import (
	"strings"
	"time"

	"github.com/arbutuswinch/winch/standin/fault"
	"github.com/arbutuswinch/winch/standin/fleet"
)

// apply injects the fault. It returns false when the target selects nothing; a reclaim of the cheap
// supply of a data centre without such endpoints is injected all the same. It checks neither that the
// kind has an effect on the target, nor that the data centre of an orders/ target exists.
func (p *Port) apply(now time.Time, request faultRequest) bool {
	target := fault.Target(request.Target)
	selected, isEndpoint := p.selectEndpoints(target)
	if !isEndpoint {
		return p.applyPlatform(now, target, request)
	}
	if strings.HasPrefix(request.Target, "cheap/") && fault.Kind(request.Kind) == fault.Reclaim {
		p.addFault(now, target, request)
	}
	for _, endpoint := range selected {
		p.applyEndpoint(now, endpoint, request)
	}
	return len(selected) > 0
}

// selectEndpoints returns the endpoints that a target selects. It returns false when the
// target is a platform service.
func (p *Port) selectEndpoints(target fault.Target) ([]fleet.Endpoint, bool) {
	group, name, _ := strings.Cut(string(target), "/")
	switch group {
	case "engine", "service":
		return p.options.Fleet.List(func(e fleet.Endpoint) bool { return e.Kind == group && e.ID == name }), true
	case "centre":
		return p.options.Fleet.List(func(e fleet.Endpoint) bool { return e.DataCentre == name }), true
	case "cheap":
		return p.options.Fleet.List(func(e fleet.Endpoint) bool { return e.DataCentre == name && e.Supply == fleet.Cheap }), true
	}
	return nil, false
}

func (p *Port) applyEndpoint(now time.Time, endpoint fleet.Endpoint, request faultRequest) {
	duration := time.Duration(request.Duration)
	switch fault.Kind(request.Kind) {
	case fault.Crash:
		p.options.Fleet.Crash(endpoint.ID, duration)
	case fault.Outage:
		p.options.Fleet.Outage(endpoint.ID, duration)
	case fault.Reclaim, fault.Leave:
		// Both give notice. A reclaim of a cheap/ target also keeps the platform from starting new cheap
		// engines; see package orders.
		p.options.Fleet.Leave(now, endpoint.ID, time.Duration(request.Delay), duration)
	default:
		p.addFault(now, fault.Target(endpoint.Kind+"/"+endpoint.ID), request)
	}
}

func (p *Port) applyPlatform(now time.Time, target fault.Target, request faultRequest) bool {
	isOrders := strings.HasPrefix(string(target), "orders/")
	server, found := p.options.Servers[target]
	if !found && !isOrders {
		return false
	}
	// The data centres share the listener of the order interface, which responds with an error
	// during an outage of one.
	if fault.Kind(request.Kind) != fault.Outage || isOrders {
		p.addFault(now, target, request)
		return true
	}
	server.Refuse()
	if request.Duration > 0 {
		time.AfterFunc(time.Duration(request.Duration), func() { _ = server.Restore() })
	}
	return true
}

func (p *Port) addFault(now time.Time, target fault.Target, request faultRequest) {
	added := fault.Fault{
		Target: target, Kind: fault.Kind(request.Kind), Delay: time.Duration(request.Delay),
		Factor: request.Factor, Count: request.Count,
	}
	if request.Duration > 0 {
		added.Until = now.Add(time.Duration(request.Duration))
	}
	p.options.Board.Add(added)
}
