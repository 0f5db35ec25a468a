package caller

import (
	"fmt"
	"time"

	"github.com/hashicorp/go-hclog"
	"go.opentelemetry.io/otel/metric"

	"github.com/arbutuswinch/winch"
	"github.com/arbutuswinch/winch/internal/memory"
)

const (
	defaultRequestBodyLimit   = 4 << 20
	defaultResponseBodyLimit  = 8 << 20
	defaultTimeout            = 5 * time.Minute
	defaultMaxTimeout         = 30 * time.Minute
	defaultReadTimeout        = 30 * time.Second
	defaultWriteTimeout       = 30 * time.Second
	defaultReadinessDelay     = 3 * time.Second
	defaultStallFactor        = 20
	defaultMinStallTimeout    = 2 * time.Second
	defaultStallTimeout       = 30 * time.Second
	defaultUnverifiedKeyGrace = time.Second
	defaultHistory            = 4096
)

// Limits holds size and time limits of requests. A zero field is replaced by its default.
type Limits struct {
	// RequestBody is the maximum size of a request body, and ResponseBody that of a response body that an
	// endpoint does not stream, in bytes.
	RequestBody  int64
	ResponseBody int64
	// Timeout applies to requests without the header X-Request-Timeout. MaxTimeout caps the
	// value of that header.
	Timeout    time.Duration
	MaxTimeout time.Duration
	// ReadTimeout bounds reading a request body. WriteTimeout bounds how long a write to a
	// stream may block because the caller does not read.
	ReadTimeout  time.Duration
	WriteTimeout time.Duration
	// ReadinessDelay is how long requests are still accepted after a shutdown has begun, so
	// that the load balancer can notice it.
	ReadinessDelay time.Duration
	// StallFactor is how many times the class's target an engine may be silent before it counts
	// as stalled and the request moves to another endpoint. The target is FirstTokenTarget
	// before the first token and InterTokenTarget after it. MinStallTimeout is the minimum of the
	// resulting timeout.
	StallFactor     int
	MinStallTimeout time.Duration
	// DefaultStallTimeout is the timeout for classes without the target.
	DefaultStallTimeout time.Duration
	// UnverifiedKeyGrace is how long requests that run on an endpoint continue while their API key
	// cannot be verified. A withdrawn key may stay in use for this long, so the release margin
	// of the host must include it.
	UnverifiedKeyGrace time.Duration
	// History is the number of finished requests that Explain can find.
	History int
}

// Options holds the dependencies and limits of a server. If Claims is nil, calls with an
// idempotency key on non-idempotent routes are refused. Peers may be nil if the dispatcher
// never returns an endpoint of kind EndpointPeer.
type Options struct {
	Configurations winch.Configurations
	Dispatcher     winch.Dispatcher
	Usage          winch.UsageRecorder
	Claims         winch.Claims
	Engines        winch.Engines
	Services       winch.Sender
	Peers          winch.Sender
	Clock          winch.Clock
	Logger         hclog.Logger
	Meter          metric.Meter
	Limits         Limits
	// Memory is the budget of all requests of the process. Nil means a budget of memory.DefaultBudget bytes.
	Memory *memory.Budget
	// PeerSecret authenticates other hosts at PeerHandler.
	PeerSecret string
	// guardSwitches switches off guards, for tests that show that each guard is needed.
	guardSwitches guardSwitches
}

// guardSwitches holds a switch for each guard that can be switched off.
type guardSwitches struct {
	// noAtMostOnce: non-repeatable calls are retried like repeatable ones.
	noAtMostOnce bool
	// noKeyChecks: API keys are checked only when a request arrives.
	noKeyChecks bool
	// noResume: a stream that moves to another endpoint restarts from its first token.
	noResume bool
}

func (o *Options) check() error {
	missing := map[string]bool{
		"Configurations": o.Configurations == nil, "Dispatcher": o.Dispatcher == nil, "Usage": o.Usage == nil,
		"Engines": o.Engines == nil, "Services": o.Services == nil, "Clock": o.Clock == nil,
		"Logger": o.Logger == nil, "Meter": o.Meter == nil,
	}
	for name, absent := range missing {
		if absent {
			return fmt.Errorf("check options of caller server: %w: %s is missing", winch.ErrInvalid, name)
		}
	}
	return nil
}

func (l *Limits) setDefaults() {
	setSize(&l.RequestBody, defaultRequestBodyLimit)
	setSize(&l.ResponseBody, defaultResponseBodyLimit)
	setDuration(&l.Timeout, defaultTimeout)
	setDuration(&l.MaxTimeout, defaultMaxTimeout)
	setDuration(&l.ReadTimeout, defaultReadTimeout)
	setDuration(&l.WriteTimeout, defaultWriteTimeout)
	setDuration(&l.ReadinessDelay, defaultReadinessDelay)
	setDuration(&l.UnverifiedKeyGrace, defaultUnverifiedKeyGrace)
	setDuration(&l.MinStallTimeout, defaultMinStallTimeout)
	setDuration(&l.DefaultStallTimeout, defaultStallTimeout)
	if l.StallFactor == 0 {
		l.StallFactor = defaultStallFactor
	}
	if l.History == 0 {
		l.History = defaultHistory
	}
}

func setSize(value *int64, defaultValue int64) {
	if *value == 0 {
		*value = defaultValue
	}
}

func setDuration(value *time.Duration, defaultValue time.Duration) {
	if *value == 0 {
		*value = defaultValue
	}
}

// stallTimeouts returns how long an engine may be silent before its first token, and
// between tokens.
func (l *Limits) stallTimeouts(class winch.Class) (first, next time.Duration) {
	first, next = l.DefaultStallTimeout, l.DefaultStallTimeout
	if class.FirstTokenTarget > 0 {
		first = max(l.MinStallTimeout, time.Duration(l.StallFactor)*class.FirstTokenTarget)
	}
	if class.InterTokenTarget > 0 {
		next = max(l.MinStallTimeout, time.Duration(l.StallFactor)*class.InterTokenTarget)
	}
	return first, next
}
