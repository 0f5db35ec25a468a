package winch

import "time"

// EndpointStatus is an endpoint that was ordered, with its state.
type EndpointStatus struct {
	Endpoint Endpoint
	State    EndpointState
	// LeavesAt is when a leaving endpoint goes away; zero when that is not known.
	LeavesAt time.Time
	// StartedAt tells the starts of an endpoint apart that keeps its id, as it says itself;
	// zero when it does not.
	StartedAt time.Time
}

// EndpointSource gives the endpoints that were ordered. Those of the
// configuration are not among them.
type EndpointSource interface {
	Endpoints() []EndpointStatus
	// Changed returns a channel that is closed at the next change.
	Changed() <-chan struct{}
}

// LoadedModel is a model that an engine holds.
type LoadedModel struct {
	Model   ModelID
	Adapter AdapterID
	Version ModelVersion
}

// LoadReport is an endpoint's own report of its load.
type LoadReport struct {
	Endpoint EndpointID
	// AsOf is when the report was true, by the clock of the host that takes it in.
	AsOf            time.Time
	Running         int
	Waiting         int
	TokensPerSecond float64
	CacheUsed       Tokens
	CacheLimit      Tokens
	Models          []LoadedModel
	Role            string
	State           EndpointState
}

// CacheEvent tells that an engine keeps the prefix of a prompt, or dropped it.
type CacheEvent struct {
	Endpoint EndpointID
	Prefix   PrefixHash
	Evicted  bool
}

// LoadObserver takes in what endpoints report. Its methods must not block.
type LoadObserver interface {
	ObserveLoad(now time.Time, report LoadReport)
	ObserveCache(now time.Time, event CacheEvent)
}

// QueueStatus is a class's queue at one host, or summed over a data centre when Host is empty.
type QueueStatus struct {
	DataCentre DataCentreID
	Host       HostID
	Class      ClassID
	Model      ModelID
	Route      RouteID
	Tier       Tier
	Queued     int
	Running    int
	// Slots are those of the endpoints that the class may use, at their present limits.
	Slots      int
	OldestWait time.Duration
	// PromptRate is how many tokens of prompts the requests bring to be read, a second.
	PromptRate float64
	// PromptSpeed is how many an endpoint reads in a second, as this host learnt; zero when it
	// has not.
	PromptSpeed float64
	// PredictedDrain is the time until the queue is empty at the present rate.
	PredictedDrain time.Duration
	// Age is how old the figures are.
	Age time.Duration
}

// QueueSource tells the queues of the system, as far as this host knows them.
type QueueSource interface {
	Queues(now time.Time) []QueueStatus
}

// LoadObservers passes what it takes in on to each of several observers.
type LoadObservers []LoadObserver

// ObserveLoad passes the report on.
func (o LoadObservers) ObserveLoad(now time.Time, report LoadReport) {
	for _, observer := range o {
		observer.ObserveLoad(now, report)
	}
}

// ObserveCache passes the event on.
func (o LoadObservers) ObserveCache(now time.Time, event CacheEvent) {
	for _, observer := range o {
		observer.ObserveCache(now, event)
	}
}
