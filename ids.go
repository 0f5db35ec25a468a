package winch

import (
	"crypto/sha256"
	"encoding/hex"
	"time"
)

// HostID names an entry host.
type HostID string

// DataCentreID names a data centre.
type DataCentreID string

// OrganisationID names an organisation, the tenant that a key belongs to.
type OrganisationID string

// KeyID names an organisation's key. It is not the secret.
type KeyID string

// ClassID names a request class.
type ClassID string

// RouteID names a route to plain services.
type RouteID string

// EndpointID names an endpoint: a model engine or a plain service.
type EndpointID string

// PoolID names a pool of endpoints that is ordered from the platform.
type PoolID string

// ModelID names a model.
type ModelID string

// AdapterID names an adapter of a model.
type AdapterID string

// ModelVersion names a version of a model's weights.
type ModelVersion string

// RequestID names one request of a caller.
type RequestID string

// NoteID names a release note. A note is applied once for each id.
type NoteID string

// OrderID names an order to the platform or to an engine.
type OrderID string

// Incarnation names one start of a process.
type Incarnation string

// WriteID names one attempt to write to the key-value service.
type WriteID string

// IdempotencyKey is the key with which a caller marks repeats of one request.
type IdempotencyKey string

// Duty names work that one process at a time is in charge of.
type Duty string

// Shard numbers a part of the organisations, by which usage is reported.
type Shard int

// Revision numbers the configurations in the order of their commit.
type Revision int64

// FencingNumber grows with each term of a duty and is never reused.
type FencingNumber int64

// Tier orders classes by importance. Tier 1 is the highest.
type Tier int

// Tokens counts tokens of prompts or outputs.
type Tokens int64

// Cost is the price of running an endpoint, in thousandths of the currency unit an hour.
type Cost int64

// PrefixHash identifies the leading part of a prompt.
type PrefixHash uint64

// EventNumber identifies a kind of log line in docs/EVENTS.md.
type EventNumber int

// KeyHash is the SHA-256 of a caller's secret.
type KeyHash [sha256.Size]byte

// HashKey returns the hash of a caller's secret.
func HashKey(secret string) KeyHash { return sha256.Sum256([]byte(secret)) }

// String returns the hash in hexadecimal.
func (h KeyHash) String() string { return hex.EncodeToString(h[:]) }

// Clock tells the present time. Its readings include time spent suspended.
type Clock interface {
	Now() time.Time
}
