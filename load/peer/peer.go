// Package peer shares the load reports that one host of a data centre reads with
// the other hosts, through the hub.
//
// A summary holds a bounded number of reports, those that the host was told of
// longest ago first, so that the traffic does not grow with the number of
// endpoints; the age of a report grows instead, and dispatchers correct for age.
//
// # Usage
//
//	exchange, err := peer.New(peer.Options{Observer: dispatcher})
//	if err != nil {
//		return err
//	}
//	reader, err := engine.New(engine.Options{Observer: exchange, ...})
//	sections = append(sections, exchange)
//
// Ages travel as milliseconds, so the hosts' clocks need not agree. Errors of
// the section's methods match winch.ErrInvalid.
package peer

import (
	"errors"
	"sort"
	"sync"
	"time"

	"github.com/arbutuswinch/winch"
)

const (
	sectionName     winch.SectionName = "Load"
	defaultReports                    = 40
	reportRetention                   = 15 * time.Second
	// pruneInterval bounds the work of forgetting, which goes through all hosts and endpoints.
	pruneInterval = time.Second
)

// Options are what an exchange needs.
type Options struct {
	// Observer gets the reports of this host's reader and of other hosts.
	Observer winch.LoadObserver
	// Reports is the most reports in one summary.
	Reports int
}

// Exchange implements winch.LoadObserver for the reader, and winch.Section.
type Exchange struct {
	// Other data centres are told of free slots, not of endpoints.
	winch.NoDigest
	options Options

	lock sync.Mutex
	// unreported are the reports that this host read since its last report to the hub.
	unreported map[winch.EndpointID]winch.LoadReport
	// latest are the newest reports, at the hub.
	latest map[winch.EndpointID]latestReport
	// sentTo says when each host was last told of an endpoint, and of which report.
	sentTo map[winch.HostID]map[winch.EndpointID]sentReport
	// prunedAt is when old reports were last dropped.
	prunedAt time.Time
}

type latestReport struct {
	report winch.LoadReport
	from   winch.HostID
}

type sentReport struct{ at, asOf time.Time }

// New returns an exchange.
func New(options Options) (*Exchange, error) {
	if options.Observer == nil {
		return nil, errors.New("create load exchange: Observer is missing")
	}
	if options.Reports == 0 {
		options.Reports = defaultReports
	}
	return &Exchange{
		options: options, unreported: map[winch.EndpointID]winch.LoadReport{},
		latest: map[winch.EndpointID]latestReport{}, sentTo: map[winch.HostID]map[winch.EndpointID]sentReport{},
	}, nil
}

// ObserveLoad takes a report of this host's reader in.
func (x *Exchange) ObserveLoad(now time.Time, report winch.LoadReport) {
	x.lock.Lock()
	x.unreported[report.Endpoint] = report
	x.store(report, "")
	x.lock.Unlock()
	x.options.Observer.ObserveLoad(now, report)
}

// ObserveCache passes an event on to this host's observer. Cache events are not
// shared: each host learns of prefixes by its own requests besides.
func (x *Exchange) ObserveCache(now time.Time, event winch.CacheEvent) {
	x.options.Observer.ObserveCache(now, event)
}

func (x *Exchange) store(report winch.LoadReport, from winch.HostID) {
	if latest, found := x.latest[report.Endpoint]; found && !report.AsOf.After(latest.report.AsOf) {
		return
	}
	x.latest[report.Endpoint] = latestReport{report: report, from: from}
}

// Name returns the section's name.
func (x *Exchange) Name() winch.SectionName { return sectionName }

// Report returns what this host read since its last report.
func (x *Exchange) Report(now time.Time) []byte {
	x.lock.Lock()
	defer x.lock.Unlock()
	if len(x.unreported) == 0 {
		return nil
	}
	reports := make([]winch.LoadReport, 0, len(x.unreported))
	for _, report := range x.unreported {
		reports = append(reports, report)
	}
	clear(x.unreported)
	return encode(now, reports)
}

// Collect takes a host's reports in, at the hub.
func (x *Exchange) Collect(now time.Time, from winch.HostID, encoded []byte) error {
	reports, err := decode(now, encoded)
	if err != nil {
		return err
	}
	x.lock.Lock()
	for _, report := range reports {
		x.store(report, from)
	}
	x.lock.Unlock()
	for _, report := range reports {
		x.options.Observer.ObserveLoad(now, report)
	}
	return nil
}

// Summary returns the reports that the host does not know yet, as many as one summary holds.
func (x *Exchange) Summary(now time.Time, to winch.HostID) []byte {
	x.lock.Lock()
	defer x.lock.Unlock()
	x.prune(now)
	sent, found := x.sentTo[to]
	if !found {
		sent = map[winch.EndpointID]sentReport{}
		x.sentTo[to] = sent
	}
	var pending []winch.LoadReport
	for id, latest := range x.latest {
		if now.Sub(latest.report.AsOf) > reportRetention {
			continue
		}
		if latest.from != to && latest.report.AsOf.After(sent[id].asOf) {
			pending = append(pending, latest.report)
		}
	}
	sort.Slice(pending, func(i, j int) bool {
		a, b := sent[pending[i].Endpoint].at, sent[pending[j].Endpoint].at
		if !a.Equal(b) {
			return a.Before(b)
		}
		return pending[i].Endpoint < pending[j].Endpoint
	})
	if len(pending) > x.options.Reports {
		pending = pending[:x.options.Reports]
	}
	for _, report := range pending {
		sent[report.Endpoint] = sentReport{at: now, asOf: report.AsOf}
	}
	if len(pending) == 0 {
		return nil
	}
	return encode(now, pending)
}

// prune drops reports that are too old to be of use, and hosts that stopped asking.
func (x *Exchange) prune(now time.Time) {
	if now.Sub(x.prunedAt) < pruneInterval {
		return
	}
	x.prunedAt = now
	for id, latest := range x.latest {
		if now.Sub(latest.report.AsOf) > reportRetention {
			delete(x.latest, id)
		}
	}
	for host, sent := range x.sentTo {
		for id, last := range sent {
			if now.Sub(last.at) > reportRetention {
				delete(sent, id)
			}
		}
		if len(sent) == 0 {
			delete(x.sentTo, host)
		}
	}
}

// Apply takes the hub's reports in.
func (x *Exchange) Apply(now, sent time.Time, _ winch.HostID, summary []byte) error {
	// The ages are as of the hub's answer, which is no older than the call.
	reports, err := decode(sent, summary)
	if err != nil {
		return err
	}
	for _, report := range reports {
		x.options.Observer.ObserveLoad(now, report)
	}
	return nil
}
