package endpoint

import (
	"cmp"
	"time"

	"github.com/arbutuswinch/winch"
)

// line holds what a log line tells of a decision, copied while the lock is held.
type line struct {
	kind         effectKind
	at           time.Time
	request      winch.RequestID
	organisation winch.OrganisationID
	class        winch.ClassID
	tier         winch.Tier
	group        group
	endpoint     winch.EndpointID
	supply       winch.Supply
	centre       winch.DataCentreID
	queued       int
	running      int
	limit        int
	waited       time.Duration
	floor        bool
	movable      bool
	underWay     bool
	tokens       winch.Tokens
	refusal      winch.Refusal
	outcome      winch.Outcome
	cause        string
	lower        lowerWork
	victimTier   winch.Tier
	// toRead and ahead are the tokens of prompts to read of the request, and up to its end;
	// figuresAge is how old the other hosts' part of them was.
	toRead     winch.Tokens
	ahead      winch.Tokens
	figuresAge time.Duration
}

// line copies what the effect tells.
func (c *core) line(e *effect) line {
	out := line{kind: e.kind, at: e.at, waited: e.wait, refusal: e.refusal, outcome: e.outcome, cause: e.cause, lower: e.lower}
	if r := e.request; r != nil {
		out.request, out.organisation, out.class = r.work.Request, r.work.Organisation, r.work.Class
		out.group = group{model: r.work.Model, route: r.work.Route}
		out.floor, out.movable, out.underWay, out.tokens = r.floor, r.movable(), r.underWay(), r.collected
		out.toRead, out.ahead = r.toRead, r.ahead
		if r.lane != nil {
			out.victimTier = r.lane.class.Tier
		}
	}
	if !c.appliedAt.IsZero() {
		out.figuresAge = e.at.Sub(c.appliedAt)
	}
	if l := e.lane; l != nil {
		out.class, out.tier, out.group, out.queued = l.key.class, l.class.Tier, l.key.group, l.queued
	}
	if e.endpoint != nil {
		out.endpoint, out.supply = e.endpoint.spec.ID, e.endpoint.spec.Supply
		out.running, out.limit = e.endpoint.running+e.endpoint.others, e.endpoint.cap
	}
	if e.remote != nil {
		out.centre = e.remote.centre
	}
	return out
}

func stamp(at time.Time) string { return at.UTC().Format(time.RFC3339Nano) }

func outcomeName(outcome winch.Outcome) string {
	names := [...]string{
		winch.OutcomeDone: "Done", winch.OutcomeCancelled: "Cancelled", winch.OutcomeUnsent: "Unsent",
		winch.OutcomeFailed: "Failed", winch.OutcomeRejected: "Rejected",
	}
	if outcome < 0 || int(outcome) >= len(names) {
		return "Unknown"
	}
	return names[outcome]
}

// centre is the data centre in which the host stands, also where the hosts of all exchange their figures.
func (d *Dispatcher) centre() string { return string(cmp.Or(d.options.Home, d.core.self.DataCentre)) }

// common are the fields that every line about a request has.
func (d *Dispatcher) common(event winch.EventNumber, l *line, more ...any) []any {
	fields := make([]any, 0, 18+len(more))
	fields = append(fields, "Event", event, "At", stamp(l.at), "Host", string(d.core.self.ID),
		"DataCentre", d.centre(), "Request", string(l.request), "Organisation", string(l.organisation),
		"Class", string(l.class), "Tier", int(l.tier), "Group", l.group.String())
	return append(fields, more...)
}

func (l *line) lowerFields() []any {
	return []any{
		"LowerQueued", l.lower.queued, "LowerRunning", l.lower.running, "LowerOthersQueued", l.lower.othersQueued,
		"LowerOthersRunning", l.lower.othersRunning, "LowerFloor", l.lower.floor, "Waiting", l.lower.waiting,
	}
}

// log writes the line of a decision.
func (d *Dispatcher) log(l *line) {
	switch l.kind {
	case effectGranted:
		d.logGrant(l)
	case effectQueued:
		d.logger.Info("request queued", d.common(EventQueued, l, "Queued", l.queued, "UnderWay", l.underWay)...)
	case effectRefused:
		fields := d.common(EventRefused, l, "Reason", string(l.refusal.Reason), "RetryAfter", l.refusal.RetryAfter.String(), "Queued", l.queued)
		d.logger.Info("request refused", append(fields, l.lowerFields()...)...)
	case effectPreempted:
		// Class and Tier are those of the waiting lane; VictimTier is the stream's.
		fields := d.common(EventPreempted, l, "Endpoint", string(l.endpoint), "VictimTier", int(l.victimTier), "Tokens", int64(l.tokens))
		d.logger.Info("stream preempted", append(fields, l.lowerFields()...)...)
	case effectMoved:
		d.logger.Info("stream asked to move", d.common(EventMoved, l, "Endpoint", string(l.endpoint))...)
	case effectReleased:
		d.logger.Info("slot released", d.common(EventReleased, l, "Endpoint", string(l.endpoint),
			"Outcome", outcomeName(l.outcome), "Held", l.waited.String(), "Tokens", int64(l.tokens))...)
	case effectCancelled:
		d.logger.Info("caller left the queue", d.common(EventCancelled, l)...)
	default:
		d.logState(l)
	}
}

func (d *Dispatcher) logGrant(l *line) {
	if l.centre != "" {
		d.logger.Info("request handed over", d.common(EventHandedOver, l, "To", string(l.centre), "Waited", l.waited.String())...)
		return
	}
	d.logger.Info("request routed", d.common(EventRouted, l, "Endpoint", string(l.endpoint), "Supply", string(l.supply),
		"Running", l.running, "Limit", l.limit, "Waited", l.waited.String(), "Floor", l.floor, "Movable", l.movable,
		"ToRead", int64(l.toRead), "Ahead", int64(l.ahead), "FiguresAge", l.figuresAge.String())...)
}

func (d *Dispatcher) logState(l *line) {
	fields := []any{"At", stamp(l.at), "Host", string(d.core.self.ID), "DataCentre", d.centre()}
	if l.endpoint != "" {
		fields = append(fields, "Endpoint", string(l.endpoint))
	} else {
		fields = append(fields, "Class", string(l.class), "Group", l.group.String(), "Queued", l.queued)
	}
	switch l.kind {
	case effectEjected:
		d.logger.Warn("endpoint ejected", append(fields, "Event", EventEjected, "Cause", l.cause, "Backoff", l.waited.String())...)
	case effectRestored:
		d.logger.Info("endpoint restored", append(fields, "Event", EventRestored)...)
	case effectLeaving:
		d.logger.Info("endpoint leaves", append(fields, "Event", EventLeaving)...)
	case effectReturned:
		d.logger.Info("endpoint is back", append(fields, "Event", EventReturned)...)
	case effectQueueLong:
		d.logger.Warn("queue is long", append(fields, "Event", EventQueueLong, "OldestWait", l.waited.String())...)
	case effectQueueShort:
		d.logger.Info("queue is short again", append(fields, "Event", EventQueueShort)...)
	}
}
