package daemon

import (
	"time"

	"github.com/arbutuswinch/winch"
	dispatch "github.com/arbutuswinch/winch/dispatch/endpoint"
	"github.com/arbutuswinch/winch/lease/fenced"
	lease "github.com/arbutuswinch/winch/lease/keyvalue"
	placementengine "github.com/arbutuswinch/winch/placement/engine"
	"github.com/arbutuswinch/winch/placement/planner"
	placementplatform "github.com/arbutuswinch/winch/placement/platform"
	"github.com/arbutuswinch/winch/winchd/process"
)

const ordersDutyPrefix = "orders/"

// placementComponents orders endpoints and tracks those that were ordered. All fields are nil
// if the settings contain no address for orders.
type placementComponents struct {
	endpoints *placementplatform.Endpoints
	source    winch.EndpointSource
	holder    *lease.Holder
	planner   *planner.Planner
	orders    *placementplatform.Orders
	engines   *placementengine.Orders
}

func (d *Daemon) buildEndpoints() error {
	d.placement = &placementComponents{}
	if d.settings.Platform.Orders == "" {
		return nil
	}
	endpoints, err := placementplatform.NewEndpoints(placementplatform.EndpointsOptions{
		Address: d.settings.Platform.Orders, DataCentre: d.settings.DataCentre,
		Membership: d.membership.table, Clock: d.clock, Logger: d.logger,
	})
	if err != nil {
		return err
	}
	d.placement.endpoints = endpoints
	d.placement.source = dispatch.OrderedSource{Orders: endpoints, Configurations: d.release.distributor}
	return nil
}

func (d *Daemon) buildOrders() error {
	if d.placement.endpoints == nil || !d.settings.Placement.Enabled {
		return nil
	}
	holder, err := d.newHolder(winch.Duty(ordersDutyPrefix+string(d.settings.DataCentre)), d.settings.DataCentre)
	if err != nil {
		return err
	}
	sender, err := fenced.New(fenced.Options{Clock: d.clock})
	if err != nil {
		return err
	}
	plans, err := planner.New(planner.Options{
		Configurations: d.release.distributor, Queues: d.dispatch.dispatcher, Orders: d.placement.endpoints, Logger: d.logger,
	})
	if err != nil {
		return err
	}
	orders, err := placementplatform.New(placementplatform.Options{
		Protocol: placementplatform.NativeProtocol{Address: d.settings.Platform.Orders}, DataCentre: d.settings.DataCentre, Holder: d.settings.Host, Incarnation: d.incarnation,
		Lease: holder, Sender: sender, Store: d.store, Planner: plans, Endpoints: d.placement.endpoints,
		Interval: d.settings.Placement.PlanEvery, InFlight: d.settings.Charge.InFlight,
		Clock: d.clock, Logger: d.logger, Meter: d.metrics.Meter(),
	})
	if err != nil {
		return err
	}
	engines, err := placementengine.New(placementengine.Options{
		DataCentre: d.settings.DataCentre, Lease: holder, Sender: sender, Planner: plans,
		Clock: d.clock, Logger: d.logger, Interval: d.settings.Placement.PlanEvery, InFlight: d.settings.Charge.InFlight,
	})
	d.placement.holder, d.placement.planner, d.placement.orders, d.placement.engines = holder, plans, orders, engines
	return err
}

// newHolder returns the lease holder for a duty. An empty centre lets the hosts of all data centres
// hold it.
func (d *Daemon) newHolder(duty winch.Duty, centre winch.DataCentreID) (*lease.Holder, error) {
	return lease.New(lease.Options{
		Store: d.store, Duty: duty, DataCentre: centre, Membership: d.membership.table, Incarnation: d.incarnation,
		TTL: d.settings.Charge.TTL, RenewEvery: d.settings.Charge.RenewEvery, InFlight: d.settings.Charge.InFlight,
		Clock: d.clock, Logger: d.logger, Meter: d.metrics.Meter(),
	})
}

func (p *placementComponents) sections() []winch.Section {
	if p.endpoints == nil {
		return nil
	}
	return []winch.Section{p.endpoints}
}

func (p *placementComponents) tasks() []process.Task {
	if p.endpoints == nil {
		return nil
	}
	tasks := []process.Task{{Name: "endpoint list", Run: p.endpoints.Run}}
	if p.orders != nil {
		tasks = append(tasks, process.Task{Name: "order lease", Run: p.holder.Run}, process.Task{Name: "orders", Run: p.orders.Run}, process.Task{Name: "engine orders", Run: p.engines.Run})
	}
	return tasks
}

// ObserveLoad forwards the report to the planner, if there is one.
func (p *placementComponents) ObserveLoad(now time.Time, report winch.LoadReport) {
	if p.planner != nil {
		p.planner.ObserveLoad(now, report)
	}
}

// ObserveCache forwards the cache event to the planner, if there is one.
func (p *placementComponents) ObserveCache(now time.Time, event winch.CacheEvent) {
	if p.planner != nil {
		p.planner.ObserveCache(now, event)
	}
}
