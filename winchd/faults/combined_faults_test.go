package faults

import (
	"context"
	"strings"
	"sync"
	"time"
)

// combinedRun is a run of a fault schedule with its traffic and its records.
type combinedRun struct {
	*system
	schedule     schedule
	availability *availability
	records      *records
	keys         *keyTracker
	// ctx is cancelled at the time by which the system must have recovered.
	ctx context.Context
	// done is closed when callers and operators must not start new calls.
	done chan struct{}
}

// runFaults injects the faults of the schedule at their times, and returns when all have ended.
func (r *combinedRun) runFaults() {
	begun, group := time.Now(), sync.WaitGroup{}
	// The schedule keeps the faults of a target apart, but a fault of a host ends later than scheduled,
	// after the restart of the host.
	targetLocks := map[string]*sync.Mutex{}
	for _, fault := range r.schedule {
		targetLock := targetLocks[fault.target]
		if targetLock == nil {
			targetLock = &sync.Mutex{}
			targetLocks[fault.target] = targetLock
		}
		group.Go(func() {
			time.Sleep(time.Until(begun.Add(fault.startsAt)))
			targetLock.Lock()
			defer targetLock.Unlock()
			r.t.Logf("%s (%s)", fault, time.Now().Format(time.StampMilli))
			r.runFault(fault)
		})
	}
	group.Wait()
	// Each fault opens its links at its end; this only makes certain that all are open.
	for _, centre := range r.centres {
		r.setLinks(centre, linkOpen)
	}
}

func (r *combinedRun) runFault(fault faultEvent) {
	group, name, _ := strings.Cut(fault.target, "/")
	switch group {
	case "host":
		r.runHostFault(r.host(name), fault)
	case "peers":
		// If two data centres are isolated at a time, the first fault to end also opens the links between them.
		r.setLinks(name, map[string]linkState{"freeze": linkFrozen, "cut": linkCut}[fault.kind])
		time.Sleep(fault.duration)
		r.setLinks(name, linkOpen)
	case "platform":
		r.cutKeyValue(name, true)
		time.Sleep(fault.duration)
		r.cutKeyValue(name, false)
	default:
		r.injectFault(fault.target, fault.kind, standinFaultFields(fault))
		time.Sleep(fault.duration)
	}
}

func standinFaultFields(fault faultEvent) jsonObject {
	fields := jsonObject{"Duration": fault.duration.String()}
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

func (r *combinedRun) runHostFault(h *host, fault faultEvent) {
	switch fault.kind {
	case "freeze":
		r.records.recordHostFailure(h, false)
		h.process.freeze()
		time.Sleep(fault.duration)
		h.process.thaw()
	case "freeze and kill":
		r.records.recordHostFailure(h, false)
		h.process.freeze()
		time.Sleep(fault.duration)
		r.killHost(h)
		r.restartHost(h)
	case "kill":
		r.killHost(h)
		time.Sleep(fault.duration)
		r.restartHost(h)
	case "stop":
		// The duration is not used: the host restarts as soon as its process has exited.
		r.records.countRun(promiseStop)
		r.records.recordHostFailure(h, false)
		r.availability.markDown(h, false)
		if err := h.process.stop(); err != nil {
			r.records.addViolation(promiseStop, "host %s exited with %v", h.id, err)
		}
		r.restartHost(h)
	}
}

func (r *combinedRun) killHost(h *host) {
	r.availability.markDown(h, true)
	r.records.recordHostFailure(h, true)
	h.process.kill()
}

// restartHost starts a new process for the host, without the state of the old one, and makes it
// available to callers.
func (r *combinedRun) restartHost(h *host) {
	r.startHost(h)
	for deadline := time.Now().Add(waitLimit); !h.acceptsCallers(); time.Sleep(20 * time.Millisecond) {
		if !h.process.running() || time.Now().After(deadline) {
			r.records.addViolation(promiseRecovery, "host %s ended after its restart, or accepts no connections", h.id)
			return
		}
	}
	r.availability.markUp(h)
}
