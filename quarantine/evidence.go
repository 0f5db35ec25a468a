package quarantine

import (
	"cmp"
	"slices"
	"time"

	"github.com/arbutuswinch/winch"
)

const (
	defaultMinCrashes = 3
	defaultTerm       = 30 * time.Second
	defaultMaxTerm    = 2 * time.Minute
	defaultRetention  = 10 * time.Minute
	defaultSettle     = time.Second
	// maxCrashes, maxHolds, maxOutputs and maxExplained bound the memory, and the messages between hosts, for a caller whose parts are always new.
	maxCrashes   = 64
	maxHolds     = 128
	maxOutputs   = 256
	maxExplained = 64
	maxRefuted   = 256
	// maxRecent bounds the parts with recent outputs.
	maxRecent = 1024
	// maxGrounds bounds the crashes that are kept for a part in quarantine.
	maxGrounds = 16
	// clockTolerance is the difference above which another host's time of the same event counts as later. A time that is
	// passed on grows by the delay of the message, and must not grow with each exchange.
	clockTolerance = time.Second
	// outputTolerance is the same for outputs, which clear parts and have to be known soon.
	outputTolerance = 200 * time.Millisecond
	// outputsKept is how long the output of a part is kept that is neither suspected nor in quarantine, for hosts that
	// suspect it, and explainedKept the same for explained crashes.
	outputsKept   = 10 * time.Second
	explainedKept = time.Minute
	// refutedTold is the age up to which another host's refutation is taken over. It is much less than refutedKept, so that
	// two hosts do not remind each other for ever.
	refutedKept = time.Minute
	refutedTold = 10 * time.Second
	// recentKept is how long outputs are kept of parts that nobody suspects yet: a host learns of a crash that another one
	// has seen only later.
	recentKept = 3 * time.Second
	// messageDelay bounds by how much a time grows that another host passes on.
	messageDelay = 500 * time.Millisecond
	// sameCrash is the time within which two requests at one endpoint are taken to have broken in the same crash of it.
	sameCrash = time.Second
)

// Settings are the settings of Evidence. Fields that are zero get their defaults.
type Settings struct {
	// MinCrashes is the number of crashes after which a part is put in quarantine. The default is 3.
	MinCrashes int
	// Term is the time until the first trial of a part, which doubles with each failed trial up to MaxTerm. The defaults
	// are 30 s and 2 min.
	Term    time.Duration
	MaxTerm time.Duration
	// Retention is how long a crash counts, and how long a quarantine stays without a trial. The default is 10 min.
	Retention time.Duration
	// Settle is the time from the first crash until a part is put in quarantine at the earliest, in which the outputs
	// that other hosts have seen arrive. The default is 1 s.
	Settle time.Duration
}

// Hold is the quarantine of one part.
type Hold struct {
	Part winch.PrefixHash
	// FirstCrash is the first of the crashes for which the part is held. Output after it ends the quarantine.
	FirstCrash time.Time
	// Until is when the next trial may begin.
	Until time.Time
	Term  time.Duration
	// Grounds are the crashes for which the part is held.
	Grounds []Ground
	// trial is the request that this host has admitted as the latest trial.
	trial winch.RequestID
}

// Ground names a crash for which a part is held.
type Ground struct {
	Request  winch.RequestID
	Endpoint winch.EndpointID
}

// Refuted is a supposed crash that did not happen: the endpoint was only out of reach.
type Refuted struct {
	Request winch.RequestID
	// At is when that became known.
	At time.Time
}

// Output is the latest time at which an endpoint began to answer a request with the part.
type Output struct {
	Part winch.PrefixHash
	At   time.Time
}

// Explained is the latest crash of an endpoint under a part in quarantine. The other requests that broke in it did not cause it.
type Explained struct {
	Endpoint winch.EndpointID
	At       time.Time
}

// ChangeKind says what happened to the quarantine of a part.
type ChangeKind string

// The kinds of changes.
const (
	Held     ChangeKind = "held"
	Released ChangeKind = "released"
	// Extended: a trial has crashed its endpoint.
	Extended ChangeKind = "extended"
)

// Change is a change of the quarantine of one part.
type Change struct {
	Kind ChangeKind
	Hold Hold
	// Crashes are the crashes for which this host holds the part. There are none if another host decided it.
	Crashes []winch.EndpointCrash
}

// Evidence is what a host knows of crashes, and the parts in quarantine. It must not be used concurrently.
type Evidence struct {
	settings Settings
	crashes  map[winch.RequestID]winch.EndpointCrash
	// seen are the crashes that this host has seen itself, seenOutputs its own outputs.
	seen        map[winch.RequestID]bool
	seenOutputs map[winch.PrefixHash]time.Time
	// crashCounts is the number of crashes in which a part was present.
	crashCounts map[winch.PrefixHash]int
	outputs     map[winch.PrefixHash]time.Time
	holds       map[winch.PrefixHash]Hold
	// explained holds the times of Explained.
	explained map[winch.EndpointID]time.Time
	// recent holds the latest outputs of all parts, suspected or not.
	recent map[winch.PrefixHash]time.Time
	// refuted holds the times of Refuted.
	refuted map[winch.RequestID]time.Time
}

// New returns empty evidence.
func New(settings Settings) *Evidence {
	settings.MinCrashes = cmp.Or(settings.MinCrashes, defaultMinCrashes)
	settings.Term = cmp.Or(settings.Term, defaultTerm)
	settings.MaxTerm = cmp.Or(settings.MaxTerm, defaultMaxTerm)
	settings.Retention = cmp.Or(settings.Retention, defaultRetention)
	settings.Settle = cmp.Or(settings.Settle, defaultSettle)
	return &Evidence{
		settings: settings, crashes: map[winch.RequestID]winch.EndpointCrash{}, crashCounts: map[winch.PrefixHash]int{},
		outputs: map[winch.PrefixHash]time.Time{}, holds: map[winch.PrefixHash]Hold{},
		explained: map[winch.EndpointID]time.Time{}, seen: map[winch.RequestID]bool{}, seenOutputs: map[winch.PrefixHash]time.Time{},
		recent: map[winch.PrefixHash]time.Time{}, refuted: map[winch.RequestID]time.Time{},
	}
}

// Empty reports whether there is neither a crash nor a part in quarantine.
func (e *Evidence) Empty() bool {
	return len(e.crashes) == 0 && len(e.holds) == 0 && len(e.outputs) == 0 && len(e.explained) == 0 && len(e.refuted) == 0
}

// Holds returns the parts in quarantine, sorted by part.
func (e *Evidence) Holds() []Hold {
	holds := make([]Hold, 0, len(e.holds))
	for _, hold := range e.holds {
		holds = append(holds, hold)
	}
	slices.SortFunc(holds, func(a, b Hold) int { return cmp.Compare(a.Part, b.Part) })
	return holds
}

// AddCrash adds a crash that this host has seen, and returns what changes.
func (e *Evidence) AddCrash(now time.Time, crash winch.EndpointCrash) []Change {
	changes := e.addCrash(now, crash)
	if _, kept := e.crashes[crash.Request]; kept {
		e.seen[crash.Request] = true
	}
	return changes
}

func (e *Evidence) addCrash(now time.Time, crash winch.EndpointCrash) []Change {
	if _, refuted := e.refuted[crash.Request]; refuted || now.Sub(crash.At) > e.settings.Retention || len(crash.Parts) == 0 {
		return nil
	}
	e.recallOutputs(crash.Parts...)
	for _, part := range crash.Parts {
		if hold, found := e.holds[part]; found {
			e.explain(crash.Endpoint, crash.At)
			return e.failTrial(now, hold, crash)
		}
	}
	if e.isExplained(crash) {
		return nil
	}
	if known, found := e.crashes[crash.Request]; found {
		if !crash.At.Before(known.At) {
			return nil
		}
		e.dropCrash(crash.Request)
	}
	if len(e.crashes) >= maxCrashes {
		e.dropCrash(e.oldestCrash())
	}
	e.crashes[crash.Request] = crash
	for _, part := range crash.Parts {
		e.crashCounts[part]++
	}
	return e.Decide(now)
}

// failTrial doubles the term of a part if the crash was that of its trial on this host. Other crashes with a part in
// quarantine tell nothing new.
func (e *Evidence) failTrial(now time.Time, hold Hold, crash winch.EndpointCrash) []Change {
	if hold.trial == "" || hold.trial != crash.Request {
		return nil
	}
	hold.trial, hold.Term = "", min(2*hold.Term, e.settings.MaxTerm)
	hold.Until = now.Add(hold.Term)
	e.holds[hold.Part] = hold
	return []Change{{Kind: Extended, Hold: hold, Crashes: []winch.EndpointCrash{crash}}}
}

// isExplained reports whether the endpoint crashed under a part in quarantine.
func (e *Evidence) isExplained(crash winch.EndpointCrash) bool {
	at, found := e.explained[crash.Endpoint]
	return found && crash.At.Sub(at).Abs() <= sameCrash
}

// explain drops the requests that broke in the same crash of the endpoint.
func (e *Evidence) explain(endpoint winch.EndpointID, at time.Time) {
	if known, found := e.explained[endpoint]; found && at.Sub(known) <= sameCrash {
		return
	}
	if len(e.explained) >= maxExplained {
		oldest := slices.MinFunc(e.Explained(), func(a, b Explained) int { return a.At.Compare(b.At) })
		delete(e.explained, oldest.Endpoint)
	}
	e.explained[endpoint] = at
	for id, crash := range e.crashes {
		if crash.Endpoint == endpoint && e.isExplained(crash) {
			e.dropCrash(id)
		}
	}
}

func (e *Evidence) oldestCrash() winch.RequestID {
	oldest := winch.RequestID("")
	for id, crash := range e.crashes {
		if oldest == "" || crash.At.Before(e.crashes[oldest].At) {
			oldest = id
		}
	}
	return oldest
}

func (e *Evidence) dropCrash(id winch.RequestID) {
	for _, part := range e.crashes[id].Parts {
		if e.crashCounts[part]--; e.crashCounts[part] <= 0 {
			delete(e.crashCounts, part)
		}
	}
	delete(e.crashes, id)
	delete(e.seen, id)
}

// matters reports whether the part is suspected or in quarantine.
func (e *Evidence) matters(part winch.PrefixHash) bool {
	_, held := e.holds[part]
	return held || e.crashCounts[part] > 0
}

// MayRetry reports whether a request with the parts may be sent to another endpoint: a part of it was present in at most one crash.
func (e *Evidence) MayRetry(parts []winch.PrefixHash) bool {
	return !slices.ContainsFunc(parts, func(part winch.PrefixHash) bool {
		return e.crashCounts[part] > 1 && len(e.chain(part)) > 1
	})
}

// Admit reports whether the request may be sent. mayTry tells whether this host is the one that makes the trial of the part.
func (e *Evidence) Admit(now time.Time, request winch.RequestID, parts []winch.PrefixHash, mayTry func(winch.PrefixHash) bool) bool {
	var trials []Hold
	for _, part := range parts {
		hold, held := e.holds[part]
		if !held || hold.trial == request {
			continue
		}
		if now.Before(hold.Until) || !mayTry(part) {
			return false
		}
		hold.trial, hold.Until = request, now.Add(hold.Term)
		trials = append(trials, hold)
	}
	for _, hold := range trials {
		e.holds[hold.Part] = hold
	}
	return true
}

// HeldPart returns the quarantine of the first of the parts that is held, and false if none is.
func (e *Evidence) HeldPart(parts []winch.PrefixHash) (Hold, bool) {
	for _, part := range parts {
		if hold, held := e.holds[part]; held {
			return hold, true
		}
	}
	return Hold{}, false
}

// Prune forgets what is older than the retention.
func (e *Evidence) Prune(now time.Time) []Change {
	for id, crash := range e.crashes {
		if now.Sub(crash.At) > e.settings.Retention || e.cleared(crash) {
			e.dropCrash(id)
		}
	}
	for part, at := range e.outputs {
		if now.Sub(at) > outputsKept && !e.matters(part) {
			e.dropOutput(part)
		}
	}
	for endpoint, at := range e.explained {
		if now.Sub(at) > explainedKept {
			delete(e.explained, endpoint)
		}
	}
	for request, at := range e.refuted {
		if now.Sub(at) > refutedKept {
			delete(e.refuted, request)
		}
	}
	e.pruneRecent(now)
	var changes []Change
	for part, hold := range e.holds {
		if now.Sub(hold.Until) > e.settings.Retention {
			delete(e.holds, part)
			changes = append(changes, Change{Kind: Released, Hold: hold})
		}
	}
	return changes
}

// cleared reports whether output was seen with all parts after the crash.
func (e *Evidence) cleared(crash winch.EndpointCrash) bool {
	return !slices.ContainsFunc(crash.Parts, func(part winch.PrefixHash) bool { return !e.outputs[part].After(crash.At) })
}
