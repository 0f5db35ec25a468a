package check

import (
	"time"

	"github.com/arbutuswinch/winch"
)

// Configuration is a configuration as its author wrote it. Its lists are in the order of the file.
type Configuration struct {
	Revision      winch.Revision
	Routes        []Route
	Services      []Service
	Limits        Limits
	Organisations []Organisation
	// KeysOptional is set if there is no list of organisations.
	KeysOptional bool
	Others       []Property
}

// Route is a forwarding route. Values that are missing are zero.
type Route struct {
	ID           winch.RouteID
	Host, Prefix string
	// Kind is empty if it is missing or unknown.
	Kind winch.ForwardKind
	// Model is the route's only service. It is empty if Split divides the requests among several.
	Model                                       winch.ModelID
	Split                                       []winch.ForwardTarget
	Timeout, FirstTokenTarget, InterTokenTarget time.Duration
	MaxAttempts, Priority                       int
	Open, Resumable                             bool
	Others                                      []Property
}

// Service describes the endpoints of a service.
type Service struct {
	Model winch.ModelID
	// Scaling is nil if the service's endpoints cannot be ordered.
	Scaling   *winch.Scaling
	ColdStart winch.ColdStart
	// ColdRateStated and ColdDurationStated are set if the two fields of ColdStart are not missing.
	ColdRateStated, ColdDurationStated bool
	// CacheCapacity and Slots describe engines; nil if missing.
	CacheCapacity, Slots *int64
	Others               []Property
}

// Organisation is an organisation with the hashes of its keys.
type Organisation struct {
	ID   winch.OrganisationID
	Keys []Key
	// Grade is nil if the organisation has none.
	Grade  *winch.Grade
	Others []Property
}

// Key is a key without its secret.
type Key struct {
	Hash winch.KeyHash
	// Malformed is set if no request can carry the secret.
	Malformed bool
}

// Limits are the limits of callers' requests and connections; nil if missing.
type Limits struct {
	HeaderBytes, BodyBytes     *int64
	HeaderTimeout, IdleTimeout *time.Duration
	Others                     []Property
}

// Property is a field that hosts do not use. It appears in differences only. Value must not be secret.
type Property struct{ Name, Value string }

// Options are what is known of the hosts.
type Options struct {
	// Memory is the memory in bytes of the smallest host; zero if it is not known.
	Memory int64
}
