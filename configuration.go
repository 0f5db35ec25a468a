package winch

import "time"

// Organisation is a tenant.
type Organisation struct {
	ID OrganisationID
	// Weight is the organisation's share of service relative to others of its tier.
	Weight int
	// StrictKeys makes the organisation's keys lapse within seconds in a data
	// centre that is cut off, in place of the isolation grace.
	StrictKeys bool
}

// Key lets callers act for an organisation.
type Key struct {
	ID           KeyID
	Organisation OrganisationID
	Hash         KeyHash
}

// Class is a request class with its service level.
type Class struct {
	ID   ClassID
	Tier Tier
	// FirstTokenTarget is the time within which the first token is due, and for
	// plain services the answer.
	FirstTokenTarget time.Duration
	// InterTokenTarget is the time between tokens; zero means no target.
	InterTokenTarget time.Duration
	// MaxWait is the longest a request may stand in a queue before it is refused.
	MaxWait time.Duration
	// QueueLimit is the number of requests that one host queues for the class.
	QueueLimit int
	// Floor is the share of the slots of its endpoints, from 0 to 0.5, that the
	// class gets when its requests have waited past half of MaxWait.
	Floor  float64
	Models []ModelID
	// Open lets callers without a key use the class.
	Open bool
}

// Route sends calls below a path prefix to plain services.
type Route struct {
	ID    RouteID
	Class ClassID
	// Open lets callers without a key use the route.
	Open bool
	// Idempotent says that calls may be repeated.
	Idempotent bool
}

// EndpointKind tells model engines from plain services.
type EndpointKind string

// The kinds of endpoint. A peer is an entry host of another data centre, to
// which a request is handed over; it never stands in a configuration.
const (
	EndpointEngine  EndpointKind = "Engine"
	EndpointService EndpointKind = "Service"
	EndpointPeer    EndpointKind = "Peer"
)

// Supply tells whether the platform may take an endpoint away.
type Supply string

// The supplies of endpoints.
const (
	SupplySteady Supply = "Steady"
	SupplyCheap  Supply = "Cheap"
)

// Endpoint is a back end that serves requests.
type Endpoint struct {
	ID         EndpointID
	DataCentre DataCentreID
	Kind       EndpointKind
	// Address is an IP number and port.
	Address string
	Models  []ModelID
	Routes  []RouteID
	Classes []ClassID
	Supply  Supply
	Cost    Cost
	// ChecksFencing says that the endpoint refuses orders with an old fencing number.
	ChecksFencing bool
	// SlotLimit is the most requests that the endpoint may be given at once.
	SlotLimit int
	// Pool is set on endpoints that were ordered.
	Pool PoolID
}

// Pool is a set of like endpoints that the system orders by demand.
type Pool struct {
	ID         PoolID
	DataCentre DataCentreID
	Model      ModelID
	Adapter    AdapterID
	Version    ModelVersion
	Classes    []ClassID
	Supply     Supply
	Cost       Cost
	Min        int
	Max        int
	// ChecksFencing says that the data centre's order interface refuses old fencing numbers.
	ChecksFencing bool
	SlotLimit     int
}

// Configuration is what release notes have built up. It is never modified
// after it was published.
type Configuration struct {
	Revision      Revision
	Organisations map[OrganisationID]Organisation
	Keys          map[KeyID]Key
	Classes       map[ClassID]Class
	Routes        map[RouteID]Route
	Endpoints     map[EndpointID]Endpoint
	Pools         map[PoolID]Pool
	// Forwards are the forwarding routes; release notes do not change them.
	Forwards []Forward
	// Grades are those of organisations that go before the tiers of forwarding routes.
	Grades        map[OrganisationID]Grade
	ForwardLimits ForwardLimits
	Scalings      map[ModelID]Scaling
}

// Items are parts of a configuration that a note adds or changes.
type Items struct {
	Organisations []Organisation
	Keys          []Key
	Classes       []Class
	Routes        []Route
	Endpoints     []Endpoint
	Pools         []Pool
}

// ItemIDs are parts of a configuration that a note withdraws.
type ItemIDs struct {
	Organisations []OrganisationID
	Keys          []KeyID
	Classes       []ClassID
	Routes        []RouteID
	Endpoints     []EndpointID
	Pools         []PoolID
}

// Note is a release note. Base is the revision that its author saw; zero
// stands for whichever is current at the commit.
type Note struct {
	ID        NoteID
	Base      Revision
	Added     Items
	Changed   Items
	Withdrawn ItemIDs
}

// Authority says what a host may serve by the configuration that it holds.
type Authority int

// The authorities of a host, from least to most.
const (
	// AuthorityNone: no configuration was ever learnt.
	AuthorityNone Authority = iota
	// AuthorityOpen: only open routes and classes, since the keys may be out of date.
	AuthorityOpen
	// AuthorityFull: everything.
	AuthorityFull
)

// Configurations gives the configuration in force.
type Configurations interface {
	// Current returns the newest configuration that was learnt, never nil.
	Current() *Configuration
	// Authorize returns the organisation that owns the key, or ErrUnauthorized,
	// or ErrIsolated when keys can no longer be trusted here.
	Authorize(now time.Time, hash KeyHash) (Key, error)
	// Authority returns what may be served now.
	Authority(now time.Time) Authority
	// Changed returns a channel that is closed at the next change of the
	// configuration or of the authority.
	Changed() <-chan struct{}
}
