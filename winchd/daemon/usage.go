package daemon

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/arbutuswinch/winch"
	"github.com/arbutuswinch/winch/httpjson"
	"github.com/arbutuswinch/winch/lease/fenced"
	"github.com/arbutuswinch/winch/usage/billing"
	"github.com/arbutuswinch/winch/usage/keyvalue"
	"github.com/arbutuswinch/winch/usage/peer"
	"github.com/arbutuswinch/winch/winchd/process"
)

// usageComponents counts and reports the usage of organisations.
type usageComponents struct {
	counters *peer.Counters
	sealed   *peer.SealedWindows
	// reportTasks are the tasks of the reporters and of their leases.
	reportTasks []process.Task
}

func (d *Daemon) buildUsage() error {
	counters, err := peer.New(peer.Options{
		Store: d.store, Membership: d.membership.table, Incarnation: d.incarnation,
		Window: d.settings.Usage.Window, Shards: d.settings.Usage.Shards, StoreEvery: d.settings.Usage.Window / storesPerWindow,
		Clock: d.clock, Logger: d.logger, Meter: d.metrics.Meter(),
	})
	if err != nil {
		return err
	}
	d.usage = &usageComponents{counters: counters, sealed: peer.NewSealedWindows(d.settings.Host)}
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

// storesPerWindow is the number of times that counters are stored during their window.
const storesPerWindow = 4

func (d *Daemon) addReporter(shard winch.Shard, sender winch.FencedSender) error {
	holder, err := d.newHolder(billing.Duty(shard), "")
	if err != nil {
		return err
	}
	reporter, err := billing.New(billing.Options{
		Protocol: billing.NativeProtocol{Address: d.settings.Platform.Usage}, Shard: shard, Host: d.settings.Host, Incarnation: d.incarnation,
		Lease: holder, Sender: sender, Store: d.store, Window: d.settings.Usage.Window,
		Grace: d.settings.Usage.Grace, Sealed: d.usage.sealed, Clock: d.clock, Logger: d.logger, Meter: d.metrics.Meter(),
	})
	if err != nil {
		return err
	}
	d.usage.reportTasks = append(d.usage.reportTasks,
		process.Task{Name: fmt.Sprintf("usage lease %d", shard), Run: holder.Run}, process.Task{Name: fmt.Sprintf("usage reports %d", shard), Run: reporter.Run})
	return nil
}

func (u *usageComponents) sections() []winch.Section { return []winch.Section{u.counters, u.sealed} }

func (u *usageComponents) tasks() []process.Task {
	return append([]process.Task{{Name: "usage counters", Run: u.counters.Run}}, u.reportTasks...)
}

type figureWire struct {
	Shard        int
	Window       string
	Reported     bool
	Organisation string
	Requests     int64
	InputTokens  int64
	OutputTokens int64
	Adjustment   bool
}

type usageWire struct {
	Figures []figureWire
}

// serveUsage responds with the usage of each shard in its newest window whose counts are final
// (sealed).
func (d *Daemon) serveUsage(w http.ResponseWriter, r *http.Request) {
	response := usageWire{}
	for shard := range winch.Shard(d.settings.Usage.Shards) {
		figures, err := d.lastFigures(r.Context(), shard)
		if err != nil {
			httpjson.WriteError(w, err)
			return
		}
		response.Figures = append(response.Figures, figures...)
	}
	httpjson.Write(w, http.StatusOK, response)
}

func (d *Daemon) lastFigures(ctx context.Context, shard winch.Shard) ([]figureWire, error) {
	entry, err := d.store.Get(ctx, keyvalue.HeadKey(shard))
	if errors.Is(err, winch.ErrNotFound) {
		return nil, nil
	}
	if err != nil {
		return nil, fmt.Errorf("read usage of shard %d: %w", shard, err)
	}
	head, err := keyvalue.DecodeHead(entry.Value)
	if err != nil || head.LastSeal == "" {
		return nil, err
	}
	sealed, err := d.store.Get(ctx, keyvalue.SealKey(shard, head.Last, head.LastSeal))
	if err != nil {
		return nil, fmt.Errorf("read seal of shard %d: %w", shard, err)
	}
	seal, err := keyvalue.DecodeSeal(sealed.Value)
	if err != nil {
		return nil, err
	}
	figures := []figureWire{}
	for _, figure := range seal.Figures {
		figures = append(figures, figureWire{
			Shard: int(shard), Window: head.Last.Start().Format(time.RFC3339), Reported: head.Reported >= head.Last,
			Organisation: string(figure.Organisation), Requests: figure.Counts.Requests,
			InputTokens: int64(figure.Counts.InputTokens), OutputTokens: int64(figure.Counts.OutputTokens), Adjustment: figure.Adjustment,
		})
	}
	return figures, nil
}
