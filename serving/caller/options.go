package caller

import (
	"fmt"
	"time"

	"github.com/hashicorp/go-hclog"
	"go.opentelemetry.io/otel/metric"

	"github.com/arbutuswinch/winch"
)

const (
	defaultBodyLimit      = 4 << 20
	defaultAnswerLimit    = 8 << 20
	defaultTimeout        = 5 * time.Minute
	defaultMaxTimeout     = 30 * time.Minute
	defaultReadTimeout    = 30 * time.Second
	defaultWriteTimeout   = 30 * time.Second
	defaultReadinessDelay = 3 * time.Second
	defaultStallFactor    = 20
	defaultMinStall       = 2 * time.Second
	defaultStall          = 30 * time.Second
	defaultLapseDelay     = time.Second
	defaultHistory        = 4096
)

// Limits bound requests. The zero value of a limit stands for its default.
type Limits struct {
	// Body is the largest body of a request, and Answer that of an answer that is not a stream, in bytes.
	Body   int64
	Answer int64
	// Timeout is the time limit of a request that names none, MaxTimeout the longest that may be named.
	Timeout    time.Duration
	MaxTimeout time.Duration
	// ReadTimeout bounds the reading of a body, WriteTimeout the time for which a caller may take nothing of a stream.
	ReadTimeout  time.Duration
	WriteTimeout time.Duration
	// ReadinessDelay is how long requests are still taken once a stop began, until the balancer has noticed.
	ReadinessDelay time.Duration
	// StallFactor times the class's target for the next token is how long an engine
	// may be silent before the stream moves elsewhere, but at least MinStall.
	StallFactor int
	MinStall    time.Duration
	// Stall is the same limit for classes without the target.
	Stall time.Duration
	// LapseDelay is how long open requests go on while their key cannot be confirmed. A
	// withdrawal counts as accepted only after it, so releases add it to their margin.
	LapseDelay time.Duration
	// History is the number of finished requests that can be explained.
	History int
}

// Options are what a server is built from. Claims may be nil: keyed calls of routes
// that are not idempotent are refused then. Peers may be nil when no request is handed over.
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
	// PeerSecret is what other hosts show at PeerHandler.
	PeerSecret string
	// unguarded takes guards out, for tests that show what they are for.
	disabledGuards disabledGuards
}

// unguarded names the guards that are taken out.
type disabledGuards struct {
	// resends: calls that may not be repeated are sent again like others.
	atMostOnce bool
	// keys: keys are checked at the arrival of a request only.
	keyChecks bool
	// resume: streams start anew where they should go on.
	resume bool
}

func (o *Options) check() error {
	missing := map[string]bool{
		"Configurations": o.Configurations == nil, "Dispatcher": o.Dispatcher == nil, "Usage": o.Usage == nil,
		"Engines": o.Engines == nil, "Services": o.Services == nil, "Clock": o.Clock == nil,
		"Logger": o.Logger == nil, "Meter": o.Meter == nil,
	}
	for name, absent := range missing {
		if absent {
			return fmt.Errorf("check options of caller port: %w: %s is missing", winch.ErrInvalid, name)
		}
	}
	return nil
}

func (l *Limits) setDefaults() {
	setSize(&l.Body, defaultBodyLimit)
	setSize(&l.Answer, defaultAnswerLimit)
	setDuration(&l.Timeout, defaultTimeout)
	setDuration(&l.MaxTimeout, defaultMaxTimeout)
	setDuration(&l.ReadTimeout, defaultReadTimeout)
	setDuration(&l.WriteTimeout, defaultWriteTimeout)
	setDuration(&l.ReadinessDelay, defaultReadinessDelay)
	setDuration(&l.LapseDelay, defaultLapseDelay)
	setDuration(&l.MinStall, defaultMinStall)
	setDuration(&l.Stall, defaultStall)
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

// stallAfter returns how long an engine may be silent, before its first token and after it.
func (l *Limits) stallTimeouts(class winch.Class) (first, next time.Duration) {
	first, next = l.Stall, l.Stall
	if class.FirstTokenTarget > 0 {
		first = max(l.MinStall, time.Duration(l.StallFactor)*class.FirstTokenTarget)
	}
	if class.InterTokenTarget > 0 {
		next = max(l.MinStall, time.Duration(l.StallFactor)*class.InterTokenTarget)
	}
	return first, next
}
