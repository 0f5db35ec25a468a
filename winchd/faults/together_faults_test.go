package faults

import (
	"context"
	"strings"
	"sync"
	"time"
)

// together is a run of a schedule with its traffic and its records.
type together struct {
	*system
	schedule schedule
	lives    *lives
	records  *records
	keys     *keyRounds
	// ctx ends when everything must have healed.
	ctx context.Context
	// done is closed when callers and operators begin nothing any more.
	done chan struct{}
}

// show shows all faults of the schedule at their times, and returns after the last one.
func (g *together) show() {
	begun, group := time.Now(), sync.WaitGroup{}
	lanes := map[string]*sync.Mutex{}
	for _, fault := range g.schedule {
		lane := lanes[fault.target]
		if lane == nil {
			lane = &sync.Mutex{}
			lanes[fault.target] = lane
		}
		group.Go(func() {
			time.Sleep(time.Until(begun.Add(fault.at)))
			lane.Lock()
			defer lane.Unlock()
			g.t.Logf("%s (%s)", fault, time.Now().Format(time.StampMilli))
			g.showOne(fault)
		})
	}
	group.Wait()
	for _, centre := range g.centres {
		g.isolate(centre, linkOpen)
	}
}

func (g *together) showOne(fault chance) {
	group, name, _ := strings.Cut(fault.target, "/")
	switch group {
	case "host":
		g.showHost(g.host(name), fault)
	case "peers":
		g.isolate(name, map[string]linkState{"freeze": linkFrozen, "cut": linkCut}[fault.kind])
		time.Sleep(fault.length)
		g.isolate(name, linkOpen)
	case "platform":
		g.cutPlatform(name, true)
		time.Sleep(fault.length)
		g.cutPlatform(name, false)
	default:
		g.fault(fault.target, fault.kind, standinFields(fault))
		time.Sleep(fault.length)
	}
}

func standinFields(fault chance) jsonObject {
	fields := jsonObject{"Duration": fault.length.String()}
	switch fault.kind {
	case "slow":
		fields["Delay"] = "700ms"
	case "slowdown":
		fields["Factor"] = 6
	case "reclaim":
		fields["Delay"] = "1s"
	case "lose_answer":
		fields["Count"] = 10
	}
	return fields
}

func (g *together) showHost(h *host, fault chance) {
	switch fault.kind {
	case "freeze":
		g.records.leave(h, false)
		h.process.freeze()
		time.Sleep(fault.length)
		h.process.thaw()
	case "freeze and kill":
		g.records.leave(h, false)
		h.process.freeze()
		time.Sleep(fault.length)
		g.killHost(h)
		g.bringBack(h)
	case "kill":
		g.killHost(h)
		time.Sleep(fault.length)
		g.bringBack(h)
	case "stop":
		g.records.run(promiseStop)
		g.records.leave(h, false)
		g.lives.down(h, false)
		if err := h.process.stop(); err != nil {
			g.records.violate(promiseStop, "host %s ended with %v", h.id, err)
		}
		g.bringBack(h)
	}
}

func (g *together) killHost(h *host) {
	g.lives.down(h, true)
	g.records.leave(h, true)
	h.process.kill()
}

// bringBack starts a successor, which knows nothing, and gives it back to the callers.
func (g *together) bringBack(h *host) {
	g.startHost(h)
	for deadline := time.Now().Add(waitLimit); !h.answers(); time.Sleep(20 * time.Millisecond) {
		if !h.process.running() || time.Now().After(deadline) {
			g.records.violate(promiseHeals, "the successor of %s takes no callers", h.id)
			return
		}
	}
	g.lives.back(h)
}
