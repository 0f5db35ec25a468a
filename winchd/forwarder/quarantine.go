package forwarder

import (
	"fmt"

	"github.com/arbutuswinch/winch/platform/runner"
	quarantine "github.com/arbutuswinch/winch/quarantine/peer"
	"github.com/arbutuswinch/winch/winchd/settings"
)

func (f *Forwarder) buildQuarantine() error {
	built, err := quarantine.New(quarantine.Options{
		Membership: f.table, Endpoints: f.endpoints, Prober: f.tunnels, Starts: runner.New(f.exchanger), Clock: f.clock, Logger: f.logger, Meter: f.metrics.Meter(),
	})
	if err != nil {
		return err
	}
	f.quarantine = built
	return f.applyQuarantine(f.settings.Quarantine)
}

// applyQuarantine sets the policy of the quarantine. The error matches winch.ErrInvalid and names the field.
func (f *Forwarder) applyQuarantine(loaded settings.ForwardingQuarantine) error {
	policy, err := quarantinePolicy(loaded)
	if err != nil {
		return err
	}
	f.quarantine.SetPolicy(policy)
	return nil
}

// quarantinePolicy decodes the settings of the quarantine.
func quarantinePolicy(loaded settings.ForwardingQuarantine) (quarantine.Policy, error) {
	policy := quarantine.Policy{Disabled: loaded.Disabled}
	for i, text := range loaded.Exempt {
		part, err := quarantine.ParsePart(text)
		if err != nil {
			return quarantine.Policy{}, fmt.Errorf("Quarantine.Exempt[%d]: %w", i, err)
		}
		policy.Exempt = append(policy.Exempt, part)
	}
	return policy, nil
}
