package forward

import (
	"cmp"
	"fmt"
	"time"

	"github.com/hashicorp/go-hclog"
	"go.opentelemetry.io/otel/metric"
	"go.opentelemetry.io/otel/metric/noop"

	"github.com/arbutuswinch/winch"
	"github.com/arbutuswinch/winch/internal/memory"
)

const (
	defaultBodyLimit     = 4 << 20
	defaultResponseLimit = 8 << 20
	// keptAnswersSize and largeEventsSize bound the memory that the responses of all requests take while they are read, in bytes.
	// They are parts of Options.Memory.
	keptAnswersSize       = 16 << 20
	largeEventsSize       = 8 << 20
	defaultTimeout        = time.Minute
	defaultWriteTimeout   = 10 * time.Second
	defaultReadinessDelay = 3 * time.Second
	defaultRejectMaxAge   = 1500 * time.Millisecond
	defaultKeyMaxAge      = 4 * time.Second
	notReadyRetryAfter    = 500 * time.Millisecond
)

// Limits are the size and time limits of requests. Fields that are zero get their defaults.
type Limits struct {
	// Body is the maximum size of a request body in bytes where the configuration sets none.
	// Answer is the maximum size of a response body in bytes; it does not apply to streams.
	Body   int64
	Answer int64
	// Timeout is the time limit of a request if neither the caller nor the route sets one.
	Timeout time.Duration
	// WriteTimeout is the timeout of each write to the caller.
	WriteTimeout time.Duration
	// ReadinessDelay is how long new connections are accepted after a shutdown has begun, to
	// give the load balancer time to notice that the host is not ready.
	ReadinessDelay time.Duration
	// AcceptStreams is the maximum time for which new streams are accepted after a shutdown has
	// begun, on connections that callers still use. AcceptRequests is the same for all other requests.
	// Values below ReadinessDelay are raised to it.
	AcceptStreams  time.Duration
	AcceptRequests time.Duration
	// AcceptLong is the time after the start of a shutdown up to which requests are sent to endpoints that could run longer than
	// the shutdown lasts.
	AcceptLong time.Duration
	// LastWrite is how long callers may read their answers after the requests that were open at the end of a shutdown are cancelled.
	LastWrite time.Duration
	// RejectMaxAge is the maximum age at which the configuration may be used to reject a request
	// because its route or key does not exist. The age is the time since the configuration was
	// last confirmed to be the latest one.
	RejectMaxAge time.Duration
	// KeyMaxAge is the maximum age of the configuration at which its keys are accepted.
	KeyMaxAge time.Duration
}

// Options are the dependencies and settings of a server. Only Memory and Meter may be nil.
type Options struct {
	Configurations winch.ConfirmedConfigurations
	Dispatcher     winch.Dispatcher
	Protocol       winch.ForwardProtocol
	Sender         winch.ForwardSender
	// Prober tells whether an endpoint whose response ended with its connection still runs.
	Prober winch.ConnectionProber
	Usage  winch.UsageRecorder
	// Loads receives the load that endpoints report in their responses.
	Loads winch.LoadObserver
	// Listener receives what endpoints say of themselves in their responses.
	Listener winch.EndpointListener
	// Quarantine holds back requests that would crash endpoints.
	Quarantine winch.Quarantine
	// Origins tells at which software version a stream has to go on.
	Origins winch.StreamOrigins
	Clock   winch.Clock
	Logger  hclog.Logger
	// Memory is the budget of all requests of the process. Nil means a budget of memory.DefaultBudget bytes.
	Memory *memory.Budget
	Meter  metric.Meter
	Limits Limits
}

func (o *Options) check() error {
	for _, field := range []struct {
		name    string
		missing bool
	}{
		{"Configurations", o.Configurations == nil}, {"Dispatcher", o.Dispatcher == nil}, {"Protocol", o.Protocol == nil},
		{"Sender", o.Sender == nil}, {"Prober", o.Prober == nil}, {"Usage", o.Usage == nil}, {"Loads", o.Loads == nil}, {"Listener", o.Listener == nil}, {"Quarantine", o.Quarantine == nil}, {"Origins", o.Origins == nil}, {"Clock", o.Clock == nil},
		{"Logger", o.Logger == nil},
	} {
		if field.missing {
			return fmt.Errorf("check options of forwarding server: %s is missing: %w", field.name, winch.ErrInvalid)
		}
	}
	o.Meter = cmp.Or[metric.Meter](o.Meter, noop.Meter{})
	if o.Memory == nil {
		o.Memory = memory.NewBudget(memory.DefaultBudget)
	}
	o.Limits.setDefaults()
	return nil
}

func (l *Limits) setDefaults() {
	l.Body = cmp.Or(l.Body, defaultBodyLimit)
	l.Answer = cmp.Or(l.Answer, defaultResponseLimit)
	l.Timeout = cmp.Or(l.Timeout, defaultTimeout)
	l.WriteTimeout = cmp.Or(l.WriteTimeout, defaultWriteTimeout)
	l.ReadinessDelay = cmp.Or(l.ReadinessDelay, defaultReadinessDelay)
	l.RejectMaxAge = cmp.Or(l.RejectMaxAge, defaultRejectMaxAge)
	l.KeyMaxAge = cmp.Or(l.KeyMaxAge, defaultKeyMaxAge)
}
