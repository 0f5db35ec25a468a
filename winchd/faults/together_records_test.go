package faults

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// The promises that a run of everything together judges.
const (
	promiseOnce    = "together: a request that may not be repeated runs at most once, and not run is true"
	promiseAnswers = "together: every answer is whole or ends with an error, and only a killed host cuts it"
	promiseKeys    = "together: no host honours a withdrawn key after acceptance, or refuses an accepted one"
	promiseReverts = "together: a host never goes back to an older revision"
	promiseRaces   = "together: of racing notes exactly one is committed"
	promiseOrders  = "together: no order of an older term after a newer one"
	promiseUsage   = "together: each window is reported once, with what was served but for what killed hosts held"
	promiseSecrets = "together: no endpoint sees a caller's key"
	promiseStop    = "together: a planned stop ends in order"
	promiseHeals   = "together: everything heals within 30 s after the faults"
)

var promises = []string{
	promiseOnce, promiseAnswers, promiseKeys, promiseReverts, promiseRaces,
	promiseOrders, promiseUsage, promiseSecrets, promiseStop, promiseHeals,
}

const (
	// heldFor is how long a killed host may hold counts that the other host of its data centre lacks.
	heldFor = 3 * time.Second
	// heldAlone is the same if one of the two was away shortly before: who is alone holds its
	// counts until they are written, three seconds after the window's end, by the one that
	// took over. Faults of the key-value service before add to it.
	heldAlone = usageWindow + 8*time.Second
)

// served is a completion as its caller saw it.
type served struct {
	begun, ended time.Time
	// delivered tokens reached the caller, at most so many were made.
	delivered, atMost int64
}

// absence is a time at which a host was killed, frozen or told to stop.
type absence struct {
	host   *host
	at     time.Time
	killed bool
}

// records are what the callers of a run saw. They are safe for concurrent use.
type records struct {
	schedule schedule
	begun    time.Time

	mu     sync.Mutex
	rows   map[string]*row
	away   []absence
	served []served
	// answers are those of keyed confirmations by key, done those requests without a key that were answered.
	answers map[string][]answer
	done    []string
	// notRun are the requests of which the callers heard that they did not run.
	notRun []string
}

func newRecords(faults string, drawn schedule) *records {
	r := &records{schedule: drawn, begun: time.Now(), rows: map[string]*row{}, answers: map[string][]answer{}}
	for _, promise := range promises {
		r.rows[promise] = &row{promise: promise, faults: faults}
	}
	return r
}

func (r *records) violate(promise, format string, arguments ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.rows[promise].violate("%s: %s", time.Now().Format(time.StampMilli), fmt.Sprintf(format, arguments...))
}

func (r *records) run(promise string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.rows[promise].runs++
}

func (r *records) leave(h *host, killed bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.away = append(r.away, absence{host: h, at: time.Now(), killed: killed})
}

func (r *records) serve(begun time.Time, delivered, atMost int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.served = append(r.served, served{begun: begun, ended: time.Now(), delivered: delivered, atMost: atMost})
}

// answer keeps the answer to a confirmation; key is empty when it had none.
func (r *records) answer(key, request string, got answer) {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case key != "":
		r.answers[key] = append(r.answers[key], got)
	case got.status == http.StatusOK:
		r.done = append(r.done, request)
	}
	if got.runState == "not_run" {
		r.notRun = append(r.notRun, request)
	}
}

func (r *records) refusal(request string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.notRun = append(r.notRun, request)
}

// bounds returns between what a report of all usage must be: what was delivered, less what
// killed hosts may have held, and what can have been made.
func (r *records) bounds() (least, most int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, s := range r.served {
		most += s.atMost
		if !r.held(s) {
			least += s.delivered
		}
	}
	return least, most
}

func (r *records) held(s served) bool {
	for _, kill := range r.away {
		if kill.killed && s.begun.Before(kill.at) && s.ended.After(kill.at.Add(-r.holds(kill))) {
			return true
		}
	}
	return false
}

// holds returns how long before its death the host may have held counts alone.
func (r *records) holds(kill absence) time.Duration {
	alone := heldAlone + r.writesLate(kill)
	for _, other := range r.away {
		if other.host.centre == kill.host.centre && other.at.Before(kill.at) && other.at.After(kill.at.Add(-alone-longestFault)) {
			return alone
		}
	}
	return heldFor
}

// writesLate returns how long in all the data centre could not write to the key-value service before the kill.
func (r *records) writesLate(kill absence) time.Duration {
	late := time.Duration(0)
	for _, fault := range r.schedule {
		if fault.target == "keyvalue" || fault.target == "platform/"+kill.host.centre {
			late += max(0, min(fault.length, kill.at.Sub(r.begun.Add(fault.at))))
		}
	}
	return late
}

// wrongToken returns the first token of the text that the request should not have got; empty if there is none.
func wrongToken(prompt, text string) (tokens int, wrong string) {
	hash := xxhash.Sum64String("user\n"+prompt+"\n") & 0xffff
	for i, token := range strings.Fields(text) {
		if token != fmt.Sprintf("w%d-%04x", i, hash) {
			return i, token
		}
	}
	return len(strings.Fields(text)), ""
}
