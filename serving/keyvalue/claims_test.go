package keyvalue

import (
	"context"
	"crypto/sha256"
	"errors"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
	"pgregory.net/rapid"

	"github.com/arbutuswinch/winch"
)

func begin() time.Time { return time.Date(2026, 5, 1, 9, 0, 0, 0, time.UTC) }

func newClaims(t assert.TestingT, store winch.KeyValue, owner string, change func(*Options)) *Claims {
	options := Options{
		Store: store, Owner: winch.Incarnation(owner), Logger: hclog.NewNullLogger(),
		Shards: 1, WriteRate: 1 << 20, GroupDelay: 100 * time.Microsecond, Timeout: 200 * time.Millisecond, Retention: time.Minute,
	}
	if change != nil {
		change(&options)
	}
	claims, err := New(options)
	assert.NilError(t, err)
	return claims
}

func keyed(key, body string) winch.ClaimRequest {
	return winch.ClaimRequest{
		Organisation: "o", Route: "booking", Key: winch.IdempotencyKey(key), BodyHash: sha256.Sum256([]byte(body)),
	}
}

func answerOf(body string) winch.Claim {
	return winch.Claim{State: winch.ClaimFinished, Status: 200, ContentType: "text/plain", Body: []byte(body)}
}

func assertState(t *testing.T, c *Claims, now time.Time, request winch.ClaimRequest, want winch.ClaimState) winch.Claim {
	t.Helper()
	claim, err := c.Acquire(t.Context(), now, request)
	assert.NilError(t, err)
	assert.Equal(t, claim.State, want)
	return claim
}

func TestClaims(t *testing.T) {
	now := begin()
	t.Run("a second host learns of a claim and of its answer", func(t *testing.T) {
		store := newStore()
		one, two := newClaims(t, store, "one", nil), newClaims(t, store, "two", nil)
		assertState(t, one, now, keyed("k", "b"), winch.ClaimGranted)
		assertState(t, two, now, keyed("k", "b"), winch.ClaimPending)
		assertState(t, two, now, keyed("k", "other"), winch.ClaimMismatch)
		assert.NilError(t, one.Finish(t.Context(), now, keyed("k", "b"), answerOf("yes")))
		claim := assertState(t, two, now, keyed("k", "b"), winch.ClaimFinished)
		assert.DeepEqual(t, claim, answerOf("yes"))
	})
	t.Run("an abandoned claim can be taken retryCopy", func(t *testing.T) {
		store := newStore()
		one, two := newClaims(t, store, "one", nil), newClaims(t, store, "two", nil)
		assertState(t, one, now, keyed("k", "b"), winch.ClaimGranted)
		assert.NilError(t, one.Abandon(t.Context(), now, keyed("k", "b")))
		assertState(t, two, now, keyed("k", "b"), winch.ClaimGranted)
	})
	t.Run("the claim of a dead host stays until its retention is over", func(t *testing.T) {
		store := newStore()
		assertState(t, newClaims(t, store, "dead", nil), now, keyed("k", "b"), winch.ClaimGranted)
		two := newClaims(t, store, "two", nil)
		assertState(t, two, now.Add(59*time.Second), keyed("k", "b"), winch.ClaimPending)
		assertState(t, two, now.Add(61*time.Second), keyed("k", "b"), winch.ClaimGranted)
	})
	t.Run("a large answer is not kept, only that there was one", func(t *testing.T) {
		one := newClaims(t, newStore(), "one", nil)
		assertState(t, one, now, keyed("k", "b"), winch.ClaimGranted)
		assert.NilError(t, one.Finish(t.Context(), now, keyed("k", "b"), answerOf(strings.Repeat("x", 5000))))
		assert.Equal(t, assertState(t, one, now, keyed("k", "b"), winch.ClaimFinished).Status, 0)
	})
}

func TestGroups(t *testing.T) {
	store := newStore()
	one := newClaims(t, store, "one", func(o *Options) { o.GroupDelay = 20 * time.Millisecond })
	group := sync.WaitGroup{}
	for number := range 200 {
		group.Go(func() {
			_, err := one.Acquire(t.Context(), begin(), keyed(fmt.Sprint(number), "b"))
			assert.Check(t, err)
		})
	}
	group.Wait()
	assert.Assert(t, store.puts <= 20, "200 claims took %d writes", store.puts)
}

func TestWriteRate(t *testing.T) {
	store := newStore()
	one := newClaims(t, store, "one", func(o *Options) { o.WriteRate = 50 })
	begun, group := time.Now(), sync.WaitGroup{}
	for number := range 100 {
		group.Go(func() {
			_, err := one.Acquire(t.Context(), begin(), keyed(fmt.Sprint(number), "b"))
			assert.Check(t, err)
			assert.Check(t, one.Abandon(t.Context(), begin(), keyed(fmt.Sprint(number), "b")))
		})
	}
	group.Wait()
	allowed := 50*time.Since(begun).Seconds() + 2
	assert.Assert(t, float64(store.puts) <= allowed, "%d writes, %.0f allowed", store.puts, allowed)
}

func TestFaults(t *testing.T) {
	now := begin()
	t.Run("a lost answer is resolved by reading back", func(t *testing.T) {
		store := newStore()
		store.faults = []fault{faultLost}
		assertState(t, newClaims(t, store, "one", nil), now, keyed("k", "b"), winch.ClaimGranted)
		assert.Equal(t, store.puts, 1)
	})
	t.Run("a read whose answer is lost is repeated", func(t *testing.T) {
		store := newStore()
		store.lostReads = 2
		assertState(t, newClaims(t, store, "one", nil), now, keyed("k", "b"), winch.ClaimGranted)
	})
	t.Run("a write that did not arrive is repeated", func(t *testing.T) {
		store := newStore()
		store.faults = []fault{faultDropped, faultLimited}
		assertState(t, newClaims(t, store, "one", nil), now, keyed("k", "b"), winch.ClaimGranted)
	})
	t.Run("an outage claims nothing", func(t *testing.T) {
		store := newStore()
		store.setAway(true)
		_, err := newClaims(t, store, "one", nil).Acquire(t.Context(), now, keyed("k", "b"))
		assert.ErrorIs(t, err, winch.ErrUnavailable)
	})
	t.Run("an outage after a lost answer leaves the outcome unknown, and the claim is removed later", func(t *testing.T) {
		store := newStore()
		one := newClaims(t, store, "one", nil)
		assertState(t, one, now, keyed("first", "b"), winch.ClaimGranted)
		store.faults = []fault{faultLost, faultUnavailable}
		lossy := &outageAfterPut{fakeStore: store}
		two := newClaims(t, lossy, "two", nil)
		_, err := two.Acquire(t.Context(), now, keyed("k", "b"))
		assert.ErrorIs(t, err, winch.ErrOutcomeUnknown)
		store.setAway(false)
		poll.WaitOn(t, func(poll.LogT) poll.Result {
			claim, err := one.Acquire(t.Context(), now, keyed("k", "b"))
			if err == nil && claim.State == winch.ClaimGranted {
				return poll.Success()
			}
			return poll.Continue("state %d, error %v", claim.State, err)
		}, poll.WithTimeout(10*time.Second), poll.WithDelay(5*time.Millisecond))
	})
}

// hangingStore answers nothing before the context ends.
type hangingStore struct {
	*fakeStore
	began chan struct{}
}

func (s *hangingStore) Get(ctx context.Context, _ string) (winch.Entry, error) {
	s.began <- struct{}{}
	<-ctx.Done()
	return winch.Entry{}, winch.ErrUnavailable
}

func TestHangingStoreHoldsOneGroup(t *testing.T) {
	store := &hangingStore{fakeStore: newStore(), began: make(chan struct{}, 100)}
	one := newClaims(t, store, "one", nil)
	_, err := one.Acquire(t.Context(), begin(), keyed("first", "b"))
	assert.ErrorIs(t, err, winch.ErrUnavailable)
	<-store.began
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		one.shards[0].mutex.Lock()
		defer one.shards[0].mutex.Unlock()
		if one.shards[0].running {
			return poll.Continue("the first group is not over")
		}
		return poll.Success()
	}, poll.WithTimeout(10*time.Second), poll.WithDelay(time.Millisecond))
	probe := make(chan error, 1)
	go func() {
		_, err := one.Acquire(context.Background(), begin(), keyed("probe", "b"))
		probe <- err
	}()
	<-store.began
	begun := time.Now()
	_, err = one.Acquire(t.Context(), begin(), keyed("second", "b"))
	assert.ErrorIs(t, err, winch.ErrUnavailable)
	assert.Assert(t, time.Since(begun) < one.options.Timeout/2, "the refusal was held")
	assert.ErrorIs(t, <-probe, winch.ErrUnavailable)
}

// outageAfterPut goes away with its first write.
type outageAfterPut struct {
	*fakeStore
	once sync.Once
}

func (s *outageAfterPut) Put(ctx context.Context, key string, value []byte, expect winch.Version) (winch.Version, error) {
	version, err := s.fakeStore.Put(ctx, key, value, expect)
	s.once.Do(func() { s.setAway(true) })
	return version, err
}

func TestSealing(t *testing.T) {
	now := begin()
	store := newStore()
	small := func(o *Options) { o.SealSize = 4 << 10 }
	one, two := newClaims(t, store, "one", small), newClaims(t, store, "two", small)
	assertState(t, one, now, keyed("pending", "b"), winch.ClaimGranted)
	for number := range 60 {
		request := keyed(fmt.Sprint(number), "b")
		assertState(t, one, now, request, winch.ClaimGranted)
		assert.NilError(t, one.Finish(t.Context(), now, request, answerOf(fmt.Sprint(number))))
	}
	t.Run("the head stays small", func(t *testing.T) {
		assert.Assert(t, len(store.entries["claims/0"].Value) < 8<<10)
		assert.Assert(t, len(store.entries) > 2, store.keys())
	})
	t.Run("sealed claims are found by every host", func(t *testing.T) {
		for number := range 60 {
			request := keyed(fmt.Sprint(number), "b")
			assert.DeepEqual(t, assertState(t, two, now, request, winch.ClaimFinished), answerOf(fmt.Sprint(number)))
		}
		assertState(t, two, now, keyed("3", "other"), winch.ClaimMismatch)
		assertState(t, two, now, keyed("pending", "b"), winch.ClaimPending)
	})
	t.Run("expired ones are deleted by batches", func(t *testing.T) {
		later := now.Add(2 * time.Minute)
		assertState(t, two, later, keyed("3", "other"), winch.ClaimGranted)
		assert.Equal(t, store.keys(), "claims/0")
	})
}

// TestSingleGrant lets hosts race for few keys over a store that loses writes and answers.
func TestSingleGrant(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		grants := race(t, false)
		for key, count := range grants {
			assert.Assert(t, count <= 1, "key %s was granted %d times", key, count)
		}
	})
}

func TestSingleGrantNeedsTheWrite(t *testing.T) {
	most := 0
	rapid.Check(t, func(t *rapid.T) {
		for _, count := range race(t, true) {
			most = max(most, count)
		}
	})
	assert.Assert(t, most > 1, "without the write no key was granted twice")
}

func race(t *rapid.T, unguarded bool) map[string]int {
	store := newStore()
	for _, number := range rapid.SliceOfN(rapid.IntRange(0, int(faultLimited)), 0, 12).Draw(t, "faults") {
		store.faults = append(store.faults, fault(number))
	}
	attempts := rapid.SliceOfN(rapid.IntRange(0, 3), 1, 12).Draw(t, "attempts")
	hosts := []*Claims{}
	for _, name := range []string{"one", "two", "three"} {
		hosts = append(hosts, newClaims(t, store, name, func(o *Options) { o.unguarded = unguarded }))
	}
	mutex, grants, group := sync.Mutex{}, map[string]int{}, sync.WaitGroup{}
	for number, key := range attempts {
		group.Go(func() {
			claim, err := hosts[number%len(hosts)].Acquire(context.Background(), begin(), keyed(fmt.Sprint(key), "b"))
			if err == nil && claim.State == winch.ClaimGranted {
				mutex.Lock()
				defer mutex.Unlock()
				grants[fmt.Sprint(key)]++
			}
			assert.Check(t, err == nil || errors.Is(err, winch.ErrUnavailable) || errors.Is(err, winch.ErrOutcomeUnknown))
		})
	}
	group.Wait()
	return grants
}

func FuzzDecodeHead(f *testing.F) {
	f.Add([]byte(`{"Claims":[{"ID":"AAAAAAAAAAAAAAAAAAAAAA==","Hash":"","Finished":true}],"Sealed":[]}`))
	f.Fuzz(func(t *testing.T, value []byte) {
		decoded, err := decodeHead(value)
		if err != nil {
			return
		}
		encoded, err := encodeHead(decoded)
		assert.NilError(t, err)
		_, err = decodeHead(encoded)
		assert.NilError(t, err)
	})
}
