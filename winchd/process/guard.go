package process

import (
	"context"
	"fmt"
	"math"
	"runtime/debug"
	"time"

	"github.com/hashicorp/go-hclog"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"
	"golang.org/x/sys/unix"

	"github.com/arbutuswinch/winch/internal/connlimit"
	"github.com/arbutuswinch/winch/internal/memory"
)

const (
	// reservedDescriptors is the number of file descriptors that are reserved for files and the process itself.
	reservedDescriptors = 200
	// callerDescriptorShare is the share in percent of the other descriptors that connections of callers may use. The rest is for
	// connections to endpoints and other hosts.
	callerDescriptorShare = 60
	// readyConnections is the maximum number of connections of the port for readiness checks.
	readyConnections = 64
	// callerBudgetDivisor gives the part of the budget that connections of callers may hold: a half, so that their requests find
	// memory too.
	callerBudgetDivisor = 2
	// memoryReportEvery is the interval at which Run checks for refusals.
	memoryReportEvery = time.Second
	// memoryCalmAfter is the time without a refusal after which Run reports that memory is no longer scarce.
	memoryCalmAfter = 10 * time.Second
)

// GuardLimits are the limits of the whole process. Zero means the default.
type GuardLimits struct {
	// Memory is the maximum memory of the process in bytes. By default, only the Go runtime's own soft limit counts, if it has one.
	Memory int64
	// RequestMemory is the size of the budget in bytes. By default, it is derived from the soft memory limit.
	RequestMemory int64
	// Connections is the maximum number of connections of callers. By default, it is derived from the budget and the descriptors.
	Connections int
}

// Guard bounds the memory that requests and connections hold in the whole process.
type Guard struct {
	limits GuardLimits
	// limited is set if the size of the budget is set or derived from a memory limit, and is not memory.DefaultBudget.
	limited bool
	budget  *memory.Budget
	logger  hclog.Logger
	meter   metric.Meter
}

// NewGuard returns a guard. If limits.Memory is set, it also sets the soft memory limit of the Go runtime; otherwise the one that the
// runtime already has counts.
func NewGuard(limits GuardLimits, logger hclog.Logger, meter metric.Meter) (*Guard, error) {
	soft := memory.SoftLimit(limits.Memory)
	if soft > 0 {
		debug.SetMemoryLimit(soft)
	} else {
		soft = runtimeLimit()
	}
	size := limits.RequestMemory
	if size == 0 {
		size = memory.BudgetSize(soft)
	}
	g := &Guard{
		limits: limits, limited: soft > 0 || limits.RequestMemory > 0, budget: memory.NewBudget(size), logger: logger, meter: meter,
	}
	return g, g.export()
}

// runtimeLimit returns the soft memory limit in bytes that the Go runtime already has, such as that of GOMEMLIMIT. Zero means none.
func runtimeLimit() int64 {
	limit := debug.SetMemoryLimit(-1)
	if limit == math.MaxInt64 {
		return 0
	}
	return limit
}

// Budget returns the memory that requests and connections may hold together.
func (g *Guard) Budget() *memory.Budget { return g.budget }

// Callers returns the limiter of the port for callers.
func (g *Guard) Callers() (*connlimit.Limiter, error) {
	return connlimit.New(connlimit.Options{
		Port: "caller", Budget: g.budget, Max: callerConnections(g.limits.Connections, g.budget.Usage().Size, descriptorLimit()), Logger: g.logger, Meter: g.meter,
	})
}

// Ready returns the limiter of the port for readiness checks.
func (g *Guard) Ready() (*connlimit.Limiter, error) { return g.Internal("ready", readyConnections) }

// Internal returns the limiter of a port that is not exposed to callers, for at most limit connections.
func (g *Guard) Internal(port string, limit int) (*connlimit.Limiter, error) {
	return connlimit.New(connlimit.Options{Port: port, Budget: g.budget, Rank: memory.RankEssential, Max: limit, Logger: g.logger, Meter: g.meter})
}

// InternalShare is Internal with connections that use at most share percent of the descriptors, and of the budget unless that is
// memory.DefaultBudget.
func (g *Guard) InternalShare(port string, limit, share int) (*connlimit.Limiter, error) {
	return g.Internal(port, g.shareConnections(limit, share, descriptorLimit()))
}

// shareConnections returns the limit reduced to the share in percent of the descriptors and, if the budget is limited, of the budget.
func (g *Guard) shareConnections(limit, share int, descriptors uint64) int {
	limit = min(limit, usableDescriptors(descriptors, share))
	if g.limited {
		limit = min(limit, int(g.budget.Usage().Size/100*int64(share)/connlimit.ConnectionCost))
	}
	return limit
}

// callerConnections returns the maximum number of connections of callers. configured is the number in the settings, or zero, and budget
// is in bytes.
func callerConnections(configured int, budget int64, descriptors uint64) int {
	usable := usableDescriptors(descriptors, callerDescriptorShare)
	if configured > 0 {
		return min(configured, usable)
	}
	return min(usable, int(budget/callerBudgetDivisor/connlimit.ConnectionCost))
}

// usableDescriptors returns the share in percent of the descriptors that are not reserved, and at least one.
func usableDescriptors(descriptors uint64, share int) int {
	if descriptors >= math.MaxInt32 {
		return math.MaxInt
	}
	return max(1, (int(descriptors)-reservedDescriptors)*share/100)
}

// descriptorLimit returns the number of descriptors that the process may open, or the maximum if it is not known.
func descriptorLimit() uint64 {
	limit := unix.Rlimit{}
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &limit); err != nil {
		return math.MaxUint64
	}
	return limit.Cur
}

// export registers the metrics of the budget.
func (g *Guard) export() error {
	held, err := g.meter.Int64ObservableGauge("winch_memory_budget", metric.WithUnit("By"),
		metric.WithDescription("Bytes that requests and connections hold (state used) and may hold (state size)."))
	if err != nil {
		return fmt.Errorf("create gauge of the memory budget: %w", err)
	}
	refused, err := g.meter.Int64ObservableCounter("winch_memory_refused", metric.WithDescription("Refusals of the memory budget by cause."))
	if err != nil {
		return fmt.Errorf("create counter of the memory budget: %w", err)
	}
	_, err = g.meter.RegisterCallback(func(_ context.Context, observer metric.Observer) error {
		usage := g.budget.Usage()
		for state, value := range map[string]int64{"used": usage.Used, "size": usage.Size} {
			observer.ObserveInt64(held, value, metric.WithAttributes(attribute.String("state", state)))
		}
		for cause, count := range map[string]int64{"full": usage.Refused.Full, "client": usage.Refused.Client, "organisation": usage.Refused.Organisation} {
			observer.ObserveInt64(refused, count, metric.WithAttributes(attribute.String("cause", cause)))
		}
		return nil
	}, held, refused)
	if err != nil {
		return fmt.Errorf("register metrics of the memory budget: %w", err)
	}
	return nil
}

// Run logs when memory becomes scarce and when it no longer is, until ctx is done.
func (g *Guard) Run(ctx context.Context) error {
	ticker := time.NewTicker(memoryReportEvery)
	defer ticker.Stop()
	report := memoryReport{logger: g.logger}
	for {
		select {
		case <-ctx.Done():
			return nil
		case now := <-ticker.C:
			report.report(now, g.budget.Usage())
		}
	}
}

// memoryReport logs changes of the state of the budget.
type memoryReport struct {
	logger hclog.Logger
	// refused are the counts at the last report, refusedBefore those before memory became scarce.
	refused, refusedBefore memory.RefusalCounts
	// lastAt is when bytes were last refused while memory is scarce; zero if it is not.
	lastAt time.Time
}

func (r *memoryReport) report(now time.Time, usage memory.Usage) {
	changed := usage.Refused != r.refused
	switch {
	case changed && r.lastAt.IsZero():
		r.refusedBefore = r.refused
		r.log(r.logger.Warn, "memory for requests is scarce", EventMemoryScarce, usage)
	case !changed && !r.lastAt.IsZero() && now.Sub(r.lastAt) >= memoryCalmAfter:
		r.log(r.logger.Info, "memory for requests is no longer scarce", EventMemoryCalm, usage)
		r.lastAt = time.Time{}
	}
	if changed {
		r.lastAt = now
	}
	r.refused = usage.Refused
}

func (r *memoryReport) log(write func(string, ...any), message string, event any, usage memory.Usage) {
	write(message, "Event", event, "Used", usage.Used, "Size", usage.Size, "Full", usage.Refused.Full-r.refusedBefore.Full,
		"Client", usage.Refused.Client-r.refusedBefore.Client, "Organisation", usage.Refused.Organisation-r.refusedBefore.Organisation)
}
