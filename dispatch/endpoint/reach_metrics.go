package endpoint

import (
	"context"
	"fmt"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"
)

// groupLoad holds the requests of a model or route as this host knows them, and the slots that no host uses.
type groupLoad struct {
	group                           group
	running, queued                 int
	othersRunning, othersQueued     int
	othersUrgent                    int
	freeSlots, unreachableFreeSlots int
}

// groupLoads returns the load of each model and route. The slots of endpoints that do not accept this host's connections are counted apart.
func (c *core) groupLoads(now time.Time) []groupLoad {
	var loads []groupLoad
	index := map[group]int{}
	for _, l := range c.sortedLanes {
		i, found := index[l.key.group]
		if !found {
			i = len(loads)
			index[l.key.group] = i
			loads = append(loads, groupLoad{group: l.key.group})
			loads[i].addSlots(now, l.endpoints)
		}
		load := &loads[i]
		load.running += l.holding()
		load.queued += l.queued + len(l.bound)
		if c.hostStatsFresh(now) {
			load.othersRunning += l.others.Running
			load.othersQueued += l.others.Queued
			load.othersUrgent += l.others.Urgent
		}
	}
	return loads
}

// addSlots adds the slots that no host uses.
func (g *groupLoad) addSlots(now time.Time, endpoints []*endpoint) {
	for _, e := range endpoints {
		free := max(0, e.cap-e.running-e.others)
		switch {
		case !e.serving:
		case e.unreachable():
			g.unreachableFreeSlots += free
		case !e.paused(now):
			g.freeSlots += free
		}
	}
}

// values maps the names of the requests' states in metrics to their numbers.
func (g *groupLoad) values() map[string]int {
	return map[string]int{
		"running": g.running, "queued": g.queued, "others_running": g.othersRunning, "others_queued": g.othersQueued, "others_urgent": g.othersUrgent,
	}
}

func observeReach(meter metric.Meter, d *Dispatcher) error {
	unreachable, err := meter.Int64ObservableGauge("winch_dispatch_unreachable_endpoints",
		metric.WithDescription("Endpoints that do not accept this host's connections, by whether other hosts have requests there."))
	if err != nil {
		return fmt.Errorf("create gauge of unreachable endpoints: %w", err)
	}
	load, err := meter.Int64ObservableGauge("winch_dispatch_load", metric.WithDescription("Requests of this host and, as far as it knows, of the others, by state."))
	if err != nil {
		return fmt.Errorf("create load gauge: %w", err)
	}
	free, err := meter.Int64ObservableGauge("winch_dispatch_free_slots", metric.WithDescription("Slots that no host uses, by whether the endpoint accepts this host's connections."))
	if err != nil {
		return fmt.Errorf("create gauge of free slots: %w", err)
	}
	_, err = meter.RegisterCallback(func(_ context.Context, observer metric.Observer) error {
		now := d.options.Clock.Now()
		d.lock.Lock()
		counts, loads := d.core.reach(now), d.core.groupLoads(now)
		d.lock.Unlock()
		observer.ObserveInt64(unreachable, int64(counts.elsewhere), metric.WithAttributes(attribute.String("others", "running")))
		observer.ObserveInt64(unreachable, int64(counts.unreachable-counts.elsewhere), metric.WithAttributes(attribute.String("others", "none")))
		for _, g := range loads {
			for state, value := range g.values() {
				observer.ObserveInt64(load, int64(value), metric.WithAttributes(append(g.group.attributes(), attribute.String("state", state))...))
			}
			observer.ObserveInt64(free, int64(g.freeSlots), metric.WithAttributes(append(g.group.attributes(), attribute.String("endpoints", "reachable"))...))
			observer.ObserveInt64(free, int64(g.unreachableFreeSlots), metric.WithAttributes(append(g.group.attributes(), attribute.String("endpoints", "unreachable"))...))
		}
		return nil
	}, unreachable, load, free)
	if err != nil {
		return fmt.Errorf("register gauges of unreachable endpoints: %w", err)
	}
	return nil
}

// attributes returns the attributes of the group in metrics.
func (g group) attributes() []attribute.KeyValue {
	return []attribute.KeyValue{attribute.String("model", string(g.model)), attribute.String("route", string(g.route))}
}
