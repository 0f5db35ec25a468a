package winch

import (
	"crypto/sha256"
	"encoding/hex"
	"time"
)

// HostID identifies an entry host.
type HostID string

// DataCentreID identifies a data centre.
type DataCentreID string

// OrganisationID identifies an organisation, the tenant that owns keys.
type OrganisationID string

// KeyID identifies an organisation's key. It is not the secret.
type KeyID string

// ClassID identifies a request class.
type ClassID string

// RouteID identifies a route to plain services or a forwarding route.
type RouteID string

// EndpointID identifies an endpoint: a model engine or a plain service.
type EndpointID string

// EndpointSequence numbers what an endpoint says of itself since its start. It is independent of the key-value service.
type EndpointSequence int64

// PoolID identifies a pool of endpoints ordered from the platform.
type PoolID string

// ModelID identifies a model.
type ModelID string

// AdapterID identifies an adapter of a model.
type AdapterID string

// ModelVersion identifies a version of a model's weights.
type ModelVersion string

// SoftwareVersion identifies a version of the software that an endpoint runs. It is not the version of a model's weights, which
// is ModelVersion. It is empty when the version is not known.
type SoftwareVersion string

// RequestID identifies one request of a caller.
type RequestID string

// NoteID identifies a release note. A note is applied only once per ID.
type NoteID string

// OrderID identifies an order to the platform or to an engine.
type OrderID string

// Incarnation identifies one run of a process; it differs after each restart.
type Incarnation string

// WriteID identifies one attempt to write to the key-value service.
type WriteID string

// IdempotencyKey is the key by which a caller identifies retries of one request.
type IdempotencyKey string

// Duty names a task that only one process at a time, the lease holder, performs.
type Duty string

// Shard is the number of a partition of the organisations, by which usage is reported.
type Shard int

// Revision numbers the configurations in commit order.
type Revision int64

// FencingNumber is the number of a lease's term. It increases with each term of a duty and is never reused.
type FencingNumber int64

// Tier is the priority of a class. Tier 1 is the highest.
type Tier int

// Tokens is a number of prompt or output tokens.
type Tokens int64

// Cost is the price of running an endpoint, in thousandths of the currency unit per hour.
type Cost int64

// PrefixHash is the hash of a prompt prefix.
type PrefixHash uint64

// EventNumber identifies a log event. The events are listed in docs/EVENTS.md.
type EventNumber int

// KeyHash is the SHA-256 of a caller's secret.
type KeyHash [sha256.Size]byte

// HashKey returns the hash of a caller's secret.
func HashKey(secret string) KeyHash { return sha256.Sum256([]byte(secret)) }

// String returns the hash in hexadecimal.
func (h KeyHash) String() string { return hex.EncodeToString(h[:]) }

// Clock provides the time by which a process measures durations and deadlines. It also advances
// while the system is suspended. The readings of different processes may differ.
type Clock interface {
	Now() time.Time
}
