package winch

import "time"

// Organisation is a tenant whose keys, priority and usage are managed together.
type Organisation struct {
	ID OrganisationID
	// Weight is the organisation's share of capacity relative to others of its tier.
	Weight int
	// StrictKeys makes the organisation's keys expire within seconds in an isolated
	// data centre, instead of after the isolation grace period.
	StrictKeys bool
}

// Key is an API key with which callers act for an organisation.
type Key struct {
	ID           KeyID
	Organisation OrganisationID
	Hash         KeyHash
}

// Class is a request class with its service-level targets.
type Class struct {
	ID   ClassID
	Tier Tier
	// FirstTokenTarget is the target time to the first token or, for plain
	// services, to the response.
	FirstTokenTarget time.Duration
	// InterTokenTarget is the target time between tokens; zero means no target.
	InterTokenTarget time.Duration
	// MaxWait is the longest time a request may be queued before it is refused.
	MaxWait time.Duration
	// QueueLimit is the maximum number of requests that one host queues for the class.
	QueueLimit int
	// Floor is the share of the slots of its endpoints, from 0 to 0.5, that the class is
	// guaranteed while its oldest queued request has waited longer than half of MaxWait, even
	// if requests of higher tiers are queued.
	Floor  float64
	Models []ModelID
	// Open allows callers without a key to use the class.
	Open bool
}

// Route sends the requests below the path /services/<ID>/ to plain services: HTTP services that
// are not model engines.
type Route struct {
	ID    RouteID
	Class ClassID
	// Open allows callers without a key to use the route.
	Open bool
	// Idempotent is set when requests may be retried.
	Idempotent bool
}

// EndpointKind distinguishes model engines, plain services and peers.
type EndpointKind string

// The kinds of endpoint. A peer is an entry host of another data centre, to
// which a request is forwarded; it never appears in a configuration.
const (
	EndpointEngine  EndpointKind = "Engine"
	EndpointService EndpointKind = "Service"
	EndpointPeer    EndpointKind = "Peer"
)

// Supply states whether the platform may reclaim an endpoint at any time.
type Supply string

// The supplies of endpoints.
const (
	// SupplySteady: on-demand capacity, which the platform does not reclaim.
	SupplySteady Supply = "Steady"
	// SupplyCheap: the platform may reclaim the endpoint at any time.
	SupplyCheap Supply = "Cheap"
)

// Endpoint is a backend that serves requests.
type Endpoint struct {
	ID         EndpointID
	DataCentre DataCentreID
	Kind       EndpointKind
	// Address is an IP address and port.
	Address string
	// Models is set for engines, Routes for plain services.
	Models []ModelID
	Routes []RouteID
	// Classes are the classes that may use the endpoint; empty means all.
	Classes []ClassID
	Supply  Supply
	Cost    Cost
	// ChecksFencing is set when the endpoint rejects an EngineOrder with a stale fencing number.
	ChecksFencing bool
	// SlotLimit is the maximum number of concurrent requests at the endpoint.
	SlotLimit int
	// Pool is set for endpoints that were ordered from the platform.
	Pool PoolID
	// Software is the version of the endpoint's software. Endpoints of several versions may serve the same model.
	Software SoftwareVersion
}

// Pool is a set of identical endpoints that is scaled with demand.
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
	// ChecksFencing is set when the data centre's ordering API rejects stale fencing numbers.
	ChecksFencing bool
	SlotLimit     int
}

// Evacuation stops all requests to the endpoints of a data centre until it is withdrawn.
type Evacuation struct {
	DataCentre DataCentreID
}

// EngineProperties describes the engines of a model. A property that is zero is not known.
type EngineProperties struct {
	Model ModelID
	// CacheCapacity is the number of tokens that the prompts and the output of an engine's running requests can have together.
	CacheCapacity Tokens
}

// Configuration is the result of applying all committed release notes. It is
// immutable once published.
type Configuration struct {
	Revision      Revision
	Organisations map[OrganisationID]Organisation
	Keys          map[KeyID]Key
	Classes       map[ClassID]Class
	Routes        map[RouteID]Route
	Endpoints     map[EndpointID]Endpoint
	Pools         map[PoolID]Pool
	// Evacuations are the data centres whose endpoints get no requests.
	Evacuations map[DataCentreID]Evacuation
	// Forwards are the forwarding routes; release notes cannot change them.
	Forwards []Forward
	// Grades holds the grade of each organisation that has one. On forwarding routes the
	// grade selects the request class, and thereby the tier (see Forward.Classes).
	Grades        map[OrganisationID]Grade
	ForwardLimits ForwardLimits
	Scalings      map[ModelID]Scaling
	// ColdStarts holds the models whose endpoints sustain few requests while they are cold.
	ColdStarts map[ModelID]ColdStart
	// Engines holds what is known of the engines of each model.
	Engines map[ModelID]EngineProperties
	// KeysOptional is set when the operator keeps no list of organisations: requests on forwarding routes then need no key. An
	// empty list is one, and refuses each key.
	KeysOptional bool
}

// Items are the parts of a configuration that a note adds or changes.
type Items struct {
	Organisations []Organisation
	Keys          []Key
	Classes       []Class
	Routes        []Route
	Endpoints     []Endpoint
	Pools         []Pool
	Evacuations   []Evacuation
}

// ItemIDs are the parts of a configuration that a note withdraws.
type ItemIDs struct {
	Organisations []OrganisationID
	Keys          []KeyID
	Classes       []ClassID
	Routes        []RouteID
	Endpoints     []EndpointID
	Pools         []PoolID
	// Evacuations are withdrawn by their data centres.
	Evacuations []DataCentreID
}

// Note is a release note: a change to the configuration. Base is the revision
// on which its author based it; zero means the current one at commit.
type Note struct {
	ID        NoteID
	Base      Revision
	Added     Items
	Changed   Items
	Withdrawn ItemIDs
}

// Authority states which requests a host may serve, given how recent its configuration is.
type Authority int

// What a host may serve, from least to most.
const (
	// AuthorityNone: no requests, because no configuration was ever received.
	AuthorityNone Authority = iota
	// AuthorityOpen: only open routes and classes, because the keys may be out of date.
	AuthorityOpen
	// AuthorityFull: all requests.
	AuthorityFull
)

// Configurations provides the current configuration.
type Configurations interface {
	// Current returns the newest configuration received. Before the first one, it returns an
	// empty configuration of revision 0, never nil.
	Current() *Configuration
	// Authorize returns the key with the hash. It returns ErrUnauthorized for an
	// unknown key, and ErrIsolated when this host could not confirm its keys for longer than
	// the limit allows.
	Authorize(now time.Time, hash KeyHash) (Key, error)
	// Authority returns which requests may be served now.
	Authority(now time.Time) Authority
	// Changed returns a channel that is closed when the configuration or the
	// authority changes next.
	Changed() <-chan struct{}
}
