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
	// forgetPeriod bounds the work of forgetting, which goes through all hosts and endpoints.
	forgetPeriod = time.Second
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
	// own are the reports that this host read since its last report to the hub.
	own map[winch.EndpointID]winch.LoadReport
	// known are the newest reports, at the hub.
	known map[winch.EndpointID]knownReport
	// told says when each host was last told of an endpoint, and of which report.
	told map[winch.HostID]map[winch.EndpointID]toldReport
	// forgotAt is when old reports were last dropped.
	forgotAt time.Time
}

type knownReport struct {
	report winch.LoadReport
	from   winch.HostID
}

type toldReport struct{ at, asOf time.Time }

// New returns an exchange.
func New(options Options) (*Exchange, error) {
	if options.Observer == nil {
		return nil, errors.New("create load exchange: Observer is missing")
	}
	if options.Reports == 0 {
		options.Reports = defaultReports
	}
	return &Exchange{
		options: options, own: map[winch.EndpointID]winch.LoadReport{},
		known: map[winch.EndpointID]knownReport{}, told: map[winch.HostID]map[winch.EndpointID]toldReport{},
	}, nil
}

// ObserveLoad takes a report of this host's reader in.
func (x *Exchange) ObserveLoad(now time.Time, report winch.LoadReport) {
	x.lock.Lock()
	x.own[report.Endpoint] = report
	x.keep(report, "")
	x.lock.Unlock()
	x.options.Observer.ObserveLoad(now, report)
}

// ObserveCache passes an event on to this host's observer. Cache events are not
// shared: each host learns of prefixes by its own requests besides.
func (x *Exchange) ObserveCache(now time.Time, event winch.CacheEvent) {
	x.options.Observer.ObserveCache(now, event)
}

func (x *Exchange) keep(report winch.LoadReport, from winch.HostID) {
	if known, found := x.known[report.Endpoint]; found && !report.AsOf.After(known.report.AsOf) {
		return
	}
	x.known[report.Endpoint] = knownReport{report: report, from: from}
}

// Name returns the section's name.
func (x *Exchange) Name() winch.SectionName { return sectionName }

// Report returns what this host read since its last report.
func (x *Exchange) Report(now time.Time) []byte {
	x.lock.Lock()
	defer x.lock.Unlock()
	if len(x.own) == 0 {
		return nil
	}
	reports := make([]winch.LoadReport, 0, len(x.own))
	for _, report := range x.own {
		reports = append(reports, report)
	}
	clear(x.own)
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
		x.keep(report, from)
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
	x.forget(now)
	told, found := x.told[to]
	if !found {
		told = map[winch.EndpointID]toldReport{}
		x.told[to] = told
	}
	var news []winch.LoadReport
	for id, known := range x.known {
		if now.Sub(known.report.AsOf) > reportRetention {
			continue
		}
		if known.from != to && known.report.AsOf.After(told[id].asOf) {
			news = append(news, known.report)
		}
	}
	sort.Slice(news, func(i, j int) bool {
		a, b := told[news[i].Endpoint].at, told[news[j].Endpoint].at
		if !a.Equal(b) {
			return a.Before(b)
		}
		return news[i].Endpoint < news[j].Endpoint
	})
	if len(news) > x.options.Reports {
		news = news[:x.options.Reports]
	}
	for _, report := range news {
		told[report.Endpoint] = toldReport{at: now, asOf: report.AsOf}
	}
	if len(news) == 0 {
		return nil
	}
	return encode(now, news)
}

// forget drops reports that are too old to be of use, and hosts that stopped asking.
func (x *Exchange) forget(now time.Time) {
	if now.Sub(x.forgotAt) < forgetPeriod {
		return
	}
	x.forgotAt = now
	for id, known := range x.known {
		if now.Sub(known.report.AsOf) > reportRetention {
			delete(x.known, id)
		}
	}
	for host, told := range x.told {
		for id, last := range told {
			if now.Sub(last.at) > reportRetention {
				delete(told, id)
			}
		}
		if len(told) == 0 {
			delete(x.told, host)
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
