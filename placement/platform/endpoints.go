package platform

import (
	"cmp"
	"context"
	"fmt"
	"maps"
	"net/url"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/arbutuswinch/winch"
	"github.com/arbutuswinch/winch/httpjson"
	"github.com/arbutuswinch/winch/internal/periodic"
)

// EndpointsOptions are the dependencies and settings of Endpoints.
type EndpointsOptions struct {
	// Address is the IP address and port of the platform's interface for orders.
	Address    string
	DataCentre winch.DataCentreID
	Membership winch.Membership
	// Interval is the time between reads of the list. The default is 1 s.
	Interval time.Duration
	Clock    winch.Clock
	Logger   hclog.Logger
}

// Endpoints maintains the list of ordered endpoints. The hub of the data centre reads the
// list from the platform; the other hosts receive it from the hub. Endpoints implements
// winch.OrderedEndpoints and winch.Section and is safe for concurrent use.
type Endpoints struct {
	// NoDigest: hubs do not send the list to other data centres, since only hosts of the
	// same data centre use an ordered endpoint.
	winch.NoDigest
	options EndpointsOptions
	client  *httpjson.Client

	mu      sync.Mutex
	current []winch.OrderedEndpoint
	hash    uint64
	changed chan struct{}
	// history holds the newest lists, the newest one last.
	history []listVersion
	// hostHashes holds, at the hub, the hash of the list that each host reported.
	hostHashes map[winch.HostID]uint64
}

var (
	_ winch.OrderedEndpoints = (*Endpoints)(nil)
	_ winch.Section          = (*Endpoints)(nil)
)

// NewEndpoints returns Endpoints without a list.
func NewEndpoints(options EndpointsOptions) (*Endpoints, error) {
	if options.Membership == nil || options.Clock == nil || options.DataCentre == "" {
		return nil, fmt.Errorf("endpoint options Membership, Clock and DataCentre are required: %w", winch.ErrInvalid)
	}
	options.Interval = cmp.Or(options.Interval, defaultInterval)
	options.Logger = cmp.Or[hclog.Logger](options.Logger, hclog.NewNullLogger())
	// A read may take two intervals, so that a slow platform delays the list but still delivers it.
	client, err := httpjson.NewClient(httpjson.Options{Address: options.Address, Timeout: 2 * options.Interval})
	if err != nil {
		return nil, fmt.Errorf("create client of the platform's interface for orders: %w", err)
	}
	return &Endpoints{
		options: options, client: client,
		changed: make(chan struct{}), hostHashes: map[winch.HostID]uint64{},
	}, nil
}

// Current returns the newest list, sorted by id, or nil when there is none yet. It must not be modified.
func (e *Endpoints) Current() []winch.OrderedEndpoint {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.current
}

// Changed returns a channel that is closed at the next change of the list.
func (e *Endpoints) Changed() <-chan struct{} {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.changed
}

// Run reads the list from the platform while this host is the hub, until ctx is done.
func (e *Endpoints) Run(ctx context.Context) error {
	return periodic.Run(ctx, e.options.Interval, func(ctx context.Context) {
		if e.isHub(e.options.Clock.Now()) {
			e.poll(ctx)
		}
	})
}

func (e *Endpoints) isHub(now time.Time) bool {
	hub, found := e.options.Membership.Hub(now, e.options.DataCentre)
	return found && hub.ID == e.options.Membership.Self().ID
}

func (e *Endpoints) poll(ctx context.Context) {
	response := endpointsResponse{}
	path := "/v1/datacentres/" + url.PathEscape(string(e.options.DataCentre)) + "/endpoints"
	if err := e.client.Fetch(ctx, path, &response); err != nil {
		e.options.Logger.Warn("endpoint list could not be read", "Event", EventEndpointsFailed, "DataCentre", e.options.DataCentre, "Error", err)
		return
	}
	endpoints := make([]winch.OrderedEndpoint, 0, len(response.Endpoints))
	for _, wire := range response.Endpoints {
		endpoints = append(endpoints, decodePlatformEndpoint(wire, e.options.DataCentre))
	}
	e.replace(endpoints)
	e.pruneHosts()
}

// pruneHosts removes the hashes of hosts that are no longer members.
func (e *Endpoints) pruneHosts() {
	members := map[winch.HostID]bool{}
	for _, host := range e.options.Membership.Hosts(e.options.Clock.Now(), e.options.DataCentre) {
		members[host.ID] = true
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	maps.DeleteFunc(e.hostHashes, func(id winch.HostID, _ uint64) bool { return !members[id] })
}

// replace makes the endpoints the current list, unless the list is unchanged.
func (e *Endpoints) replace(endpoints []winch.OrderedEndpoint) {
	slices.SortFunc(endpoints, func(a, b winch.OrderedEndpoint) int { return strings.Compare(string(a.ID), string(b.ID)) })
	hash := hashOf(endpoints)
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.current != nil && hash == e.hash {
		return
	}
	e.logStateChanges(e.current, endpoints)
	e.current, e.hash = endpoints, hash
	e.history = append(e.history, listVersion{hash: hash, endpoints: endpoints})
	if len(e.history) > historyLimit {
		e.history = e.history[1:]
	}
	close(e.changed)
	e.changed = make(chan struct{})
}

// logStateChanges logs endpoints that are new or have another state. Removed endpoints and
// changes of other fields are not logged.
func (e *Endpoints) logStateChanges(before, after []winch.OrderedEndpoint) {
	states := map[winch.EndpointID]winch.EndpointState{}
	for _, endpoint := range before {
		states[endpoint.ID] = endpoint.State
	}
	for _, endpoint := range after {
		if states[endpoint.ID] == endpoint.State {
			continue
		}
		e.options.Logger.Info("endpoint state changed", "Event", EventEndpointChanged, "Endpoint", endpoint.ID,
			"Pool", endpoint.Pool, "Supply", endpoint.Supply, "State", endpoint.State, "LeavesAt", endpoint.LeavesAt)
	}
}
