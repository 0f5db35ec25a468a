package settings

import (
	"errors"
	"fmt"
	"net/netip"
	"os"
	"slices"
	"strings"
	"time"
)

const minSecretLength = 8

// fieldError returns the error for a field that does not satisfy the rule, such as
// "Caller.BodyLimit: must be positive".
func fieldError(field, rule string) error {
	return fmt.Errorf("%s: %s: %w", field, rule, ErrInvalid)
}

func (s *Settings) readSecrets() error {
	for _, secret := range []struct {
		field  string
		file   string
		secret *string
	}{
		{"Peer.SecretFile", s.Peer.SecretFile, &s.Peer.Secret},
		{"Operator.SecretFile", s.Operator.SecretFile, &s.Operator.Secret},
	} {
		if secret.file == "" {
			continue
		}
		content, err := os.ReadFile(secret.file)
		if err != nil {
			return fmt.Errorf("%s: %w: %w", secret.field, ErrInvalid, err)
		}
		*secret.secret = strings.TrimSpace(string(content))
	}
	return nil
}

// check returns all validation errors, joined.
func (s *Settings) check() error {
	return errors.Join(
		s.checkIdentity(),
		s.checkAddresses(),
		s.checkSecrets(),
		s.checkDurations(),
		s.checkLimits(),
		errors.Join(s.Limits.check()...),
		s.checkRelations(),
	)
}

func (s *Settings) checkIdentity() error {
	var problems []error
	if s.Host == "" {
		problems = append(problems, fieldError("Host", "is required"))
	}
	if s.DataCentre == "" {
		problems = append(problems, fieldError("DataCentre", "is required"))
	}
	if len(s.DataCentres) > 0 && !slices.Contains(s.DataCentres, s.DataCentre) {
		problems = append(problems, fieldError("DataCentres", "must contain DataCentre"))
	}
	return errors.Join(problems...)
}

func (s *Settings) checkAddresses() error {
	return errors.Join(
		checkAddress("Caller.Address", s.Caller.Address, true),
		checkAddress("Peer.Address", s.Peer.Address, true),
		checkAddress("Peer.Advertise", s.Peer.Advertise, false),
		checkSource(s.Peer.Source),
		checkAddress("Operator.Address", s.Operator.Address, true),
		checkAddress("Platform.KeyValue", s.Platform.KeyValue, true),
		checkAddress("Platform.Orders", s.Platform.Orders, false),
		checkAddress("Platform.Usage", s.Platform.Usage, false),
		checkAddress("Platform.Hosts", s.Platform.Hosts, false),
	)
}

func checkAddress(field, address string, required bool) error {
	if address == "" {
		if required {
			return fieldError(field, "is required")
		}
		return nil
	}
	if _, err := netip.ParseAddrPort(address); err != nil {
		return fieldError(field, "must be an IP address and a port")
	}
	return nil
}

func checkSource(source string) error {
	if source == "" {
		return nil
	}
	if _, err := netip.ParseAddr(source); err != nil {
		return fieldError("Peer.Source", "must be an IP address")
	}
	return nil
}

func (s *Settings) checkSecrets() error {
	var problems []error
	if len(s.Peer.Secret) < minSecretLength {
		problems = append(problems, fieldError("Peer.Secret", fmt.Sprintf("must have at least %d characters", minSecretLength)))
	}
	if len(s.Operator.Secret) < minSecretLength {
		problems = append(problems, fieldError("Operator.Secret", fmt.Sprintf("must have at least %d characters", minSecretLength)))
	}
	return errors.Join(problems...)
}

func (s *Settings) checkDurations() error {
	var problems []error
	for _, duration := range []struct {
		field string
		value time.Duration
	}{
		{"Caller.ReadTimeout", s.Caller.ReadTimeout},
		{"Caller.RequestTimeout", s.Caller.RequestTimeout},
		{"Platform.Timeout", s.Platform.Timeout},
		{"Endpoints.DialTimeout", s.Endpoints.DialTimeout},
		{"Dispatch.ReportEvery", s.Dispatch.ReportEvery},
		{"Release.FreshnessLimit", s.Release.FreshnessLimit},
		{"Release.IsolationGrace", s.Release.IsolationGrace},
		{"Charge.TTL", s.Charge.TTL},
		{"Charge.RenewEvery", s.Charge.RenewEvery},
		{"Charge.InFlight", s.Charge.InFlight},
		{"Usage.Window", s.Usage.Window},
		{"Usage.Grace", s.Usage.Grace},
		{"Placement.PlanEvery", s.Placement.PlanEvery},
		{"Membership.ExchangeEvery", s.Membership.ExchangeEvery},
		{"Membership.DigestEvery", s.Membership.DigestEvery},
		{"Membership.SuspectAfter", s.Membership.SuspectAfter},
		{"Membership.ForgetAfter", s.Membership.ForgetAfter},
		{"Claims.Retention", s.Claims.Retention},
		{"Shutdown.DrainTimeout", s.Shutdown.DrainTimeout},
	} {
		if duration.value <= 0 {
			problems = append(problems, fieldError(duration.field, "must be positive"))
		}
	}
	if s.Shutdown.ReadinessDelay < 0 {
		problems = append(problems, fieldError("Shutdown.ReadinessDelay", "must not be negative"))
	}
	return errors.Join(problems...)
}

func (s *Settings) checkLimits() error {
	var problems []error
	if s.Caller.BodyLimit <= 0 {
		problems = append(problems, fieldError("Caller.BodyLimit", "must be positive"))
	}
	if s.Caller.HeaderLimit <= 0 {
		problems = append(problems, fieldError("Caller.HeaderLimit", "must be positive"))
	}
	if s.Usage.Shards < 1 || s.Usage.Shards > 1024 {
		problems = append(problems, fieldError("Usage.Shards", "must be from 1 to 1024"))
	}
	if !slices.Contains([]string{"Winch", "Random", "LeastReported", "FirstCome"}, s.Dispatch.Policy) {
		problems = append(problems, fieldError("Dispatch.Policy", "must be Winch, Random, LeastReported or FirstCome"))
	}
	if !slices.Contains([]string{"trace", "debug", "info", "warn", "error"}, s.Log.Level) {
		problems = append(problems, fieldError("Log.Level", "must be trace, debug, info, warn or error"))
	}
	return errors.Join(problems...)
}

func (s *Settings) checkRelations() error {
	var problems []error
	if s.Charge.RenewEvery*2 > s.Charge.TTL {
		problems = append(problems, fieldError("Charge.RenewEvery", "must be at most half of Charge.TTL"))
	}
	if s.Release.IsolationGrace < s.Release.FreshnessLimit {
		problems = append(problems, fieldError("Release.IsolationGrace", "must be at least Release.FreshnessLimit"))
	}
	if s.Membership.SuspectAfter < 2*s.Membership.ExchangeEvery {
		problems = append(problems, fieldError("Membership.SuspectAfter", "must be at least twice Membership.ExchangeEvery"))
	}
	return errors.Join(problems...)
}
