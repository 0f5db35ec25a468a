// Package settings reads and checks the settings of winchd, a JSON file with the
// names of the fields below in Pascal case.
//
// # Usage
//
//	loaded, err := settings.Load("winchd.json")
//	if errors.Is(err, settings.ErrInvalid) {
//		// The text names the field, such as "Release.FreshnessLimit: must be positive".
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

// ErrInvalid marks settings that break a rule.
var ErrInvalid = errors.New("invalid settings")

// Settings are all settings of one process.
type Settings struct {
	// Host identifies this entry host.
	Host winch.HostID
	// DataCentre is where this host stands.
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
	Log         Log
}

// Caller is the port that callers use.
type Caller struct {
	// Address is the IP number and port to listen on.
	Address string
	// BodyLimit is the largest body of a request in bytes.
	BodyLimit int64
	// HeaderLimit is the largest header of a request in bytes.
	HeaderLimit int
	// ReadTimeout bounds the reading of a request's header.
	ReadTimeout time.Duration
	// RequestTimeout is the deadline of requests that name none.
	RequestTimeout time.Duration
}

// Peer is the port that the other entry hosts use.
type Peer struct {
	// Address is the IP number and port to listen on.
	Address string
	// Advertise is the address that other hosts are told, when it is not Address.
	Advertise string
	// Source is the IP number from which other hosts are called; empty leaves it to the system.
	Source string
	// Secret authenticates the hosts to each other.
	Secret string
	// SecretFile names a file that holds the secret, in place of Secret.
	SecretFile string
}

// Operator is the port for operators, metrics and health.
type Operator struct {
	Address string
	// Secret authenticates operators.
	Secret string
	// SecretFile names a file that holds the secret, in place of Secret.
	SecretFile string
}

// Platform holds the addresses of the platform's services. An empty one stands for none.
type Platform struct {
	KeyValue string
	Orders   string
	Usage    string
	Hosts    string
	// Timeout bounds one call.
	Timeout time.Duration
}

// Endpoints are the settings of calls to endpoints.
type Endpoints struct {
	// Credential is sent to endpoints as bearer token.
	Credential string
	// DialTimeout bounds the connecting to an endpoint.
	DialTimeout time.Duration
}

// Dispatch are the settings of routing and queues.
type Dispatch struct {
	// Policy is Winch, or one of the simple policies Random, LeastReported and FirstCome.
	Policy string
	// Seed makes the choices repeatable; zero stands for a random seed.
	Seed uint64
	// ReportEvery is the time between two readings of an endpoint's load.
	ReportEvery time.Duration
}

// Release are the settings of configurations.
type Release struct {
	// FreshnessLimit is how old the evidence may be that a host's revision is the newest.
	FreshnessLimit time.Duration
	// IsolationGrace is how long a data centre that is cut off goes on honouring keys.
	IsolationGrace time.Duration
}

// Charge are the settings of leases.
type Charge struct {
	TTL        time.Duration
	RenewEvery time.Duration
	// InFlight is the longest time that an order may be on its way.
	InFlight time.Duration
}

// Usage are the settings of usage reports.
type Usage struct {
	Window time.Duration
	// Grace is the time from a window's end to its report.
	Grace time.Duration
	// Shards is the number of parts by which organisations are reported.
	Shards int
}

// Placement are the settings of endpoint orders.
type Placement struct {
	// Enabled lets this host order endpoints.
	Enabled bool
	// PlanEvery is the time between two plans.
	PlanEvery time.Duration
}

// Membership are the settings of the exchange between hosts.
type Membership struct {
	ExchangeEvery time.Duration
	DigestEvery   time.Duration
	// SuspectAfter is how long a host may be silent before it is believed dead.
	SuspectAfter time.Duration
	ForgetAfter  time.Duration
}

// Claims are the settings of idempotency keys.
type Claims struct {
	// Retention is how long the answer of a keyed request is kept.
	Retention time.Duration
}

// Shutdown are the settings of a planned stop.
type Shutdown struct {
	// ReadinessDelay is the time between reporting not ready and refusing connections.
	ReadinessDelay time.Duration
	// DrainTimeout bounds the finishing of open requests.
	DrainTimeout time.Duration
}

// Log are the settings of the log.
type Log struct {
	// Level is trace, debug, info, warn or error.
	Level string
	// JSON selects one JSON object for each line.
	JSON bool
	// File is written in place of standard error.
	File string
}

// Default returns the settings that hold where the file names none.
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

// decode reads JSON into the settings that result points to.
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
