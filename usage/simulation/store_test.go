package simulation

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"regexp"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/arbutuswinch/winch"
	"github.com/arbutuswinch/winch/usage/keyvalue"
)

const (
	storeTimeout = time.Second
	// maxLate is how late a write may be carried out after its sender has given up.
	maxLate = 5 * time.Second
)

// store is a model of the platform's key-value service. Beyond its protocol it does only what faults selects.
type store struct {
	mu       sync.Mutex
	entries  map[string]winch.Entry
	revision winch.Version
	era      winch.Era
	changes  []change
	faults   faults
	// lastPut is the answer to the last write that was carried out.
	lastPut answer
}

// change is a change of a key: what the store held before it.
type change struct {
	at     time.Time
	key    string
	before winch.Entry
	found  bool
}

type write struct {
	key    string
	value  []byte
	expect winch.Version
	remove bool
}

type answer struct {
	entry   winch.Entry
	entries []winch.Entry
	version winch.Version
	err     error
	// state is what the answer tells of the store. It is nil if the call was not carried out.
	state *state
}

// state is the era and the revision of the store.
type state struct {
	era      winch.Era
	revision winch.Version
}

const firstRevision winch.Version = 100

func newStore(f faults) *store {
	s := &store{entries: map[string]winch.Entry{}, revision: firstRevision, faults: f}
	if f.revisionGoesBack {
		s.era = 1
	}
	return s
}

// apply carries the write out if its condition holds.
func (s *store) apply(w write) answer {
	s.mu.Lock()
	defer s.mu.Unlock()
	before, found := s.entries[w.key]
	if w.expect != winch.VersionAny && before.Version != w.expect {
		return answer{err: fmt.Errorf("put %s: %w", w.key, winch.ErrConflict)}
	}
	s.revision++
	s.changes = append(s.changes, change{at: time.Now(), key: w.key, before: before, found: found})
	if w.remove {
		delete(s.entries, w.key)
	} else {
		s.entries[w.key] = winch.Entry{Key: w.key, Value: slices.Clone(w.value), Version: s.revision}
	}
	s.lastPut = answer{version: s.revision}
	return s.lastPut
}

// asOf returns the entries as they were at the time.
func (s *store) asOf(at time.Time) map[string]winch.Entry {
	entries := maps.Clone(s.entries)
	for _, c := range slices.Backward(s.changes) {
		if c.at.Before(at) {
			break
		}
		if c.found {
			entries[c.key] = c.before
		} else {
			delete(entries, c.key)
		}
	}
	return entries
}

// forget restarts the store with the entries that it had at the time. The revision goes on, unless faults selects otherwise.
func (s *store) forget(at time.Time, prefixes ...string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	old := s.asOf(at)
	for key := range s.entries {
		if !hasPrefix(key, prefixes) {
			old[key] = s.entries[key]
		}
	}
	s.entries = old
	s.changes = nil
	if s.faults.revisionGoesBack {
		s.era++
		s.revision = firstRevision
		for _, entry := range old {
			s.revision = max(s.revision, entry.Version)
		}
	}
}

func hasPrefix(key string, prefixes []string) bool {
	return slices.ContainsFunc(prefixes, func(prefix string) bool { return strings.HasPrefix(key, prefix) })
}

// aged returns the entries as they were before the age, the current ones if it is zero.
func (s *store) aged(age time.Duration) map[string]winch.Entry {
	if age > 0 {
		return s.asOf(time.Now().Add(-age))
	}
	return s.entries
}

func (s *store) get(key string, age time.Duration) answer {
	s.mu.Lock()
	defer s.mu.Unlock()
	entry, found := s.aged(age)[key]
	if !found {
		return answer{err: fmt.Errorf("get %s: %w", key, winch.ErrNotFound)}
	}
	return answer{entry: entry}
}

func (s *store) list(prefix string, age time.Duration) answer {
	s.mu.Lock()
	defer s.mu.Unlock()
	entries := s.aged(age)
	found := []winch.Entry{}
	for _, key := range slices.Sorted(maps.Keys(entries)) {
		if strings.HasPrefix(key, prefix) {
			found = append(found, entries[key])
		}
	}
	return answer{entries: found, version: s.revision}
}

// fate is what happens to a call.
type fate int

const (
	served fate = iota
	// answerLost: the call is carried out, its answer never arrives.
	answerLost
	// late: the call is carried out after the sender has given up, if its condition still holds.
	late
	// dropped: the call is never carried out and not answered.
	dropped
	rejected
	rateLimited
	// reset: the call is carried out or not, and the connection breaks off at once.
	resetBefore
	resetAfter
	fates
)

// view is the store as one component of a process reaches it.
type view struct {
	winch.KeyValue
	store  *store
	host   *process
	random *rand.Rand
}

// draw returns the fate of a call. Writes of the head and of seals are in more danger than others.
func (v *view) draw(endangered bool) fate {
	danger := v.store.faults.danger
	if endangered && danger > 0 && v.random.IntN(danger) == 0 {
		return []fate{answerLost, late, dropped}[v.random.IntN(3)]
	}
	if endangered && v.random.IntN(12) == 0 {
		return []fate{answerLost, late}[v.random.IntN(2)]
	}
	trouble := v.host.machine.trouble()
	if v.random.Float64() >= trouble.share {
		return served
	}
	if trouble.only != served {
		return trouble.only
	}
	return fate(v.random.IntN(int(fates)))
}

func (v *view) latency() time.Duration {
	if v.random.IntN(20) == 0 {
		return spread(v.random, 0, 700*time.Millisecond)
	}
	return spread(v.random, 200*time.Microsecond, 15*time.Millisecond)
}

// call sends a call and waits for its answer. perform carries it out. The host may be paused as soon as an endangered call is sent.
func (v *view) call(ctx context.Context, endangered bool, failure error, perform func(lateCall bool) answer) answer {
	if !v.host.proceed() {
		return answer{err: winch.ErrUnavailable}
	}
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	sent := v.host.eras.Begin()
	answers := make(chan answer, 1)
	there, back, delay, fate := v.latency(), v.latency(), spread(v.random, 0, maxLate), v.draw(endangered)
	go func() {
		time.Sleep(there)
		if got, answered := carryOut(fate, delay, failure, func(lateCall bool) answer { return v.store.stamp(perform(lateCall)) }); answered {
			time.Sleep(back)
			answers <- got
		}
	}()
	if endangered {
		v.host.machine.mayPause(v.random)
	}
	got := answer{err: failure}
	select {
	case got = <-answers:
		got = v.read(sent, got, failure)
	case <-ctx.Done():
	}
	v.host.proceed()
	return got
}

// carryOut carries the call out as its fate demands, and reports whether it is answered.
func carryOut(f fate, delay time.Duration, failure error, perform func(lateCall bool) answer) (answer, bool) {
	switch f {
	case answerLost:
		perform(false)
		return answer{}, false
	case late:
		time.Sleep(delay)
		perform(true)
		return answer{}, false
	case dropped:
		return answer{}, false
	case rejected:
		return answer{err: winch.ErrUnavailable}, true
	case rateLimited:
		return answer{err: winch.ErrRateLimited}, true
	case resetBefore:
		return answer{err: failure}, true
	case resetAfter:
		perform(false)
		return answer{err: failure}, true
	}
	return perform(false), true
}

// age returns how old the state is from which a read is answered.
func (v *view) age(stale bool) time.Duration {
	if !stale || v.random.IntN(4) > 0 {
		return 0
	}
	return spread(v.random, 0, 3*time.Second)
}

func (v *view) Get(ctx context.Context, key string) (winch.Entry, error) {
	age := v.age(v.store.faults.staleGet)
	got := v.call(ctx, false, winch.ErrUnavailable, func(bool) answer { return v.store.get(key, age) })
	return got.entry, got.err
}

func (v *view) List(ctx context.Context, prefix string) ([]winch.Entry, winch.Version, error) {
	age := v.age(v.store.faults.staleList)
	got := v.call(ctx, false, winch.ErrUnavailable, func(bool) answer { return v.store.list(prefix, age) })
	return got.entries, got.version, got.err
}

// formerHolder is the field of the lease's record that names the former holder.
var formerHolder = regexp.MustCompile(`,"Former":"[^"]*"`)

func (v *view) Put(ctx context.Context, key string, value []byte, expect winch.Version) (winch.Version, error) {
	f := v.store.faults
	if f.headUnconditional && strings.HasPrefix(key, headPrefix) {
		expect = winch.VersionAny
	}
	if f.noFormer {
		value = formerHolder.ReplaceAll(value, nil)
	}
	got := v.write(ctx, write{key: key, value: value, expect: expect})
	if f.believeLost && got.err != nil && strings.HasPrefix(key, headPrefix) {
		return v.store.head().Version, nil
	}
	return got.version, got.err
}

func (v *view) Delete(ctx context.Context, key string, expect winch.Version) error {
	return v.write(ctx, write{key: key, expect: expect, remove: true}).err
}

func (v *view) write(ctx context.Context, w write) answer {
	if !isOf(w.expect, v.host.eras.Newest()) {
		return answer{err: fmt.Errorf("put %s: %w", w.key, winch.ErrConflict)}
	}
	expect := w.expect
	w.expect = winch.Version(expect.Revision())
	got := v.send(ctx, w)
	if got.err == nil && !isOf(expect, got.version.Era()) {
		return answer{err: winch.ErrOutcomeUnknown}
	}
	return got
}

func (v *view) send(ctx context.Context, w write) answer {
	f := v.store.faults
	crossed := f.crossedAnswers && v.random.IntN(20) == 0
	return v.call(ctx, hasPrefix(w.key, []string{headPrefix, keyvalue.SealPrefix(shard)}), winch.ErrOutcomeUnknown, func(lateCall bool) answer {
		if lateCall && f.lateUnconditional {
			w.expect = winch.VersionAny
		}
		v.store.mu.Lock()
		other := v.store.lastPut
		v.store.mu.Unlock()
		if crossed {
			return other
		}
		return v.store.apply(w)
	})
}

var headPrefix = strings.TrimRight(keyvalue.HeadKey(shard), "0123456789")

func (s *store) head() winch.Entry { return s.get(keyvalue.HeadKey(shard), 0).entry }

// spread returns a duration between the limits. Its nanoseconds keep two events from happening at once.
func spread(random *rand.Rand, from, to time.Duration) time.Duration {
	return from + time.Duration(random.Int64N(int64(to-from))) + 1
}
