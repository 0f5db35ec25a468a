package forwarder

import (
	"fmt"
	"maps"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/arbutuswinch/winch/platform/platformtest"
)

// dutyCall is a call of a duty that the receiver accepted.
type dutyCall struct {
	at     time.Time
	holder string
	// host is the one from whose address the call came. Every host has a receiver's address of its own.
	host   string
	number int64
}

func (c dutyCall) String() string {
	return fmt.Sprintf("%s number %d of %q from %q", c.at.Format("05.000"), c.number, c.holder, c.host)
}

// usageReport is the first accepted report of a window.
type usageReport struct {
	dutyCall
	counts map[string]int64
}

// dutyRecord receives the calls of the duties and checks that one host at a time performs each. It is safe for concurrent use.
type dutyRecord struct {
	// lease is the time within which hosts must not act in the order A, B, A.
	lease time.Duration

	mu sync.Mutex
	// calls holds for each duty and subject the accepted calls in the order of their arrival.
	calls    map[string][]dutyCall
	reports  map[int64]usageReport
	failures []string
	// answer decides what becomes of a call. The default accepts all.
	answer func() dutyAnswer
}

// dutyAnswer is what the receiver does with a call.
type dutyAnswer struct {
	// delay is waited before the call is accepted.
	delay time.Duration
	// status is that of a refusal, zero for a call that is accepted.
	status int
	// lost closes the connection after the call was accepted.
	lost bool
}

func newDutyRecord(lease time.Duration) *dutyRecord {
	return &dutyRecord{lease: lease, calls: map[string][]dutyCall{}, reports: map[int64]usageReport{}, answer: func() dutyAnswer { return dutyAnswer{} }}
}

// of returns the receiver for the calls of one host.
func (d *dutyRecord) of(host string) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { d.receive(w, r, host) })
}

func (d *dutyRecord) receive(w http.ResponseWriter, r *http.Request, host string) {
	received, err := platformtest.DecodeDutyCall(r)
	if err != nil {
		// The call was not completed.
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	d.mu.Lock()
	answer := d.answer()
	d.mu.Unlock()
	<-time.After(answer.delay)
	if answer.status != 0 {
		w.WriteHeader(answer.status)
		return
	}
	d.accept(received, dutyCall{at: time.Now(), holder: received.Holder, host: host, number: received.Number})
	if answer.lost {
		reset(w)
	}
}

func (d *dutyRecord) accept(received platformtest.DutyCall, call dutyCall) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.checkOrder(received.Subject, call)
	d.calls[received.Subject] = append(d.calls[received.Subject], call)
	if received.Counts == nil {
		return
	}
	first, found := d.reports[received.Window]
	if !found {
		d.reports[received.Window] = usageReport{dutyCall: call, counts: received.Counts}
		return
	}
	if !maps.Equal(first.counts, received.Counts) {
		d.fail("window %d: %s reported %v, then %s %v", received.Window, first, first.counts, call, received.Counts)
	}
}

func (d *dutyRecord) fail(format string, arguments ...any) {
	d.failures = append(d.failures, fmt.Sprintf(format, arguments...))
}

// checkOrder checks the call against the earlier ones of the subject.
func (d *dutyRecord) checkOrder(subject string, call dutyCall) {
	var other *dutyCall
	calls := d.calls[subject]
	for i := len(calls) - 1; i >= 0; i-- {
		earlier := calls[i]
		if earlier.host != call.host && earlier.number == call.number {
			d.fail("%s: one number of two hosts: %s, then %s", subject, earlier, call)
		}
		if earlier.number > call.number {
			d.fail("%s: lower number: %s, then %s", subject, earlier, call)
			return
		}
		if call.at.Sub(earlier.at) > d.lease {
			return
		}
		if earlier.host != call.host && other == nil {
			other = &calls[i]
		}
		if earlier.host == call.host && other != nil {
			d.fail("%s: a host acts before and after another: %s, %s, %s", subject, earlier, other, call)
			return
		}
	}
}

// set replaces what becomes of calls.
func (d *dutyRecord) set(answer func() dutyAnswer) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.answer = answer
}

// holders returns the number of terms in which windows were reported, and the number of windows.
func (d *dutyRecord) holders() (terms, windows int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	numbers := map[int64]bool{}
	for _, report := range d.reports {
		numbers[report.number] = true
	}
	return len(numbers), len(d.reports)
}

// actors returns the hosts that acted, the last one first.
func (d *dutyRecord) actors() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	last := map[string]time.Time{}
	for _, calls := range d.calls {
		for _, call := range calls {
			if call.at.After(last[call.host]) {
				last[call.host] = call.at
			}
		}
	}
	return slices.SortedFunc(maps.Keys(last), func(a, b string) int { return last[b].Compare(last[a]) })
}

// terms describes in what order hosts and numbers acted.
func (d *dutyRecord) terms() string {
	d.mu.Lock()
	defer d.mu.Unlock()
	described := &strings.Builder{}
	for subject, calls := range d.calls {
		fmt.Fprintf(described, "%s:", subject)
		for i, call := range calls {
			if i == 0 || call.number != calls[i-1].number || call.host != calls[i-1].host {
				fmt.Fprintf(described, " %s %s %d;", call.at.Format("05.000"), call.host, call.number)
			}
		}
		described.WriteString("\n")
	}
	return described.String()
}

// accepted returns the number of accepted calls.
func (d *dutyRecord) accepted() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	count := 0
	for _, calls := range d.calls {
		count += len(calls)
	}
	return count
}

func (d *dutyRecord) assertOneAtATime(t *testing.T) {
	t.Helper()
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, failure := range d.failures {
		t.Error(failure)
	}
}

// assertNone is assertOneAtATime with a short message.
func (d *dutyRecord) assertNone(t *testing.T) {
	t.Helper()
	d.mu.Lock()
	defer d.mu.Unlock()
	if count := len(d.failures); count > 0 {
		t.Errorf("%d cases, first %s; last %s", count, d.failures[0], d.failures[count-1])
	}
}
