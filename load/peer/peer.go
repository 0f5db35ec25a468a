// Package peer distributes load reports within a data centre: the host that reads an
// endpoint sends the report to the hub, which sends it to the other hosts.
//
// A summary holds a limited number of reports. Endpoints come first whose reports the host
// has waited for longest. With more endpoints the reports therefore become older instead of
// the traffic larger. Dispatchers take the age into account.
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
// Messages hold the age of a report in milliseconds rather than its time, so the
// hosts' clocks need not be synchronised. Errors of the section's methods match
// winch.ErrInvalid.
package peer

import (
	"errors"
	"sort"
	"sync"
	"time"

	"github.com/arbutuswinch/winch"
)

const (
	sectionName       winch.SectionName = "Load"
	defaultMaxReports                   = 40
	reportRetention                     = 15 * time.Second
	// pruneInterval is the shortest time between two runs of prune, which visits all
	// hosts and endpoints.
	pruneInterval = time.Second
)

// Options are the dependencies and settings of an exchange.
type Options struct {
	// Observer receives the reports of this host's reader and of other hosts.
	Observer winch.LoadObserver
	// MaxReports is the largest number of reports in one summary. The default is 40.
	MaxReports int
}

// Exchange implements winch.LoadObserver for the reader, and winch.Section.
type Exchange struct {
	// NoDigest: other data centres receive numbers of free slots, not reports of endpoints.
	winch.NoDigest
	options Options

	lock sync.Mutex
	// unsent holds the load reports that were read since the last message to the hub.
	unsent map[winch.EndpointID]winch.LoadReport
	// latest holds, at the hub, the newest report of each endpoint. On other hosts it holds
	// the reports of this host's reader and is not pruned, since only Summary prunes it.
	latest map[winch.EndpointID]latestReport
	// sentTo holds, at the hub, for each host what it was last sent of each endpoint.
	sentTo map[winch.HostID]map[winch.EndpointID]sentReport
	// prunedAt is when prune last ran.
	prunedAt time.Time
}

// latestReport is a report with the host that sent it, which is empty for this host.
type latestReport struct {
	report winch.LoadReport
	from   winch.HostID
}

// sentReport is when a report was sent and the AsOf of that report.
type sentReport struct{ at, asOf time.Time }

// New returns an exchange.
func New(options Options) (*Exchange, error) {
	if options.Observer == nil {
		return nil, errors.New("create load exchange: Observer is missing")
	}
	if options.MaxReports == 0 {
		options.MaxReports = defaultMaxReports
	}
	return &Exchange{
		options: options, unsent: map[winch.EndpointID]winch.LoadReport{},
		latest: map[winch.EndpointID]latestReport{}, sentTo: map[winch.HostID]map[winch.EndpointID]sentReport{},
	}, nil
}

// ObserveLoad records a report of this host's reader, and passes it on to this host's observer.
func (x *Exchange) ObserveLoad(now time.Time, report winch.LoadReport) {
	x.lock.Lock()
	x.unsent[report.Endpoint] = report
	x.store(report, "")
	x.lock.Unlock()
	x.options.Observer.ObserveLoad(now, report)
}

// ObserveCache passes an event on to this host's observer. Cache events are not sent to
// other hosts, which learn from their own requests which prefixes are cached.
func (x *Exchange) ObserveCache(now time.Time, event winch.CacheEvent) {
	x.options.Observer.ObserveCache(now, event)
}

// store keeps the report unless a newer one of the same endpoint is known.
func (x *Exchange) store(report winch.LoadReport, from winch.HostID) {
	if latest, found := x.latest[report.Endpoint]; found && !report.AsOf.After(latest.report.AsOf) {
		return
	}
	x.latest[report.Endpoint] = latestReport{report: report, from: from}
}

// Name returns the section's name.
func (x *Exchange) Name() winch.SectionName { return sectionName }

// Report returns the load reports that were read since the last message to the hub. If the
// exchange fails, they are lost; the next reads replace them.
func (x *Exchange) Report(now time.Time) []byte {
	x.lock.Lock()
	defer x.lock.Unlock()
	if len(x.unsent) == 0 {
		return nil
	}
	reports := make([]winch.LoadReport, 0, len(x.unsent))
	for _, report := range x.unsent {
		reports = append(reports, report)
	}
	clear(x.unsent)
	return encode(now, reports)
}

// Collect records a host's reports at the hub, and passes them on to the hub's observer.
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

// Summary returns reports that the host was not sent yet, up to Options.MaxReports of them.
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
	if len(pending) > x.options.MaxReports {
		pending = pending[:x.options.MaxReports]
	}
	for _, report := range pending {
		sent[report.Endpoint] = sentReport{at: now, asOf: report.AsOf}
	}
	if len(pending) == 0 {
		return nil
	}
	return encode(now, pending)
}

// prune removes reports that are too old to be useful, and hosts to which nothing was sent
// for reportRetention.
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

// Apply passes the hub's reports on to this host's observer.
func (x *Exchange) Apply(now, sent time.Time, _ winch.HostID, summary []byte) error {
	// The hub computed the ages after the call was sent. Since they are counted from the time
	// of the call, a report may look older than it is, but never newer.
	reports, err := decode(sent, summary)
	if err != nil {
		return err
	}
	for _, report := range reports {
		x.options.Observer.ObserveLoad(now, report)
	}
	return nil
}
