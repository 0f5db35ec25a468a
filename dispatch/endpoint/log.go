package endpoint

import (
	"cmp"
	"time"

	"github.com/arbutuswinch/winch"
)

// logEntry holds the data of a decision's log line, copied while the lock is held.
type logEntry struct {
	kind            effectKind
	at              time.Time
	request         winch.RequestID
	organisation    winch.OrganisationID
	class           winch.ClassID
	tier            winch.Tier
	group           group
	endpoint        winch.EndpointID
	supply          winch.Supply
	dataCentre      winch.DataCentreID
	queued          int
	running         int
	limit           int
	duration        time.Duration
	floor           bool
	movable         bool
	attemptedBefore bool
	tokens          winch.Tokens
	refusal         winch.Refusal
	outcome         winch.Outcome
	cause           string
	lowerTier       lowerTierWork
	victimTier      winch.Tier
	// pendingPrefill is the number of the request's prompt tokens that need prefill, and prefillAhead
	// the number pending at the endpoint including these. statsAge is the age of the other hosts'
	// statistics used for them.
	pendingPrefill winch.Tokens
	prefillAhead   winch.Tokens
	statsAge       time.Duration
	rate, ownRate  winch.RequestRate
	evacuation     evacuation
	reach          reach
}

// newLogEntry copies the effect's data.
func (c *core) newLogEntry(e *effect) logEntry {
	entry := logEntry{kind: e.kind, at: e.at, duration: e.duration, refusal: e.refusal, outcome: e.outcome, cause: e.cause, lowerTier: e.lowerTier, rate: e.rate, ownRate: e.ownRate, evacuation: e.evacuation, reach: e.reach}
	if r := e.request; r != nil {
		entry.request, entry.organisation, entry.class = r.work.Request, r.work.Organisation, r.work.Class
		entry.group = group{model: r.work.Model, route: r.work.Route}
		entry.floor, entry.movable, entry.attemptedBefore, entry.tokens = r.floor, r.mayMove(), r.attemptedBefore(), r.chargedOutput
		entry.pendingPrefill, entry.prefillAhead = r.pendingPrefill, r.prefillAhead
		if r.lane != nil {
			entry.victimTier = r.lane.class.Tier
		}
	}
	if !c.summaryAsOf.IsZero() {
		entry.statsAge = e.at.Sub(c.summaryAsOf)
	}
	if l := e.lane; l != nil {
		entry.class, entry.tier, entry.group, entry.queued = l.key.class, l.class.Tier, l.key.group, l.queued
	}
	if e.endpoint != nil {
		entry.endpoint, entry.supply = e.endpoint.spec.ID, e.endpoint.spec.Supply
		entry.running, entry.limit = e.endpoint.running+e.endpoint.others, e.endpoint.cap
	}
	if e.remote != nil {
		entry.dataCentre = e.remote.dataCentre
	}
	return entry
}

func formatTime(at time.Time) string { return at.UTC().Format(time.RFC3339Nano) }

func outcomeName(outcome winch.Outcome) string {
	names := [...]string{
		winch.OutcomeDone: "Done", winch.OutcomeCancelled: "Cancelled", winch.OutcomeUnsent: "Unsent",
		winch.OutcomeFailed: "Failed", winch.OutcomeRejected: "Rejected", winch.OutcomeRestarted: "Restarted",
	}
	if outcome < 0 || int(outcome) >= len(names) {
		return "Unknown"
	}
	return names[outcome]
}

// centre returns the host's data centre. That is Options.Home if it is set, since Membership then names
// a group of hosts in several data centres.
func (d *Dispatcher) centre() string { return string(cmp.Or(d.options.Home, d.core.self.DataCentre)) }

// requestFields returns the fields common to all log lines about a request, followed by more.
func (d *Dispatcher) requestFields(event winch.EventNumber, l *logEntry, more ...any) []any {
	fields := make([]any, 0, 18+len(more))
	fields = append(fields, "Event", event, "At", formatTime(l.at), "Host", string(d.core.self.ID),
		"DataCentre", d.centre(), "Request", string(l.request), "Organisation", string(l.organisation),
		"Class", string(l.class), "Tier", int(l.tier), "Group", l.group.String())
	return append(fields, more...)
}

func (l *logEntry) lowerTierFields() []any {
	return []any{
		"LowerQueued", l.lowerTier.queued, "LowerRunning", l.lowerTier.movableHere, "LowerOthersQueued", l.lowerTier.othersQueued,
		"LowerOthersRunning", l.lowerTier.movableElsewhere, "LowerFloor", l.lowerTier.floor, "Waiting", l.lowerTier.waiting,
	}
}

// log writes the log line of a decision.
func (d *Dispatcher) log(l *logEntry) {
	switch l.kind {
	case effectGranted:
		d.logGrant(l)
	case effectQueued:
		d.logger.Info("request queued", d.requestFields(EventQueued, l, "Queued", l.queued, "UnderWay", l.attemptedBefore, "Cause", l.cause)...)
	case effectRefused:
		fields := d.requestFields(EventRefused, l, "Reason", string(l.refusal.Reason), "RetryAfter", l.refusal.RetryAfter.String(), "Queued", l.queued, "Cause", l.cause)
		d.logger.Info("request refused", append(fields, l.lowerTierFields()...)...)
	case effectPreempted:
		// Class and Tier are those of the waiting lane. VictimTier is the stream's, and the Lower fields
		// are counted from that tier; see preempt.
		fields := d.requestFields(EventPreempted, l, "Endpoint", string(l.endpoint), "VictimTier", int(l.victimTier), "Tokens", int64(l.tokens))
		d.logger.Info("stream preempted for a higher tier", append(fields, l.lowerTierFields()...)...)
	case effectMoved:
		d.logger.Info("stream asked to leave an endpoint that is leaving or silent", d.requestFields(EventMoved, l, "Endpoint", string(l.endpoint))...)
	case effectReleased:
		d.logger.Info("slot released", d.requestFields(EventReleased, l, "Endpoint", string(l.endpoint),
			"Outcome", outcomeName(l.outcome), "Held", l.duration.String(), "Tokens", int64(l.tokens))...)
	case effectHeldBack:
		d.logger.Info("request not sent, it gets another slot: the endpoint's data centre is or may be evacuated", d.requestFields(EventHeldBack, l, "Endpoint", string(l.endpoint))...)
	case effectEvacuated, effectEvacuationEnded:
		d.logEvacuation(l)
	case effectUnreachable, effectReachable:
		d.logReach(l)
	case effectCancelled:
		d.logger.Info("request cancelled while queued", d.requestFields(EventCancelled, l)...)
	default:
		d.logStateChange(l)
	}
}

func (d *Dispatcher) logGrant(l *logEntry) {
	if l.dataCentre != "" {
		d.logger.Info("request handed over to another data centre", d.requestFields(EventHandedOver, l, "To", string(l.dataCentre), "Waited", l.duration.String())...)
		return
	}
	d.logger.Info("request routed", d.requestFields(EventRouted, l, "Endpoint", string(l.endpoint), "Supply", string(l.supply),
		"Running", l.running, "Limit", l.limit, "Waited", l.duration.String(), "Floor", l.floor, "Movable", l.movable,
		"ToRead", int64(l.pendingPrefill), "Ahead", int64(l.prefillAhead), "FiguresAge", l.statsAge.String())...)
}

func (d *Dispatcher) logEvacuation(l *logEntry) {
	fields := []any{"At", formatTime(l.at), "Host", string(d.core.self.ID), "DataCentre", d.centre(), "Evacuated", string(l.evacuation.centre)}
	if l.kind == effectEvacuated {
		d.logger.Warn("data centre evacuated, its endpoints get no more requests", append(fields, "Event", EventEvacuated,
			"Endpoints", l.evacuation.endpoints, "Running", l.evacuation.running)...)
		return
	}
	d.logger.Info("evacuation ended, endpoints gradually get requests again", append(fields, "Event", EventEvacuationEnded)...)
}

func (d *Dispatcher) logStateChange(l *logEntry) {
	fields := []any{"At", formatTime(l.at), "Host", string(d.core.self.ID), "DataCentre", d.centre()}
	if l.endpoint != "" {
		fields = append(fields, "Endpoint", string(l.endpoint))
	} else {
		fields = append(fields, "Class", string(l.class), "Group", l.group.String(), "Queued", l.queued)
	}
	switch l.kind {
	case effectEjected:
		d.logger.Warn("endpoint ejected, gets no requests during back-off", append(fields, "Event", EventEjected, "Cause", l.cause, "Backoff", l.duration.String())...)
	case effectRestored:
		d.logger.Info("ejected endpoint answered a probe request, gets requests again", append(fields, "Event", EventRestored)...)
	case effectLeaving:
		d.logger.Info("endpoint leaving, gets no new requests", append(fields, "Event", EventEndpointLeaving)...)
	case effectReturned:
		d.logger.Info("endpoint back in service", append(fields, "Event", EventEndpointReturned)...)
	case effectSaysLeaving:
		d.logger.Info("endpoint says that it leaves", append(fields, "Event", EventEndpointSaysLeaving, "Request", l.cause)...)
	case effectRateNamed:
		d.logger.Info("endpoint takes few requests", append(fields, "Event", EventEndpointRateNamed, "Cause", l.cause, "Rate", float64(l.rate), "OwnRate", float64(l.ownRate))...)
	case effectRateEnded:
		d.logger.Info("endpoint takes requests without limit", append(fields, "Event", EventEndpointRateEnded, "Cause", l.cause)...)
	case effectCold:
		d.logger.Info("endpoint is cold, its rate of requests is limited", append(fields, "Event", EventEndpointCold, "For", l.duration.String(), "Rate", float64(l.rate), "OwnRate", float64(l.ownRate))...)
	case effectWarming:
		d.logger.Info("endpoint is warming up, its rate of requests rises in steps", append(fields, "Event", EventEndpointWarming, "Rate", float64(l.rate), "OwnRate", float64(l.ownRate))...)
	case effectWarm:
		d.logger.Info("endpoint is warm, its rate of requests is not limited any more", append(fields, "Event", EventEndpointWarm)...)
	case effectRests:
		d.logger.Info("endpoint wants no requests", append(fields, "Event", EventEndpointRests, "Request", l.cause, "For", l.duration.String())...)
	case effectRested:
		d.logger.Info("endpoint takes requests again", append(fields, "Event", EventEndpointRested)...)
	case effectQueueLong:
		d.logger.Warn("queue long: over half of its length limit or maximum wait", append(fields, "Event", EventQueueLong, "OldestWait", l.duration.String())...)
	case effectQueueShort:
		d.logger.Info("queue short again: at most a quarter of its length limit and maximum wait", append(fields, "Event", EventQueueShort)...)
	}
}
