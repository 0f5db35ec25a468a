package settings

import (
	"errors"
	"fmt"
	"os"
	"slices"
	"strconv"
	"time"

	"github.com/arbutuswinch/winch"
)

// Forwarding holds the settings of a host that forwards requests on the users' platform, whose
// protocols are implemented below the folder platform. The services of Settings.Platform have other
// protocols.
type Forwarding struct {
	// Host identifies this entry host.
	Host winch.HostID
	// DataCentre is the data centre of this host.
	DataCentre winch.DataCentreID
	// DataCentres are all data centres of the system.
	DataCentres []winch.DataCentreID
	Caller      ForwardingCaller
	Peer        ForwardingPeer
	Store       ForwardingStore
	Duties      ForwardingDuties
	Bounds      ForwardingBounds
	Limits      ForwardingLimits
	Quarantine  ForwardingQuarantine
	Dispatch    ForwardingDispatch
	Log         Log
}

// ForwardingCaller configures the ports for callers and the load balancer.
type ForwardingCaller struct {
	// Address is the IP address and port for requests.
	Address string
	// ReadyAddress is the IP address and port for readiness checks.
	ReadyAddress string
	// MetricsAddress is the IP address and port for metrics; empty disables them.
	MetricsAddress string
}

// ForwardingPeer configures the port for other entry hosts.
type ForwardingPeer struct {
	Address string
}

// ForwardingStore configures the access to the platform's metadata store.
type ForwardingStore struct {
	Address string
	// Timeout limits one call.
	Timeout time.Duration
}

// ForwardingDuties configures the duties that only one host at a time performs.
type ForwardingDuties struct {
	// Address is the IP address and port that receives the calls of the duties; empty means that there is no duty.
	Address string
	// Kinds are the platform's names of the duties to perform.
	Kinds []string
}

// ForwardingBounds holds the time limits and retry limits that the platform requires the hosts to
// keep. The process's own limits are ForwardingLimits.
type ForwardingBounds struct {
	// Apply is the time within which a new configuration must be applied.
	Apply time.Duration
	// Revoke is the time after which a withdrawn key must not admit requests. Zero means no limit.
	Revoke time.Duration
	// Evacuate is the time after which no request may reach an endpoint of an evacuated data centre. Zero means that there are no
	// evacuations: the hosts do not read which data centres are evacuated.
	Evacuate time.Duration
	// Grace is the time that the platform gives the process to end after the termination signal.
	Grace time.Duration
	// Lease is the maximum TTL of the lease of a duty.
	Lease time.Duration
	// RetryShare is the maximum ratio of retries to requests of all hosts together in RetryWindow.
	RetryShare float64
	// RetryMinimum is the number of retries of all hosts together in RetryWindow that are allowed
	// even if they exceed RetryShare.
	RetryMinimum int
	RetryWindow  time.Duration
	// UsageWindow is the length of a usage window.
	UsageWindow time.Duration
	// UsageLate is the time from the end of a window after which its report is late.
	UsageLate time.Duration
}

// ForwardingLimits limits the resources of the process.
type ForwardingLimits struct {
	// Memory is the maximum memory of the process in bytes. Zero means that only GOMEMLIMIT counts, if it is set.
	Memory int64
	// RequestMemory is the maximum memory in bytes that requests and connections hold together. Zero derives it from Memory.
	RequestMemory int64
	// Connections is the maximum number of open connections of the caller port. Zero derives it from RequestMemory and the
	// number of descriptors that the process may open.
	Connections int
	// Processors is the number of processors that the process may use, as a fraction. Hosts with more take on the duties for
	// all hosts. Zero means that it is not known.
	Processors float64
}

// ForwardingDispatch selects optional parts of the choice of endpoints. All are off by default.
type ForwardingDispatch struct {
	// EngineMemory limits the tokens of running requests where the configuration states the memory of the engines.
	EngineMemory bool
	// CachedPrompts estimates what endpoints hold of prompts. It needs EngineMemory, and excludes BeginWithinDeadline: together they serve fewer
	// long prompts in overload than each alone.
	CachedPrompts bool
	// BeginWithinDeadline begins a stream only where it is expected to end before its deadline.
	BeginWithinDeadline bool
}

// ForwardingQuarantine configures how parts of prompts that crash endpoints are held back.
type ForwardingQuarantine struct {
	// Disabled sends all requests, whatever their parts.
	Disabled bool
	// Exempt are parts that are never held back, in hexadecimal as in the log.
	Exempt []string
}

// DefaultForwarding returns the defaults for settings that the file does not contain.
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

// check returns all validation errors, joined.
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
		problems = append(problems, fieldError("Host", "is required"))
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
	if f.Bounds.Evacuate < 0 {
		problems = append(problems, fieldError("Bounds.Evacuate", "must not be negative"))
	}
	if f.Bounds.UsageWindow < time.Second || f.Bounds.UsageWindow%time.Second != 0 {
		problems = append(problems, fieldError("Bounds.UsageWindow", "must be a positive number of whole seconds"))
	}
	problems = append(problems, f.Limits.check()...)
	if f.Bounds.RetryShare < 0 || f.Bounds.RetryMinimum < 0 {
		problems = append(problems, fieldError("Bounds.RetryShare", "must not be negative; the same holds for Bounds.RetryMinimum"))
	}
	if f.Dispatch.CachedPrompts && !f.Dispatch.EngineMemory {
		problems = append(problems, fieldError("Dispatch.CachedPrompts", "needs Dispatch.EngineMemory"))
	}
	if f.Dispatch.CachedPrompts && f.Dispatch.BeginWithinDeadline {
		problems = append(problems, fieldError("Dispatch.CachedPrompts", "excludes Dispatch.BeginWithinDeadline"))
	}
	return errors.Join(append(problems, f.Quarantine.check()...)...)
}

func (l *ForwardingLimits) check() []error {
	problems := Limits{Memory: l.Memory, RequestMemory: l.RequestMemory, Connections: l.Connections}.check()
	if l.Processors < 0 {
		problems = append(problems, fieldError("Limits.Processors", "must not be negative"))
	}
	return problems
}

func (q *ForwardingQuarantine) check() []error {
	var problems []error
	for i, part := range q.Exempt {
		if _, err := strconv.ParseUint(part, 16, 64); err != nil {
			problems = append(problems, fieldError(fmt.Sprintf("Quarantine.Exempt[%d]", i), "must be a hexadecimal number of at most 64 bits"))
		}
	}
	return problems
}
