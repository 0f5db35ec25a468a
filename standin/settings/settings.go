// Package settings reads the settings file of the stand-ins. A part whose section is absent
// is not started.
//
// # Usage
//
//	loaded, err := settings.Load("standin.json")
//
// Unknown fields are errors. Addresses are IP addresses with ports; port 0 selects a free
// port, which the program prints once it is ready.
package settings

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/netip"
	"os"

	"github.com/arbutuswinch/winch/standin/wire"
)

// ErrInvalid is wrapped by the errors of invalid settings, whose text names the field.
var ErrInvalid = errors.New("invalid setting")

// Settings is the content of the settings file.
type Settings struct {
	// Seed is the seed of the random jitter of engine steps and of the gaps in cache events.
	Seed     uint64
	KeyValue *KeyValue
	Orders   *Orders
	Usage    *Usage
	Hosts    *Hosts
	Weights  *Weights
	Control  *Control
	Engines  []Engine
	Services []Service
}

// KeyValue configures the key-value service. Zero rates stand for 2000 reads and 400 writes
// per second.
type KeyValue struct {
	Address         string
	ReadsPerSecond  int
	WritesPerSecond int
}

// Orders configures the interface by which endpoints are ordered.
type Orders struct {
	Address     string
	DataCentres []DataCentre
	// StartDelay is the time until an ordered endpoint is ready, StopNotice the notice given
	// to a surplus one.
	StartDelay wire.Duration
	StopNotice wire.Duration
	// EngineHost is the IP address at which ordered engines listen; 127.0.0.1 when empty.
	EngineHost string
	// Engine is the template of ordered engines; its ID, DataCentre, Address and Models are ignored.
	Engine Engine
}

// DataCentre configures the order interface of one data centre.
type DataCentre struct {
	ID string
	// ChecksFencing is about orders for pools; Engine.ChecksFencing is about the orders that an
	// engine receives.
	ChecksFencing bool
}

// Usage configures the interface that receives usage reports.
type Usage struct{ Address string }

// Hosts configures the host list.
type Hosts struct {
	Address string
	Lag     wire.Duration
	Hosts   []Host
}

// Host is a host on which winchd runs.
type Host struct {
	ID          string
	DataCentre  string
	PeerAddress string
	State       string
}

// Weights configures the weight store.
type Weights struct {
	Address   string
	PerSecond float64
	Burst     int
	Transfer  wire.Duration
}

// Control configures the control API, by which faults are injected and the state is read.
type Control struct{ Address string }

// Model identifies weights that an engine has loaded at the start.
type Model struct {
	Model   string
	Adapter string
	Version string
}

// Engine configures a model engine. Zero numbers stand for the defaults of package engine.
type Engine struct {
	ID         string
	DataCentre string
	Address    string
	// Supply is "Steady" or "Cheap".
	Supply                 string
	Models                 []Model
	BatchLimit             int
	WaitLimit              int
	StepBase               wire.Duration
	StepPerSequence        wire.Duration
	PrefillTokensPerSecond int
	ChunkTokens            int
	CacheTokens            int
	ReportLag              wire.Duration
	EventLag               wire.Duration
	EventGap               float64
	ChecksFencing          bool
	Preempts               bool
}

// Service configures a plain service. Zero numbers stand for the defaults of package service.
type Service struct {
	ID          string
	DataCentre  string
	Address     string
	Supply      string
	Time        wire.Duration
	Slots       int
	RecordLimit int
	ReportLag   wire.Duration
	// ColdPerSecond is how many requests a second the service survives while it is cold; zero if it is never cold. It is cold
	// for ColdTime after a start, and starts again RestartTime after a crash.
	ColdPerSecond int
	ColdTime      wire.Duration
	RestartTime   wire.Duration
}

// Load reads and validates the file.
func Load(path string) (Settings, error) {
	file, err := os.Open(path)
	if err != nil {
		return Settings{}, fmt.Errorf("open settings: %w", err)
	}
	defer file.Close()
	decoder := json.NewDecoder(file)
	decoder.DisallowUnknownFields()
	loaded := Settings{}
	if err := decoder.Decode(&loaded); err != nil {
		return Settings{}, fmt.Errorf("decode settings: %w: %w", ErrInvalid, err)
	}
	return loaded, loaded.Check()
}

// Check returns an error that names an invalid field, or nil when there is none.
func (s Settings) Check() error {
	if err := s.checkAddresses(); err != nil {
		return err
	}
	seen := map[string]bool{}
	for i, e := range s.Engines {
		if err := checkEndpoint(fmt.Sprintf("Engines[%d]", i), e.ID, e.DataCentre, e.Address, e.Supply, seen); err != nil {
			return err
		}
	}
	for i, e := range s.Services {
		if err := checkEndpoint(fmt.Sprintf("Services[%d]", i), e.ID, e.DataCentre, e.Address, e.Supply, seen); err != nil {
			return err
		}
	}
	return nil
}

func (s Settings) checkAddresses() error {
	named := map[string]string{}
	if s.KeyValue != nil {
		named["KeyValue.Address"] = s.KeyValue.Address
	}
	if s.Orders != nil {
		named["Orders.Address"] = s.Orders.Address
	}
	if s.Usage != nil {
		named["Usage.Address"] = s.Usage.Address
	}
	if s.Hosts != nil {
		named["Hosts.Address"] = s.Hosts.Address
	}
	if s.Weights != nil {
		named["Weights.Address"] = s.Weights.Address
	}
	if s.Control != nil {
		named["Control.Address"] = s.Control.Address
	}
	for field, address := range named {
		if err := checkAddress(field, address); err != nil {
			return err
		}
	}
	return nil
}

func checkAddress(field, address string) error {
	if _, err := netip.ParseAddrPort(address); err != nil {
		return fmt.Errorf("%s: %w: %w", field, ErrInvalid, err)
	}
	return nil
}

func checkEndpoint(field, id, centre, address, supply string, seen map[string]bool) error {
	switch {
	case id == "" || seen[id]:
		return fmt.Errorf("%s.ID: %w: missing or duplicate", field, ErrInvalid)
	case centre == "":
		return fmt.Errorf("%s.DataCentre: %w: missing", field, ErrInvalid)
	case supply != "" && supply != "Steady" && supply != "Cheap":
		return fmt.Errorf("%s.Supply: %w: %q", field, ErrInvalid, supply)
	}
	seen[id] = true
	return checkAddress(field+".Address", address)
}
