package settings

import (
	"errors"
	"fmt"
	"os"
	"slices"
	"time"

	"github.com/arbutuswinch/winch"
)

// Forwarding are the settings of a host that forwards requests on the users' platform.
type Forwarding struct {
	// Host identifies this entry host.
	Host winch.HostID
	// DataCentre is where this host stands.
	DataCentre winch.DataCentreID
	// DataCentres are all data centres of the system.
	DataCentres []winch.DataCentreID
	Caller      ForwardingCaller
	Peer        ForwardingPeer
	Store       ForwardingStore
	Duties      ForwardingDuties
	Bounds      ForwardingBounds
	Limits      ForwardingLimits
	Log         Log
}

// ForwardingCaller holds the ports that callers and the balancer use.
type ForwardingCaller struct {
	// Address is the IP number and port for requests, ReadyAddress that for readiness.
	Address      string
	ReadyAddress string
	// MetricsAddress serves metrics; empty stands for none.
	MetricsAddress string
}

// ForwardingPeer is the port that the other entry hosts use.
type ForwardingPeer struct {
	Address string
}

// ForwardingStore is the platform's metadata store.
type ForwardingStore struct {
	Address string
	// Timeout bounds one call.
	Timeout time.Duration
}

// ForwardingDuties are the singleton duties.
type ForwardingDuties struct {
	// Address takes the calls of the duties; empty stands for no duty.
	Address string
	// Kinds are the names of the duties that there are, as the platform gives them.
	Kinds []string
}

// ForwardingBounds are the times within which the platform expects things to happen.
type ForwardingBounds struct {
	// Apply is the time within which a configuration is in force.
	Apply time.Duration
	// Revoke is the time after which a withdrawn key admits no request. Zero stands for no limit.
	Revoke time.Duration
	// Grace is the time from the signal to stop to the end of the process.
	Grace time.Duration
	// Lease is the longest time of a lease of a duty.
	Lease time.Duration
	// RetryShare and RetryMinimum bound the repeats of all hosts together in RetryWindow.
	RetryShare   float64
	RetryMinimum int
	RetryWindow  time.Duration
	// UsageWindow is the length of a window of usage, UsageLate the time after which its report is late.
	UsageWindow time.Duration
	UsageLate   time.Duration
}

// ForwardingLimits bound what the process uses.
type ForwardingLimits struct {
	// Memory is the most memory of the process in bytes.
	Memory int64
}

// DefaultForwarding returns the settings that hold where the file names none.
func DefaultForwarding() Forwarding {
	return Forwarding{
		Store: ForwardingStore{Timeout: time.Second},
		Bounds: ForwardingBounds{
			Apply: 2 * time.Second, Grace: 8 * time.Second, Lease: 3 * time.Second, RetryShare: 0.2, RetryMinimum: 20,
			RetryWindow: 10 * time.Second, UsageWindow: 5 * time.Second, UsageLate: 10 * time.Second,
		},
		Log: Log{Level: "info", JSON: true},
	}
}

// LoadForwarding reads and checks the settings in the file.
func LoadForwarding(path string) (Forwarding, error) {
	content, err := os.ReadFile(path)
	if err != nil {
		return Forwarding{}, fmt.Errorf("read settings: %w", err)
	}
	loaded, err := ParseForwarding(content)
	if err != nil {
		return Forwarding{}, fmt.Errorf("settings in %s: %w", path, err)
	}
	return loaded, nil
}

// ParseForwarding decodes and checks settings. Errors match ErrInvalid and name the field.
func ParseForwarding(content []byte) (Forwarding, error) {
	parsed := DefaultForwarding()
	if err := decode(content, &parsed); err != nil {
		return Forwarding{}, err
	}
	if err := parsed.check(); err != nil {
		return Forwarding{}, err
	}
	return parsed, nil
}

// check returns all broken rules, joined.
func (f *Forwarding) check() error {
	problems := []error{
		checkAddress("Caller.Address", f.Caller.Address, true),
		checkAddress("Caller.ReadyAddress", f.Caller.ReadyAddress, true),
		checkAddress("Caller.MetricsAddress", f.Caller.MetricsAddress, false),
		checkAddress("Peer.Address", f.Peer.Address, true),
		checkAddress("Store.Address", f.Store.Address, true),
		checkAddress("Duties.Address", f.Duties.Address, len(f.Duties.Kinds) > 0),
	}
	if f.Host == "" {
		problems = append(problems, fieldError("Host", "is needed"))
	}
	if !slices.Contains(f.DataCentres, f.DataCentre) {
		problems = append(problems, fieldError("DataCentres", "must contain DataCentre"))
	}
	for _, duration := range []struct {
		field string
		value time.Duration
	}{
		{"Store.Timeout", f.Store.Timeout}, {"Bounds.Apply", f.Bounds.Apply}, {"Bounds.Grace", f.Bounds.Grace},
		{"Bounds.Lease", f.Bounds.Lease}, {"Bounds.RetryWindow", f.Bounds.RetryWindow}, {"Bounds.UsageLate", f.Bounds.UsageLate},
	} {
		if duration.value <= 0 {
			problems = append(problems, fieldError(duration.field, "must be positive"))
		}
	}
	if f.Bounds.Revoke < 0 {
		problems = append(problems, fieldError("Bounds.Revoke", "must not be negative"))
	}
	if f.Bounds.UsageWindow < time.Second || f.Bounds.UsageWindow%time.Second != 0 {
		problems = append(problems, fieldError("Bounds.UsageWindow", "must be whole seconds"))
	}
	if f.Bounds.RetryShare < 0 || f.Bounds.RetryMinimum < 0 {
		problems = append(problems, fieldError("Bounds.RetryShare", "and RetryMinimum must not be negative"))
	}
	return errors.Join(problems...)
}
