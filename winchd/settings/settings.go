// Package settings loads and validates the settings of winchd. They are a JSON file
// whose keys are the names of the fields below.
//
// # Usage
//
//	loaded, err := settings.Load("winchd.json")
//	if errors.Is(err, settings.ErrInvalid) {
//		// The error names the field, such as "Release.FreshnessLimit: must be positive".
//	}
//
// Durations are strings such as "1.5s". Unknown fields are errors.
package settings

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"time"

	"github.com/go-viper/mapstructure/v2"

	"github.com/arbutuswinch/winch"
)

// ErrInvalid is matched by all errors about invalid settings.
var ErrInvalid = errors.New("invalid settings")

// Settings holds all settings of the daemon.
type Settings struct {
	// Host identifies this entry host.
	Host winch.HostID
	// DataCentre is the data centre of this host.
	DataCentre winch.DataCentreID
	// DataCentres are all data centres of the system.
	DataCentres []winch.DataCentreID
	Caller      Caller
	Peer        Peer
	Operator    Operator
	Platform    Platform
	Endpoints   Endpoints
	Dispatch    Dispatch
	Release     Release
	Charge      Charge
	Usage       Usage
	Placement   Placement
	Membership  Membership
	Claims      Claims
	Shutdown    Shutdown
	Limits      Limits
	Log         Log
}

// Caller configures the port for callers.
type Caller struct {
	// Address is the IP address and port to listen on.
	Address string
	// BodyLimit is the maximum size of a request body in bytes.
	BodyLimit int64
	// HeaderLimit is the maximum size of a request header in bytes.
	HeaderLimit int
	// ReadTimeout limits the time to read a request header.
	ReadTimeout time.Duration
	// RequestTimeout is the timeout of requests that do not set one.
	RequestTimeout time.Duration
}

// Peer configures the port for other entry hosts.
type Peer struct {
	// Address is the IP address and port to listen on.
	Address string
	// Advertise is the address that other hosts use, if it differs from Address.
	Advertise string
	// Source is the local IP address for calls to other hosts; empty lets the kernel choose.
	Source string
	// Secret authenticates the hosts to each other.
	Secret string
	// SecretFile is the path of a file with the secret. It replaces Secret.
	SecretFile string
}

// Operator configures the port for operators, metrics and health checks.
type Operator struct {
	Address string
	// Secret authenticates operators.
	Secret string
	// SecretFile is the path of a file with the secret. It replaces Secret.
	SecretFile string
}

// Platform holds the addresses of the platform's services. KeyValue is required. For the others,
// an empty address means that the service does not exist.
type Platform struct {
	KeyValue string
	Orders   string
	Usage    string
	Hosts    string
	// Timeout limits one call.
	Timeout time.Duration
}

// Endpoints configures calls to endpoints.
type Endpoints struct {
	// Credential is sent to endpoints as a bearer token.
	Credential string
	// DialTimeout limits the time to connect to an endpoint.
	DialTimeout time.Duration
}

// Dispatch configures routing and queues.
type Dispatch struct {
	// Policy is Winch, or one of the simpler policies Random, LeastReported and FirstCome.
	Policy string
	// Seed makes random choices reproducible; zero means a random seed.
	Seed uint64
	// ReportEvery is the interval at which the load of an endpoint is read.
	ReportEvery time.Duration
}

// Release configures the distribution of configurations.
type Release struct {
	// FreshnessLimit is how long a host accepts keys after its revision was last confirmed to be
	// the newest. After that, only the isolation grace allows keys. It must be the same on all hosts.
	FreshnessLimit time.Duration
	// IsolationGrace is how much longer than FreshnessLimit the hosts of an isolated data centre
	// continue to accept keys. It must be the same on all hosts.
	IsolationGrace time.Duration
}

// Charge configures the leases by which one host at a time performs a duty.
type Charge struct {
	// TTL is the time for which a lease must not have been renewed before another host may
	// acquire it.
	TTL time.Duration
	// RenewEvery is the interval between renewals.
	RenewEvery time.Duration
	// InFlight is the longest time that an order may be in flight.
	InFlight time.Duration
}

// Usage configures usage reports.
type Usage struct {
	Window time.Duration
	// Grace is the time from the end of a window to its report.
	Grace time.Duration
	// Shards is the number of partitions of the organisations, each of which has its own reports.
	Shards int
}

// Placement configures the ordering of endpoints.
type Placement struct {
	// Enabled allows this host to order endpoints.
	Enabled bool
	// PlanEvery is the planning interval.
	PlanEvery time.Duration
}

// Membership configures the exchange between hosts.
type Membership struct {
	// ExchangeEvery is the interval at which a host exchanges its state with the hub of its data
	// centre.
	ExchangeEvery time.Duration
	// DigestEvery is the interval at which hubs of different data centres send each other digests.
	DigestEvery time.Duration
	// SuspectAfter is the time without a message after which a host is considered dead.
	SuspectAfter time.Duration
	// ForgetAfter is the time without a message after which a host that is not in the host list
	// is removed.
	ForgetAfter time.Duration
}

// Claims configures the handling of idempotency keys.
type Claims struct {
	// Retention is how long the response to a request with an idempotency key is stored.
	Retention time.Duration
}

// Shutdown configures the graceful shutdown.
type Shutdown struct {
	// ReadinessDelay is the time between reporting not ready and refusing new requests.
	ReadinessDelay time.Duration
	// DrainTimeout limits the time to finish open requests.
	DrainTimeout time.Duration
}

// Log configures the log.
type Log struct {
	// Level is trace, debug, info, warn or error.
	Level string
	// JSON selects JSON lines as log format.
	JSON bool
	// File is the log file; empty means standard error. Only the command winchd run uses it;
	// winchd forward logs to standard output.
	File string
}

// Default returns the defaults for settings that the file does not contain.
func Default() Settings {
	return Settings{
		Caller:     Caller{BodyLimit: 4 << 20, HeaderLimit: 32 << 10, ReadTimeout: 10 * time.Second, RequestTimeout: 10 * time.Minute},
		Platform:   Platform{Timeout: 2 * time.Second},
		Endpoints:  Endpoints{DialTimeout: time.Second},
		Dispatch:   Dispatch{Policy: "Winch", ReportEvery: 500 * time.Millisecond},
		Release:    Release{FreshnessLimit: 6 * time.Second, IsolationGrace: 5 * time.Minute},
		Charge:     Charge{TTL: 6 * time.Second, RenewEvery: 2 * time.Second, InFlight: 2 * time.Second},
		Usage:      Usage{Window: time.Minute, Grace: 10 * time.Second, Shards: 4},
		Placement:  Placement{Enabled: true, PlanEvery: time.Second},
		Membership: Membership{ExchangeEvery: 500 * time.Millisecond, DigestEvery: time.Second, SuspectAfter: 2 * time.Second, ForgetAfter: 10 * time.Minute},
		Claims:     Claims{Retention: time.Hour},
		Shutdown:   Shutdown{ReadinessDelay: 2 * time.Second, DrainTimeout: time.Minute},
		Log:        Log{Level: "info", JSON: true},
	}
}

// Load reads and checks the settings in the file.
func Load(path string) (Settings, error) {
	content, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, fmt.Errorf("read settings: %w", err)
	}
	loaded, err := Parse(content)
	if err != nil {
		return Settings{}, fmt.Errorf("settings in %s: %w", path, err)
	}
	return loaded, nil
}

// Parse decodes and checks settings. Errors match ErrInvalid and name the field.
func Parse(content []byte) (Settings, error) {
	parsed := Default()
	if err := decode(content, &parsed); err != nil {
		return Settings{}, err
	}
	if err := parsed.readSecrets(); err != nil {
		return Settings{}, err
	}
	if err := parsed.check(); err != nil {
		return Settings{}, err
	}
	return parsed, nil
}

// decode decodes JSON into the settings that result points to.
func decode(content []byte, result any) error {
	raw := map[string]any{}
	if err := json.Unmarshal(content, &raw); err != nil {
		return fmt.Errorf("%w: %w", ErrInvalid, err)
	}
	decoder, err := mapstructure.NewDecoder(&mapstructure.DecoderConfig{
		Result:      result,
		ErrorUnused: true,
		DecodeHook:  mapstructure.StringToTimeDurationHookFunc(),
		MatchName:   func(key, field string) bool { return key == field },
	})
	if err != nil {
		return fmt.Errorf("create decoder: %w", err)
	}
	if err := decoder.Decode(raw); err != nil {
		return fmt.Errorf("%w: %w", ErrInvalid, err)
	}
	return nil
}
