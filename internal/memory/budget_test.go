package memory

import (
	"fmt"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

const mebibyte = 1 << 20

func client(number int) netip.Addr { return netip.AddrFrom4([4]byte{10, 0, 0, byte(number)}) }

// fill takes bytes in pieces of the given size, each by a claim of its own, until it is refused.
func fill(b *Budget, holder Holder, piece int64) (taken int64, refusal error) {
	for {
		if refusal = b.Open(holder).Take(piece); refusal != nil {
			return taken, refusal
		}
		taken += piece
	}
}

func TestOneClientLeavesRoomForAnother(t *testing.T) {
	b := NewBudget(40 * mebibyte)
	taken, refusal := fill(b, Holder{Address: client(1), Rank: RankUrgent}, mebibyte)
	assert.ErrorIs(t, refusal, ErrClientShare)
	assert.Equal(t, taken, int64(32*mebibyte), "four fifths")
	another, _ := fill(b, Holder{Address: client(2), Rank: RankUrgent}, mebibyte)
	assert.Assert(t, another >= 3*mebibyte, "%d", another)
}

func TestOneOrganisationLeavesRoomForAnother(t *testing.T) {
	b := NewBudget(40 * mebibyte)
	taken := int64(0)
	var refusal error
	for number := 0; refusal == nil; number++ {
		// Each request comes from an address of its own.
		if refusal = b.Open(Holder{Address: client(number), Organisation: "o-1", Rank: RankUrgent}).Take(mebibyte); refusal == nil {
			taken += mebibyte
		}
	}
	assert.ErrorIs(t, refusal, ErrOrganisationShare)
	assert.Equal(t, taken, int64(32*mebibyte))
	assert.NilError(t, b.Open(Holder{Address: client(99), Organisation: "o-2", Rank: RankUrgent}).Take(mebibyte))
}

func TestSmallClaimsFindRoomBesideLargeOnes(t *testing.T) {
	b := NewBudget(40 * mebibyte)
	for number := range 200 {
		fill(b, Holder{Address: client(number), Rank: RankUrgent}, mebibyte)
	}
	small := 0
	for b.Open(Holder{Address: client(0)}).Take(8<<10) == nil {
		small++
	}
	assert.Assert(t, small > 100, "%d", small)
}

func TestUrgentClaimsFindRoomBesideOthers(t *testing.T) {
	b := NewBudget(40 * mebibyte)
	for number := range 200 {
		fill(b, Holder{Address: client(number)}, mebibyte)
	}
	assert.ErrorIs(t, b.Open(Holder{Address: client(250)}).Take(mebibyte), ErrBudgetFull)
	assert.NilError(t, b.Open(Holder{Address: client(250), Rank: RankUrgent}).Take(mebibyte))
}

func TestEssentialClaimsAreRefusedLast(t *testing.T) {
	b := NewBudget(40 * mebibyte)
	taken, refusal := fill(b, Holder{Address: client(1), Rank: RankEssential}, mebibyte)
	assert.ErrorIs(t, refusal, ErrBudgetFull)
	assert.Equal(t, taken, int64(40*mebibyte))
}

func TestExpectedBytesCount(t *testing.T) {
	b := NewBudget(40 * mebibyte)
	first, second := b.Open(Holder{Address: client(1), Rank: RankUrgent}), b.Open(Holder{Address: client(2), Rank: RankUrgent})
	assert.NilError(t, second.Fits(20*mebibyte))
	first.Expect(40 * mebibyte)
	assert.ErrorIs(t, second.Fits(20*mebibyte), ErrBudgetFull)
	first.Close()
	assert.NilError(t, second.Fits(20*mebibyte))
	assert.Equal(t, b.Usage(), Usage{Size: 40 * mebibyte})
}

func TestTakenBytesAreNoLongerExpected(t *testing.T) {
	b := NewBudget(40 * mebibyte)
	first, second := b.Open(Holder{Address: client(1), Rank: RankUrgent}), b.Open(Holder{Address: client(2), Rank: RankUrgent})
	first.Expect(20 * mebibyte)
	assert.NilError(t, first.TakeExpected(15*mebibyte))
	assert.NilError(t, second.Fits(15*mebibyte))
	assert.ErrorIs(t, second.Fits(16*mebibyte), ErrBudgetFull)
	assert.NilError(t, first.TakeExpected(6*mebibyte))
	assert.NilError(t, second.Fits(14*mebibyte))
}

// TestClaimsDoNotExpectTheSameBytes guards against more bodies at a time than the budget holds, all of which fail before their end.
func TestClaimsDoNotExpectTheSameBytes(t *testing.T) {
	b, expecting := NewBudget(40*mebibyte), atomic.Int64{}
	group := sync.WaitGroup{}
	for number := range 100 {
		group.Go(func() {
			if _, err := b.Open(Holder{Address: client(number), Rank: RankUrgent}).ExpectBriefly(10 * mebibyte); err == nil {
				expecting.Add(1)
			}
		})
	}
	group.Wait()
	assert.Equal(t, expecting.Load(), int64(3), "seven eighths are for large claims")
	_, err := b.Open(Holder{Address: client(200)}).ExpectBriefly(smallClaim)
	assert.NilError(t, err)
}

// TestSlowBodiesKeepNoRoom guards against bodies that are declared and do not arrive, and keep others from being read.
func TestSlowBodiesKeepNoRoom(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := NewBudget(40 * mebibyte)
		slow, other := b.Open(Holder{Address: client(1), Rank: RankUrgent}), b.Open(Holder{Address: client(2), Rank: RankUrgent})
		_, err := slow.ExpectBriefly(30 * mebibyte)
		assert.NilError(t, err)
		assert.ErrorIs(t, other.Fits(10*mebibyte), ErrBudgetFull)
		time.Sleep(expectTime)
		synctest.Wait()
		assert.NilError(t, other.Fits(10*mebibyte))
		stop, err := slow.ExpectBriefly(30 * mebibyte)
		assert.NilError(t, err)
		stop()
		assert.NilError(t, other.Fits(10*mebibyte))
	})
}

func TestStalledClaimsAreFoundOldestFirst(t *testing.T) {
	b, now := NewBudget(40*mebibyte), time.Now()
	var claims []*Claim
	for number := range 4 {
		c := b.Open(Holder{Address: client(number), Rank: RankUrgent})
		assert.NilError(t, c.Take(mebibyte))
		c.Wait(now.Add(time.Duration(number)*time.Second), func() {})
		claims = append(claims, c)
	}
	// The first one has made progress since, and the last one is not old enough.
	claims[0].Wait(now.Add(5*time.Second), func() {})
	since := now.Add(2500 * time.Millisecond)
	assert.Assert(t, slices.Equal(b.Stalled(since, 1), []*Claim{claims[1]}))
	assert.Assert(t, slices.Equal(b.Stalled(since, 9*mebibyte), []*Claim{claims[2]}))
	claims[3].WaitOver()
	assert.Equal(t, len(b.Stalled(now.Add(time.Minute), 9*mebibyte)), 1)
}

func TestPartCountsInTheBudget(t *testing.T) {
	b := NewBudget(4 * mebibyte)
	part := b.Part(8 * mebibyte)
	assert.Assert(t, part.Take(3*mebibyte))
	assert.Assert(t, !part.Take(2*mebibyte))
	assert.Equal(t, part.Left(), int64(5*mebibyte))
	assert.ErrorIs(t, b.Open(Holder{Rank: RankEssential}).Take(2*mebibyte), ErrBudgetFull)
	part.Give(3 * mebibyte)
	assert.Equal(t, b.Usage().Used, int64(0))
}

func TestBudgetSize(t *testing.T) {
	assert.Equal(t, BudgetSize(0), int64(DefaultBudget))
	for _, limit := range []int64{112e6, 134e6, 536e6} {
		soft := limit / 10 * 7
		size := BudgetSize(soft)
		assert.Assert(t, size+baseMemory < soft, "%d of %d", size, soft)
		b := NewBudget(size)
		bodies, _ := fill(b, Holder{Address: client(1)}, 4*mebibyte)
		assert.Assert(t, bodies >= 5*4*mebibyte, "several bodies of 4 MiB fit: %d", bodies)
	}
}

// TestBudgetIsNeverExceeded guards against claims that hold more than the budget, and against bytes that are not given back.
func TestBudgetIsNeverExceeded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		size := rapid.Int64Range(1<<16, 1<<26).Draw(t, "size")
		b := NewBudget(size)
		part, partHeld := b.Part(size/2), int64(0)
		held := map[*Claim]int64{}
		var claims []*Claim
		some := func(t *rapid.T) *Claim {
			if len(claims) == 0 {
				t.Skip("no claim")
			}
			return claims[rapid.IntRange(0, len(claims)-1).Draw(t, "claim")]
		}
		amount := rapid.Int64Range(0, size)
		t.Repeat(map[string]func(*rapid.T){
			"open": func(t *rapid.T) {
				claims = append(claims, b.Open(Holder{
					Address: client(rapid.IntRange(0, 3).Draw(t, "client")), Organisation: rapid.SampledFrom([]string{"", "a", "b"}).Draw(t, "organisation"),
					Rank: rapid.SampledFrom([]Rank{RankOrdinary, RankUrgent, RankEssential}).Draw(t, "rank"),
				}))
			},
			"take": func(t *rapid.T) {
				c, bytes := some(t), amount.Draw(t, "bytes")
				if c.Take(bytes) == nil {
					held[c] += bytes
				}
			},
			"take expected": func(t *rapid.T) {
				c, bytes := some(t), amount.Draw(t, "bytes")
				if c.TakeExpected(bytes) == nil {
					held[c] += bytes
				}
			},
			"give": func(t *rapid.T) {
				c, bytes := some(t), amount.Draw(t, "bytes")
				c.Give(bytes)
				held[c] -= min(bytes, held[c])
			},
			"expect":            func(t *rapid.T) { some(t).Expect(amount.Draw(t, "bytes")) },
			"expect if it fits": func(t *rapid.T) { _ = some(t).expectIfFits(amount.Draw(t, "bytes")) },
			"wait":              func(t *rapid.T) { some(t).Wait(time.Unix(rapid.Int64Range(0, 9).Draw(t, "at"), 0), func() {}) },
			"stalled": func(t *rapid.T) {
				for _, c := range b.Stalled(time.Unix(rapid.Int64Range(0, 9).Draw(t, "at"), 0), amount.Draw(t, "bytes")) {
					c.End()
				}
			},
			"close": func(t *rapid.T) {
				c := some(t)
				c.Close()
				held[c] = 0
			},
			"take part": func(t *rapid.T) {
				if bytes := amount.Draw(t, "bytes"); part.Take(bytes) {
					partHeld += bytes
				}
			},
			"give part": func(*rapid.T) {
				part.Give(partHeld)
				partHeld = 0
			},
			"": func(t *rapid.T) {
				total := partHeld
				for _, bytes := range held {
					total += bytes
				}
				if used := b.Usage().Used; used != total || used > size || used < 0 {
					t.Fatalf("%d used, %d held, size %d", used, total, size)
				}
			},
		})
		for _, c := range claims {
			c.Close()
		}
		part.Give(partHeld)
		if b.used != 0 || b.large != 0 || b.expected != 0 || len(b.clients) != 0 || len(b.organisations) != 0 || b.waiting.first != nil {
			t.Fatalf("not all was given back: %s", fmt.Sprint(b.used, b.large, b.expected, len(b.clients), len(b.organisations)))
		}
	})
}
