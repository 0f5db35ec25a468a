package control

import (
	"strings"
	"time"

	"github.com/arbutuswinch/winch/standin/fault"
	"github.com/arbutuswinch/winch/standin/fleet"
)

// apply injects the fault. It returns false when the target does not exist.
func (p *Port) apply(now time.Time, call faultCall) bool {
	target := fault.Target(call.Target)
	ids, endpoints := p.endpoints(target)
	if !endpoints {
		return p.applyPlatform(now, target, call)
	}
	if strings.HasPrefix(call.Target, "cheap/") && fault.Kind(call.Kind) == fault.Reclaim {
		p.post(now, target, call)
	}
	for _, id := range ids {
		p.applyEndpoint(now, id, call)
	}
	return len(ids) > 0
}

// endpoints returns the endpoints that a target selects. It returns false when the
// target is a platform service.
func (p *Port) endpoints(target fault.Target) ([]fleet.Endpoint, bool) {
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

func (p *Port) applyEndpoint(now time.Time, endpoint fleet.Endpoint, call faultCall) {
	duration := time.Duration(call.Duration)
	switch fault.Kind(call.Kind) {
	case fault.Crash:
		p.options.Fleet.Crash(endpoint.ID, duration)
	case fault.Outage:
		p.options.Fleet.Outage(endpoint.ID, duration)
	case fault.Reclaim, fault.Leave:
		p.options.Fleet.Leave(now, endpoint.ID, time.Duration(call.Delay), duration)
	default:
		p.post(now, fault.Target(endpoint.Kind+"/"+endpoint.ID), call)
	}
}

func (p *Port) applyPlatform(now time.Time, target fault.Target, call faultCall) bool {
	orders := strings.HasPrefix(string(target), "orders/")
	running, found := p.options.Servers[target]
	if !found && !orders {
		return false
	}
	if fault.Kind(call.Kind) != fault.Outage || orders {
		p.post(now, target, call)
		return true
	}
	running.Refuse()
	if call.Duration > 0 {
		time.AfterFunc(time.Duration(call.Duration), func() { _ = running.Restore() })
	}
	return true
}

func (p *Port) post(now time.Time, target fault.Target, call faultCall) {
	posted := fault.Fault{
		Target: target, Kind: fault.Kind(call.Kind), Delay: time.Duration(call.Delay),
		Factor: call.Factor, Count: call.Count,
	}
	if call.Duration > 0 {
		posted.Until = now.Add(time.Duration(call.Duration))
	}
	p.options.Board.Add(posted)
}
