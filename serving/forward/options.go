package forward

import (
	"cmp"
	"fmt"
	"time"

	"github.com/hashicorp/go-hclog"
	"go.opentelemetry.io/otel/metric"
	"go.opentelemetry.io/otel/metric/noop"

	"github.com/arbutuswinch/winch"
)

const (
	defaultBodyLimit      = 4 << 20
	defaultAnswerLimit    = 8 << 20
	defaultTimeout        = time.Minute
	defaultWriteTimeout   = 10 * time.Second
	defaultReadinessDelay = 3 * time.Second
	defaultRejectLimit    = 1500 * time.Millisecond
	defaultKeyLimit       = 4 * time.Second
	notReadyRetryAfter    = 500 * time.Millisecond
)

// Limits bound requests. The zero value of a limit stands for its default.
type Limits struct {
	// Body is the largest body of a request where the configuration names none, and Answer
	// the largest body of an answer that is not a stream, in bytes.
	Body   int64
	Answer int64
	// Timeout is the time limit of a request where neither caller nor route names one.
	Timeout time.Duration
	// WriteTimeout is the time for which a caller may take nothing of its answer.
	WriteTimeout time.Duration
	// ReadinessDelay is how long connections are still taken once a stop began, until the
	// balancer has noticed.
	ReadinessDelay time.Duration
	// TakeStreams is how long streams are taken once a stop began, and Take how long other
	// requests are, on connections that callers still use. Neither is shorter than ReadinessDelay.
	TakeStreams time.Duration
	Take        time.Duration
	// RejectLimit is the age of the evidence for the configuration up to which it decides that
	// a route or a key does not exist.
	RejectLimit time.Duration
	// KeyLimit is the age of the evidence up to which a key admits a request.
	KeyLimit time.Duration
}

// Options are what a server is built from. Meter may be nil.
type Options struct {
	Configurations winch.ConfirmedConfigurations
	Dispatcher     winch.Dispatcher
	Protocol       winch.ForwardProtocol
	Sender         winch.ForwardSender
	Usage          winch.UsageRecorder
	// Loads takes in what endpoints say of their load in answers.
	Loads  winch.LoadObserver
	Clock  winch.Clock
	Logger hclog.Logger
	Meter  metric.Meter
	Limits Limits
}

func (o *Options) check() error {
	for _, field := range []struct {
		name    string
		missing bool
	}{
		{"Configurations", o.Configurations == nil}, {"Dispatcher", o.Dispatcher == nil}, {"Protocol", o.Protocol == nil},
		{"Sender", o.Sender == nil}, {"Usage", o.Usage == nil}, {"Loads", o.Loads == nil}, {"Clock", o.Clock == nil},
		{"Logger", o.Logger == nil},
	} {
		if field.missing {
			return fmt.Errorf("check options of forwarding port: %s is missing: %w", field.name, winch.ErrInvalid)
		}
	}
	o.Meter = cmp.Or[metric.Meter](o.Meter, noop.Meter{})
	o.Limits.setDefaults()
	return nil
}

func (l *Limits) setDefaults() {
	l.Body = cmp.Or(l.Body, defaultBodyLimit)
	l.Answer = cmp.Or(l.Answer, defaultAnswerLimit)
	l.Timeout = cmp.Or(l.Timeout, defaultTimeout)
	l.WriteTimeout = cmp.Or(l.WriteTimeout, defaultWriteTimeout)
	l.ReadinessDelay = cmp.Or(l.ReadinessDelay, defaultReadinessDelay)
	l.RejectLimit = cmp.Or(l.RejectLimit, defaultRejectLimit)
	l.KeyLimit = cmp.Or(l.KeyLimit, defaultKeyLimit)
}
