// Package peer keeps the membership of the hosts: which are alive, and which of
// them is the hub of its data centre. Hosts exchange reports with the hub of their
// data centre by one periodic call, and hubs exchange digests with each other;
// every slice has its section of both.
//
// # Usage
//
//	table := peer.NewTable(self, centres, 2*time.Second, 10*time.Minute)
//	exchange, err := peer.New(peer.Options{Table: table, Sections: sections, Clock: clock, Logger: logger, Secret: secret})
//	if err != nil {
//		return err
//	}
//	mux.Handle("/peer/", exchange.Handler())
//	err = exchange.Run(ctx)
package peer

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"golang.org/x/sync/errgroup"

	"github.com/arbutuswinch/winch"
	"github.com/arbutuswinch/winch/httpjson"
	"github.com/arbutuswinch/winch/internal/periodic"
)

const (
	defaultExchangeEvery = 500 * time.Millisecond
	defaultDigestEvery   = time.Second
	defaultListEvery     = 5 * time.Second
	defaultTimeout       = time.Second
	aloneListEvery       = time.Second
)

// HostLister reads the platform's host list.
type HostLister interface {
	List(ctx context.Context) ([]winch.Host, error)
}

// Options are the settings of an Exchange. The zero value of a duration stands for its default.
type Options struct {
	Table    *Table
	Hosts    HostLister
	Sections []winch.Section
	Clock    winch.Clock
	Logger   hclog.Logger
	// Secret authenticates hosts to each other.
	Secret string
	// Transport carries the calls to other hosts; nil stands for a transport of its own.
	Transport http.RoundTripper
	// ExchangeEvery is the time between two exchanges with the hub, up to twenty hosts of a
	// data centre; above, it grows with their number up to twice as long.
	ExchangeEvery time.Duration
	// DigestEvery is the time between two digests to another data centre, up to four data
	// centres; above, it grows with their number up to one and a half times as long.
	DigestEvery time.Duration
	// ListEvery is the time between two readings of the host list by a hub.
	ListEvery time.Duration
	// Timeout bounds one call to another host.
	Timeout time.Duration
}

// Exchange calls the hub, and the hubs of other data centres when this host is one.
type Exchange struct {
	options Options
	table   *Table
	compact *httpjson.Compactor

	mu       sync.Mutex
	clients  map[string]*httpjson.Client
	hub      winch.HostID
	hubHosts hostSet
	remote   map[winch.DataCentreID]hostSet
	// acknowledged is the version of this data centre's hosts that each other one holds.
	acknowledged map[winch.DataCentreID]uint64
}

// New returns an exchange; Run starts it.
func New(options Options) (*Exchange, error) {
	if options.Table == nil || options.Clock == nil || options.Logger == nil {
		return nil, fmt.Errorf("create exchange: table, clock and logger are needed: %w", winch.ErrInvalid)
	}
	options.ExchangeEvery = cmp.Or(options.ExchangeEvery, defaultExchangeEvery)
	options.DigestEvery = cmp.Or(options.DigestEvery, defaultDigestEvery)
	options.ListEvery = cmp.Or(options.ListEvery, defaultListEvery)
	options.Timeout = cmp.Or(options.Timeout, defaultTimeout)
	return &Exchange{
		options: options, table: options.Table, compact: newCompactor(),
		clients:      map[string]*httpjson.Client{},
		remote:       map[winch.DataCentreID]hostSet{},
		acknowledged: map[winch.DataCentreID]uint64{},
	}, nil
}

// Run exchanges until ctx is done.
func (e *Exchange) Run(ctx context.Context) error {
	e.readHosts(ctx)
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return periodic.RunPaced(ctx, e.exchangePeriod, e.exchange) })
	group.Go(func() error { return periodic.RunPaced(ctx, e.digestPeriod, e.sendDigests) })
	group.Go(func() error { return periodic.RunPaced(ctx, e.listPeriod, e.refresh) })
	return group.Wait()
}

func (e *Exchange) exchangePeriod() time.Duration {
	return scaled(e.options.ExchangeEvery, e.table.ExchangeFactor())
}

func (e *Exchange) digestPeriod() time.Duration {
	return scaled(e.options.DigestEvery, e.table.DigestFactor())
}

// exchange reports to the hub; when the hub does not answer, to the next one.
func (e *Exchange) exchange(ctx context.Context) {
	for range 2 {
		now := e.options.Clock.Now()
		hub, _ := e.table.Hub(now, e.table.Self().DataCentre)
		e.noteHub(hub)
		if hub.ID == e.table.Self().ID {
			e.exchangeLocally(now)
			return
		}
		err := e.exchangeWith(ctx, hub)
		if err == nil || ctx.Err() != nil {
			return
		}
		e.fail(hub, err)
	}
}

func (e *Exchange) fail(host winch.Host, err error) {
	e.table.Failed(e.options.Clock.Now(), host.ID)
	e.options.Logger.Warn("peer failed", "Event", EventPeerFailed, "Host", host.ID, "Address", host.PeerAddress, "Error", err)
}

func (e *Exchange) noteHub(hub winch.Host) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.hub == hub.ID {
		return
	}
	e.hub = hub.ID
	e.hubHosts = hostSet{}
	e.options.Logger.Info("hub changed", "Event", EventHubChanged, "Hub", hub.ID)
}

func (e *Exchange) exchangeLocally(now time.Time) {
	self := e.table.Self().ID
	for _, section := range e.options.Sections {
		e.check(section, section.Collect(now, self, section.Report(now)))
	}
	for _, section := range e.options.Sections {
		e.check(section, section.Apply(now, now, self, section.Summary(now, self)))
	}
}

func (e *Exchange) exchangeWith(ctx context.Context, hub winch.Host) error {
	client, err := e.client(hub.PeerAddress)
	if err != nil {
		return err
	}
	sent := e.options.Clock.Now()
	call := exchangeCall{From: encodeHost(e.table.Self()), Sections: e.reports(sent), Version: e.hubVersion()}
	answer := exchangeAnswer{}
	if err := client.Call(ctx, "/peer/exchange", call, &answer); err != nil {
		return fmt.Errorf("exchange with %s: %w", hub.ID, err)
	}
	now := e.options.Clock.Now()
	e.table.Heard(now, hub, now.Sub(sent))
	e.applyHosts(now, answer)
	for _, section := range e.options.Sections {
		if summary, found := answer.Sections[string(section.Name())]; found {
			e.check(section, section.Apply(now, sent, hub.ID, summary))
		}
	}
	return nil
}

func (e *Exchange) reports(now time.Time) sections {
	reports := sections{}
	for _, section := range e.options.Sections {
		if report := section.Report(now); report != nil {
			reports[string(section.Name())] = json.RawMessage(report)
		}
	}
	return reports
}

func (e *Exchange) hubVersion() uint64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.hubHosts.version
}

func (e *Exchange) applyHosts(now time.Time, answer exchangeAnswer) {
	e.mu.Lock()
	if answer.Hosts != nil || answer.Version != e.hubHosts.version {
		e.hubHosts = decodeHosts(answer.Version, answer.Hosts)
	}
	hosts := e.hubHosts.hosts
	e.mu.Unlock()
	for _, host := range hosts {
		e.table.Heard(now, host, 0)
	}
}

// listPeriod is shorter while the host knows no other of its data centre, as when the
// platform's list lagged behind the start of all hosts.
func (e *Exchange) listPeriod() time.Duration {
	if e.table.alone() {
		return min(aloneListEvery, e.options.ListEvery)
	}
	return e.options.ListEvery
}

// refresh reads the platform's host list, as hub or when the host knows no other,
// and tries hosts that were not heard of for a while.
func (e *Exchange) refresh(ctx context.Context) {
	now := e.options.Clock.Now()
	centre := e.table.Self().DataCentre
	if hub, _ := e.table.Hub(now, centre); hub.ID == e.table.Self().ID {
		e.readHosts(ctx)
	}
	host, found := e.table.Probe(now, centre)
	if !found {
		return
	}
	if err := e.exchangeWith(ctx, host); err != nil {
		e.table.Failed(e.options.Clock.Now(), host.ID)
	}
}

func (e *Exchange) readHosts(ctx context.Context) {
	if e.options.Hosts == nil {
		return
	}
	hosts, err := e.options.Hosts.List(ctx)
	if err != nil {
		e.options.Logger.Warn("host list failed", "Event", EventHostListFailed, "Error", err)
		return
	}
	e.table.Listed(e.options.Clock.Now(), hosts)
}

func (e *Exchange) check(section winch.Section, err error) {
	if err != nil {
		e.options.Logger.Warn("section failed", "Event", EventSectionFailed, "Section", section.Name(), "Error", err)
	}
}

func (e *Exchange) client(address string) (*httpjson.Client, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if client := e.clients[address]; client != nil {
		return client, nil
	}
	client, err := httpjson.NewClient(httpjson.Options{
		Address: address, Secret: e.options.Secret,
		Timeout: e.options.Timeout, Transport: e.options.Transport, Compactor: e.compact,
	})
	if err != nil {
		return nil, err
	}
	e.clients[address] = client
	return client, nil
}
