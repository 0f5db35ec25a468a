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

func startTime() time.Time { return time.Date(2026, 5, 1, 9, 0, 0, 0, time.UTC) }

func newClaims(t assert.TestingT, store winch.KeyValue, owner string, configure func(*Options)) *Claims {
	options := Options{
		Store: store, Owner: winch.Incarnation(owner), Logger: hclog.NewNullLogger(),
		Shards: 1, WriteRate: 1 << 20, GroupDelay: 100 * time.Microsecond, Timeout: 200 * time.Millisecond, Retention: time.Minute,
	}
	if configure != nil {
		configure(&options)
	}
	claims, err := New(options)
	assert.NilError(t, err)
	return claims
}

func newRequest(key, body string) winch.ClaimRequest {
	return winch.ClaimRequest{
		Organisation: "o", Route: "booking", Key: winch.IdempotencyKey(key), BodyHash: sha256.Sum256([]byte(body)),
	}
}

func finishedClaim(body string) winch.Claim {
	return winch.Claim{State: winch.ClaimFinished, Status: 200, ContentType: "text/plain", Body: []byte(body)}
}

func assertAcquire(t *testing.T, c *Claims, now time.Time, request winch.ClaimRequest, want winch.ClaimState) winch.Claim {
	t.Helper()
	claim, err := c.Acquire(t.Context(), now, request)
	assert.NilError(t, err)
	assert.Equal(t, claim.State, want)
	return claim
}

func TestClaims(t *testing.T) {
	now := startTime()
	t.Run("another host sees a claim and its response", func(t *testing.T) {
		store := newFakeStore()
		host1, host2 := newClaims(t, store, "one", nil), newClaims(t, store, "two", nil)
		assertAcquire(t, host1, now, newRequest("k", "b"), winch.ClaimGranted)
		assertAcquire(t, host2, now, newRequest("k", "b"), winch.ClaimPending)
		assertAcquire(t, host2, now, newRequest("k", "other"), winch.ClaimMismatch)
		assert.NilError(t, host1.Finish(t.Context(), now, newRequest("k", "b"), finishedClaim("yes")))
		claim := assertAcquire(t, host2, now, newRequest("k", "b"), winch.ClaimFinished)
		assert.DeepEqual(t, claim, finishedClaim("yes"))
	})
	t.Run("an abandoned claim can be acquired again", func(t *testing.T) {
		store := newFakeStore()
		host1, host2 := newClaims(t, store, "one", nil), newClaims(t, store, "two", nil)
		assertAcquire(t, host1, now, newRequest("k", "b"), winch.ClaimGranted)
		assert.NilError(t, host1.Abandon(t.Context(), now, newRequest("k", "b")))
		assertAcquire(t, host2, now, newRequest("k", "b"), winch.ClaimGranted)
	})
	t.Run("the claim of a failed host stays pending until it expires", func(t *testing.T) {
		store := newFakeStore()
		assertAcquire(t, newClaims(t, store, "dead", nil), now, newRequest("k", "b"), winch.ClaimGranted)
		host2 := newClaims(t, store, "two", nil)
		assertAcquire(t, host2, now.Add(59*time.Second), newRequest("k", "b"), winch.ClaimPending)
		assertAcquire(t, host2, now.Add(61*time.Second), newRequest("k", "b"), winch.ClaimGranted)
	})
	t.Run("of a large response only its existence is stored", func(t *testing.T) {
		host1 := newClaims(t, newFakeStore(), "one", nil)
		assertAcquire(t, host1, now, newRequest("k", "b"), winch.ClaimGranted)
		assert.NilError(t, host1.Finish(t.Context(), now, newRequest("k", "b"), finishedClaim(strings.Repeat("x", 5000))))
		assert.Equal(t, assertAcquire(t, host1, now, newRequest("k", "b"), winch.ClaimFinished).Status, 0)
	})
}

func TestGroupedWrites(t *testing.T) {
	store := newFakeStore()
	host1 := newClaims(t, store, "one", func(o *Options) { o.GroupDelay = 20 * time.Millisecond })
	group := sync.WaitGroup{}
	for number := range 200 {
		group.Go(func() {
			_, err := host1.Acquire(t.Context(), startTime(), newRequest(fmt.Sprint(number), "b"))
			assert.Check(t, err)
		})
	}
	group.Wait()
	assert.Assert(t, store.puts <= 20, "200 claims took %d writes", store.puts)
}

func TestWriteRate(t *testing.T) {
	store := newFakeStore()
	host1 := newClaims(t, store, "one", func(o *Options) { o.WriteRate = 50 })
	started, group := time.Now(), sync.WaitGroup{}
	for number := range 100 {
		group.Go(func() {
			_, err := host1.Acquire(t.Context(), startTime(), newRequest(fmt.Sprint(number), "b"))
			assert.Check(t, err)
			assert.Check(t, host1.Abandon(t.Context(), startTime(), newRequest(fmt.Sprint(number), "b")))
		})
	}
	group.Wait()
	// One write for the burst, and one as a margin.
	allowed := 50*time.Since(started).Seconds() + 2
	assert.Assert(t, float64(store.puts) <= allowed, "%d writes, %.0f allowed", store.puts, allowed)
}

func TestFaults(t *testing.T) {
	now := startTime()
	t.Run("a lost response to a write is resolved by reading the head", func(t *testing.T) {
		store := newFakeStore()
		store.faults = []fault{faultResponseLost}
		assertAcquire(t, newClaims(t, store, "one", nil), now, newRequest("k", "b"), winch.ClaimGranted)
		assert.Equal(t, store.puts, 1)
	})
	t.Run("a read whose response is lost is retried", func(t *testing.T) {
		store := newFakeStore()
		store.lostReads = 2
		assertAcquire(t, newClaims(t, store, "one", nil), now, newRequest("k", "b"), winch.ClaimGranted)
	})
	t.Run("a write that did not arrive is retried", func(t *testing.T) {
		store := newFakeStore()
		store.faults = []fault{faultRequestLost, faultRateLimited}
		assertAcquire(t, newClaims(t, store, "one", nil), now, newRequest("k", "b"), winch.ClaimGranted)
	})
	t.Run("nothing is claimed while the store is unavailable", func(t *testing.T) {
		store := newFakeStore()
		store.setUnavailable(true)
		_, err := newClaims(t, store, "one", nil).Acquire(t.Context(), now, newRequest("k", "b"))
		assert.ErrorIs(t, err, winch.ErrUnavailable)
	})
	t.Run("an outage after a lost response leaves the outcome unknown, and the claim is removed later", func(t *testing.T) {
		store := newFakeStore()
		host1 := newClaims(t, store, "one", nil)
		assertAcquire(t, host1, now, newRequest("first", "b"), winch.ClaimGranted)
		// The first write of host2 loses its response; the store is unavailable after it, until
		// setUnavailable(false). The second fault hits the first write after that.
		store.faults = []fault{faultResponseLost, faultUnavailable}
		storeWithOutage := &outageAfterPut{fakeStore: store}
		host2 := newClaims(t, storeWithOutage, "two", nil)
		_, err := host2.Acquire(t.Context(), now, newRequest("k", "b"))
		assert.ErrorIs(t, err, winch.ErrOutcomeUnknown)
		store.setUnavailable(false)
		poll.WaitOn(t, func(poll.LogT) poll.Result {
			claim, err := host1.Acquire(t.Context(), now, newRequest("k", "b"))
			if err == nil && claim.State == winch.ClaimGranted {
				return poll.Success()
			}
			return poll.Continue("state %d, error %v", claim.State, err)
		}, poll.WithTimeout(10*time.Second), poll.WithDelay(5*time.Millisecond))
	})
}

// hangingStore does not respond to reads until their context ends.
type hangingStore struct {
	*fakeStore
	started chan struct{}
}

func (s *hangingStore) Get(ctx context.Context, _ string) (winch.Entry, error) {
	s.started <- struct{}{}
	<-ctx.Done()
	return winch.Entry{}, winch.ErrUnavailable
}

func TestHangingStoreDelaysOneGroup(t *testing.T) {
	store := &hangingStore{fakeStore: newFakeStore(), started: make(chan struct{}, 100)}
	host1 := newClaims(t, store, "one", nil)
	_, err := host1.Acquire(t.Context(), startTime(), newRequest("first", "b"))
	assert.ErrorIs(t, err, winch.ErrUnavailable)
	<-store.started
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		host1.shards[0].mutex.Lock()
		defer host1.shards[0].mutex.Unlock()
		if host1.shards[0].running {
			return poll.Continue("the first group has not ended")
		}
		return poll.Success()
	}, poll.WithTimeout(10*time.Second), poll.WithDelay(time.Millisecond))
	// The probe's group hangs in its read. Meanwhile a further acquisition must be refused at
	// once.
	probe := make(chan error, 1)
	go func() {
		_, err := host1.Acquire(context.Background(), startTime(), newRequest("probe", "b"))
		probe <- err
	}()
	<-store.started
	started := time.Now()
	_, err = host1.Acquire(t.Context(), startTime(), newRequest("second", "b"))
	assert.ErrorIs(t, err, winch.ErrUnavailable)
	assert.Assert(t, time.Since(started) < host1.options.Timeout/2, "the refusal was held")
	assert.ErrorIs(t, <-probe, winch.ErrUnavailable)
}

// outageAfterPut becomes unavailable after its first write.
type outageAfterPut struct {
	*fakeStore
	once sync.Once
}

func (s *outageAfterPut) Put(ctx context.Context, key string, value []byte, expect winch.Version) (winch.Version, error) {
	version, err := s.fakeStore.Put(ctx, key, value, expect)
	s.once.Do(func() { s.setUnavailable(true) })
	return version, err
}

func TestSealing(t *testing.T) {
	now := startTime()
	store := newFakeStore()
	smallHeads := func(o *Options) { o.SealSize = 4 << 10 }
	host1, host2 := newClaims(t, store, "one", smallHeads), newClaims(t, store, "two", smallHeads)
	assertAcquire(t, host1, now, newRequest("pending", "b"), winch.ClaimGranted)
	for number := range 60 {
		request := newRequest(fmt.Sprint(number), "b")
		assertAcquire(t, host1, now, request, winch.ClaimGranted)
		assert.NilError(t, host1.Finish(t.Context(), now, request, finishedClaim(fmt.Sprint(number))))
	}
	t.Run("the head stays small", func(t *testing.T) {
		assert.Assert(t, len(store.entries["claims/0"].Value) < 8<<10)
		assert.Assert(t, len(store.entries) > 2, store.keys())
	})
	t.Run("sealed claims are found by every host", func(t *testing.T) {
		for number := range 60 {
			request := newRequest(fmt.Sprint(number), "b")
			assert.DeepEqual(t, assertAcquire(t, host2, now, request, winch.ClaimFinished), finishedClaim(fmt.Sprint(number)))
		}
		assertAcquire(t, host2, now, newRequest("3", "other"), winch.ClaimMismatch)
		assertAcquire(t, host2, now, newRequest("pending", "b"), winch.ClaimPending)
	})
	t.Run("expired sealed entries are deleted", func(t *testing.T) {
		later := now.Add(2 * time.Minute)
		assertAcquire(t, host2, later, newRequest("3", "other"), winch.ClaimGranted)
		assert.Equal(t, store.keys(), "claims/0")
	})
}

// TestSingleGrant checks that no key is granted twice when hosts race for a few keys over a
// store that loses requests and responses.
func TestSingleGrant(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		grants := raceForClaims(t, false)
		for key, count := range grants {
			assert.Assert(t, count <= 1, "key %s was granted %d times", key, count)
		}
	})
}

func TestSingleGrantNeedsTheWrite(t *testing.T) {
	maxGrants := 0
	rapid.Check(t, func(t *rapid.T) {
		for _, count := range raceForClaims(t, true) {
			maxGrants = max(maxGrants, count)
		}
	})
	assert.Assert(t, maxGrants > 1, "without the write no key was granted twice")
}

func raceForClaims(t *rapid.T, skipWrites bool) map[string]int {
	store := newFakeStore()
	for _, number := range rapid.SliceOfN(rapid.IntRange(0, int(faultRateLimited)), 0, 12).Draw(t, "faults") {
		store.faults = append(store.faults, fault(number))
	}
	attempts := rapid.SliceOfN(rapid.IntRange(0, 3), 1, 12).Draw(t, "attempts")
	hosts := []*Claims{}
	for _, name := range []string{"one", "two", "three"} {
		hosts = append(hosts, newClaims(t, store, name, func(o *Options) { o.skipWrites = skipWrites }))
	}
	mutex, grants, group := sync.Mutex{}, map[string]int{}, sync.WaitGroup{}
	for number, key := range attempts {
		group.Go(func() {
			claim, err := hosts[number%len(hosts)].Acquire(context.Background(), startTime(), newRequest(fmt.Sprint(key), "b"))
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
