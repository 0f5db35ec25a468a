package daemon

import (
	"fmt"

	"github.com/arbutuswinch/winch"
	"github.com/arbutuswinch/winch/charge/fenced"
	"github.com/arbutuswinch/winch/usage/billing"
	"github.com/arbutuswinch/winch/usage/peer"
)

// usageParts count and report what organisations used.
type usageParts struct {
	counters *peer.Counters
	reports  []part
}

func (d *Daemon) buildUsage() error {
	counters, err := peer.New(peer.Options{
		Store: d.store, Membership: d.membership.table, Incarnation: d.incarnation,
		Window: d.settings.Usage.Window, Shards: d.settings.Usage.Shards, StoreEvery: d.settings.Usage.Window / storesPerWindow,
		Clock: d.clock, Logger: d.logger, Meter: d.metrics.meter(),
	})
	if err != nil {
		return err
	}
	d.usage = &usageParts{counters: counters}
	if d.settings.Platform.Usage == "" {
		return nil
	}
	sender, err := fenced.New(fenced.Options{Clock: d.clock})
	if err != nil {
		return err
	}
	for shard := range winch.Shard(d.settings.Usage.Shards) {
		if err := d.addReporter(shard, sender); err != nil {
			return fmt.Errorf("shard %d: %w", shard, err)
		}
	}
	return nil
}

// storesPerWindow is how often a window's counters are written to the platform while it lasts.
const storesPerWindow = 4

func (d *Daemon) addReporter(shard winch.Shard, sender winch.FencedSender) error {
	holder, err := d.newHolder(billing.Duty(shard), "")
	if err != nil {
		return err
	}
	reporter, err := billing.New(billing.Options{
		Address: d.settings.Platform.Usage, Shard: shard, Host: d.settings.Host, Incarnation: d.incarnation,
		Charge: holder, Sender: sender, Store: d.store, Window: d.settings.Usage.Window,
		Grace: d.settings.Usage.Grace, Clock: d.clock, Logger: d.logger, Meter: d.metrics.meter(),
	})
	if err != nil {
		return err
	}
	d.usage.reports = append(d.usage.reports,
		part{fmt.Sprintf("usage lease %d", shard), holder.Run}, part{fmt.Sprintf("usage reports %d", shard), reporter.Run})
	return nil
}

func (u *usageParts) sections() []winch.Section { return []winch.Section{u.counters} }

func (u *usageParts) parts() []part {
	return append([]part{{"usage counters", u.counters.Run}}, u.reports...)
}
