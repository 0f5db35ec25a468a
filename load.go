package winch

import "time"

// EndpointStatus is an endpoint with its state.
type EndpointStatus struct {
	Endpoint Endpoint
	State    EndpointState
	// LeavesAt is when the endpoint will be removed. It is set only in state EndpointLeaving, and
	// only if the time is known.
	LeavesAt time.Time
	// StartedAt is the start time that the endpoint reports, by which a restart under the
	// same ID is detected; zero when it reports none.
	StartedAt time.Time
	// Sequence is the number of what the endpoint says here since its start, from 1 on; zero if it is not known.
	Sequence EndpointSequence
	// Evacuated is set while the endpoint's data centre is evacuated: it gets no requests, whatever its state.
	Evacuated bool
	// ColdStated is set if the endpoint states whether it is cold. ColdUntil is when it will not be any more; zero if it is not cold. See
	// ColdStart.
	ColdStated bool
	ColdUntil  time.Time
}

// EndpointSource provides the endpoints that the platform has started or registered. Endpoints
// of the configuration are not included.
type EndpointSource interface {
	Endpoints() []EndpointStatus
	// ReadAt returns when the newest list was read, by the host's clock. It is zero if that is not known.
	ReadAt() time.Time
	// Changed returns a channel that is closed at the next change.
	Changed() <-chan struct{}
}

// LoadedModel is a model that an engine has loaded.
type LoadedModel struct {
	Model   ModelID
	Adapter AdapterID
	Version ModelVersion
}

// LoadReport is the load that an endpoint reports.
type LoadReport struct {
	Endpoint EndpointID
	// AsOf is the time that the report describes, by the clock of the host that receives it.
	AsOf            time.Time
	Running         int
	Waiting         int
	Pace            PaceWord
	TokensPerSecond float64
	CacheUsed       Tokens
	CacheLimit      Tokens
	Models          []LoadedModel
	Role            string
	State           EndpointState
}

// EndpointWord is what an endpoint says of itself in an answer, whatever the request and its outcome.
type EndpointWord struct {
	Endpoint EndpointID
	// Request is the request that it answered.
	Request RequestID
	// Leaving is set if the endpoint will end. It takes no further requests, whatever the list of endpoints says.
	Leaving bool
	// RestsFor is how long the endpoint, which has turned the request away, wants no requests from this host; zero if it does not say.
	RestsFor time.Duration
	// Rate is what the answer says of the rate of requests that the endpoint takes, and SentAt when the request was sent.
	Rate   RateWord
	SentAt time.Time
}

// RequestRate is a number of requests a second.
type RequestRate float64

// Pace is how long work takes at an endpoint, in percent of the usual time. A higher pace means a slower endpoint.
type Pace float64

// UsualPace is the pace of an endpoint on which work takes as long as usual.
const UsualPace Pace = 100

// PaceWord is what an answer says of the pace of its endpoint.
type PaceWord struct {
	// Known is set if the answer states a pace that can be read.
	Known bool
	Pace  Pace
}

// RateWord is what an answer says of the rate of requests that its endpoint takes.
type RateWord struct {
	// Known is set unless the answer says something that cannot be read.
	Known bool
	// Limited is set if the endpoint takes no more than Rate from all hosts together.
	Limited bool
	Rate    RequestRate
}

// EndpointListener receives what endpoints say of themselves. Its methods must not block.
type EndpointListener interface {
	// ObserveWord applies the word of the run of the endpoint that started at startedAt, as listed.
	ObserveWord(now, startedAt time.Time, word EndpointWord)
}

// CacheEvent reports that an engine has cached a prompt prefix, or has evicted it.
type CacheEvent struct {
	Endpoint EndpointID
	Prefix   PrefixHash
	Evicted  bool
}

// LoadObserver receives the reports of endpoints. Its methods must not block.
type LoadObserver interface {
	ObserveLoad(now time.Time, report LoadReport)
	ObserveCache(now time.Time, event CacheEvent)
}

// QueueStatus is the state of a class's queue at one host, or the sum over a data centre when Host is empty.
type QueueStatus struct {
	DataCentre DataCentreID
	Host       HostID
	Class      ClassID
	Model      ModelID
	Route      RouteID
	Tier       Tier
	Queued     int
	Running    int
	// Slots is the number of slots of the endpoints that the class may use, at their current limits.
	Slots      int
	OldestWait time.Duration
	// PromptRate is the arrival rate of prompt tokens that need prefill, per second, refused requests included.
	PromptRate float64
	// PromptSpeed is the number of prompt tokens that an endpoint processes per second, as
	// estimated by this host; zero when there is no estimate.
	PromptSpeed float64
	// PredictedDrain is the time until the queue is empty at the current rate.
	PredictedDrain time.Duration
	// Age is the age of this status.
	Age time.Duration
}

// QueueSource provides the state of the system's queues, as far as this host knows it.
type QueueSource interface {
	Queues(now time.Time) []QueueStatus
}

// LoadObservers forwards reports to several observers.
type LoadObservers []LoadObserver

// ObserveLoad forwards the report to each observer.
func (o LoadObservers) ObserveLoad(now time.Time, report LoadReport) {
	for _, observer := range o {
		observer.ObserveLoad(now, report)
	}
}

// ObserveCache forwards the event to each observer.
func (o LoadObservers) ObserveCache(now time.Time, event CacheEvent) {
	for _, observer := range o {
		observer.ObserveCache(now, event)
	}
}
