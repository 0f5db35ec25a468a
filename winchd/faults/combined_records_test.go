package faults

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// The promises that a combined run checks.
const (
	promiseOnce     = "combined: a request that must not be retried runs at most once, and never if its response says not_run"
	promiseAnswers  = "combined: every response is complete or ends with an error, and only a killed host cuts it off"
	promiseKeys     = "combined: no host accepts a key after its withdrawal is accepted, or rejects a valid one"
	promiseNoRevert = "combined: a host never reverts to an older revision"
	promiseRaces    = "combined: exactly one of several competing notes is committed"
	promiseOrders   = "combined: no order of an older term arrives after one of a newer term"
	promiseUsage    = "combined: each usage window is reported once and completely, except for counts lost with killed hosts"
	promiseSecrets  = "combined: no endpoint receives a caller's key"
	promiseStop     = "combined: a graceful shutdown exits with status 0"
	promiseRecovery = "combined: the system recovers within 30 s after the faults"
)

var promises = []string{
	promiseOnce, promiseAnswers, promiseKeys, promiseNoRevert, promiseRaces,
	promiseOrders, promiseUsage, promiseSecrets, promiseStop, promiseRecovery,
}

const (
	// lossWindow is the largest age of usage counts that a killed host takes with it. Older counts
	// were copied to the other host of its data centre.
	lossWindow = 3 * time.Second
	// lossWindowAlone applies instead if one of the two hosts was unavailable shortly before. The
	// other one is then alone with its counts until they are written to the key-value service. The host
	// that took over the reporting does so three seconds after the end of the usage window, and later
	// if there were faults of the key-value service.
	lossWindowAlone = usageWindow + 8*time.Second
)

// servedCall is a completion as its caller saw it.
type servedCall struct {
	begun, ended time.Time
	// delivered is the number of tokens that reached the caller, and atMost the maximum number
	// that can have been generated.
	delivered, atMost int64
}

// hostFailure records when a host was killed, frozen or shut down.
type hostFailure struct {
	host   *host
	at     time.Time
	killed bool
}

// records holds the observations of a run's callers. It is safe for concurrent use.
type records struct {
	schedule schedule
	begun    time.Time

	mu           sync.Mutex
	rows         map[string]*row
	hostFailures []hostFailure
	served       []servedCall
	// confirmations holds the results of confirmations by idempotency key.
	confirmations map[string][]callResult
	// succeeded holds the confirmations without an idempotency key that were successful, by request ID.
	succeeded []string
	// notRun holds the IDs of the requests whose response said not_run.
	notRun []string
}

func newRecords(faults string, faultSchedule schedule) *records {
	r := &records{schedule: faultSchedule, begun: time.Now(), rows: map[string]*row{}, confirmations: map[string][]callResult{}}
	for _, promise := range promises {
		r.rows[promise] = &row{promise: promise, faults: faults}
	}
	return r
}

func (r *records) addViolation(promise, format string, arguments ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.rows[promise].addViolation("%s: %s", time.Now().Format(time.StampMilli), fmt.Sprintf(format, arguments...))
}

func (r *records) countRun(promise string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.rows[promise].runs++
}

func (r *records) recordHostFailure(h *host, killed bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.hostFailures = append(r.hostFailures, hostFailure{host: h, at: time.Now(), killed: killed})
}

func (r *records) recordServed(begun time.Time, delivered, atMost int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.served = append(r.served, servedCall{begun: begun, ended: time.Now(), delivered: delivered, atMost: atMost})
}

// recordConfirmation records the result of a confirmation. key is its idempotency key, or empty.
func (r *records) recordConfirmation(key, request string, got callResult) {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case key != "":
		r.confirmations[key] = append(r.confirmations[key], got)
	case got.status == http.StatusOK:
		r.succeeded = append(r.succeeded, request)
	}
	if got.runState == "not_run" {
		r.notRun = append(r.notRun, request)
	}
}

func (r *records) recordNotRun(request string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.notRun = append(r.notRun, request)
}

// usageBounds returns the bounds of the total reported usage: the delivered tokens without those
// whose counts may have been lost with killed hosts, and all tokens that can have been generated.
func (r *records) usageBounds() (least, most int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, s := range r.served {
		most += s.atMost
		if !r.mayBeLost(s) {
			least += s.delivered
		}
	}
	return least, most
}

// mayBeLost reports whether a killed host, whichever it was, may have had the only copy of the call's usage.
func (r *records) mayBeLost(s servedCall) bool {
	for _, kill := range r.hostFailures {
		if kill.killed && s.begun.Before(kill.at) && s.ended.After(kill.at.Add(-r.lossWindowBefore(kill))) {
			return true
		}
	}
	return false
}

// lossWindowBefore returns the largest age of counts that may have existed only on the killed host.
func (r *records) lossWindowBefore(kill hostFailure) time.Duration {
	alone := lossWindowAlone + r.storeUnavailability(kill)
	for _, other := range r.hostFailures {
		if other.host.centre == kill.host.centre && other.at.Before(kill.at) && other.at.After(kill.at.Add(-alone-maxFaultDuration)) {
			return alone
		}
	}
	return lossWindow
}

// storeUnavailability returns an upper bound of the time before the kill in which the data centre could not
// write to the key-value service. It adds up faults, also overlapping ones and those that only delay
// writes or lose their responses.
func (r *records) storeUnavailability(kill hostFailure) time.Duration {
	unavailable := time.Duration(0)
	for _, fault := range r.schedule {
		if fault.target == "keyvalue" || fault.target == "platform/"+kill.host.centre {
			unavailable += max(0, min(fault.duration, kill.at.Sub(r.begun.Add(fault.startsAt))))
		}
	}
	return unavailable
}

// wrongToken compares the text with the tokens that the stand-in engine generates for the prompt
// (see standin/engine.Token). It returns the first token of the text that does not belong to the
// prompt and the number of tokens before it, or the number of all tokens and an empty string.
func wrongToken(prompt, text string) (tokens int, wrong string) {
	hash := xxhash.Sum64String("user\n"+prompt+"\n") & 0xffff
	for i, token := range strings.Fields(text) {
		if token != fmt.Sprintf("w%d-%04x", i, hash) {
			return i, token
		}
	}
	return len(strings.Fields(text)), ""
}
