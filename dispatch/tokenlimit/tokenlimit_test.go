package tokenlimit

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/arbutuswinch/winch"
)

func TestAccount(t *testing.T) {
	t.Run("nothing is limited where the capacity is not known", func(t *testing.T) {
		a := Account{Own: 1 << 40}
		assert.Assert(t, a.Fits(1<<40, 0, 0, 1) && a.Need(1000, 1000) == 0)
		assert.Equal(t, a.Slots(64, 9000), 64.0)
	})
	// 237,843 tokens hold 26 requests of 9,000 tokens each, long before 64 slots are in use.
	a := Account{Capacity: 237_843}
	t.Run("memory binds before the slots", func(t *testing.T) {
		count := 0
		for ; a.Fits(9000, 0, 0, 1); count++ {
			a.Own += 9000
		}
		assert.Equal(t, count, 26)
		assert.Assert(t, a.Fits(9000, 0, 0, 2), "urgent requests may overbook")
		assert.Assert(t, a.Fits(3000, 0, 0, 1) && !a.Fits(3000, 9000, 0, 1), "room is kept for a larger one")
		assert.Assert(t, math.Abs(a.Slots(64, 9000)-26.4) < 0.1)
	})
	t.Run("what ends before hosts hear of it is free", func(t *testing.T) {
		assert.Equal(t, a.Drained(0, 0), winch.Tokens(0), "nothing is known of the time that requests run")
		long, short := a.Drained(0, 10*time.Second), a.Drained(time.Second, time.Second)
		assert.Assert(t, long > 0 && long < a.Held()/15 && short <= a.Held()/2, "%d, %d", long, short)
		assert.Assert(t, a.Fits(6000, 0, long, 1) && !a.Fits(2*9000, 0, long, 1))
	})
	t.Run("others count", func(t *testing.T) {
		a := Account{Capacity: 10_000, Others: 9000}
		assert.Assert(t, !a.Fits(2000, 0, 0, 1))
	})
	t.Run("a request that is larger than the memory waits for an empty endpoint", func(t *testing.T) {
		need := a.Need(1<<60, 1<<60)
		assert.Equal(t, need, a.Capacity)
		empty := Account{Capacity: a.Capacity}
		assert.Assert(t, empty.Fits(need, need, 0, 1) && !a.Fits(need, 0, 0, 1))
	})
	t.Run("a hint far off does not idle the endpoint", func(t *testing.T) {
		assert.Assert(t, a.Need(1000, 1<<30) <= 1000+a.Capacity/maxOutputDivisor)
	})
}

func TestPool(t *testing.T) {
	p := Pool{Capacity: 1_000_000, Share: 0.01}
	t.Run("hosts hold what they want while there is room", func(t *testing.T) {
		assert.Assert(t, p.Admits(500_000, 500_000, 500_000, 9000, 1))
	})
	t.Run("and their share while it is scarce", func(t *testing.T) {
		p.Others = 900_000
		assert.Assert(t, p.Admits(900, 900, 900, 9000, 1) && !p.Admits(9000, 9000, 9000, 9000, 1))
		assert.Assert(t, p.Admits(9000, 9000, 9000, 9000, 2), "urgent requests may overbook")
		assert.Assert(t, p.Admits(19_000, 9000, 9000, 900, 1), "less urgent requests do not count")
		assert.Assert(t, p.Admits(9000, 9000, 0, 9000, 1), "the first request of a class is always admitted")
	})
	t.Run("as long as nothing is heard of the others", func(t *testing.T) {
		stale := Pool{Capacity: 1_000_000, Share: 0.01, Stale: true}
		assert.Assert(t, !stale.Admits(9000, 9000, 9000, 9000, 1))
	})
	t.Run("without a known capacity nothing is limited", func(t *testing.T) {
		none := Pool{Stale: true}
		assert.Assert(t, none.Admits(1, 1, 1, 1<<40, 1))
	})
}

func TestOutputs(t *testing.T) {
	o := Outputs{}
	t.Run("before anything is measured", func(t *testing.T) {
		assert.Equal(t, o.Expected(0, 0), winch.Tokens(0))
		assert.Equal(t, o.Expected(0, 800), winch.Tokens(400))
		assert.Equal(t, o.Expected(50, 800), winch.Tokens(50))
		assert.Equal(t, o.Expected(5000, 800), winch.Tokens(800))
		assert.Equal(t, o.Produced(7), winch.Tokens(7))
	})
	// Responses of 150 tokens in 30 events. One hint in five is eight times too large or too small.
	random := rand.New(rand.NewPCG(1, 2))
	for range 600 {
		hint := 150.0
		if random.IntN(5) == 0 {
			hint *= math.Pow(8, float64(2*random.IntN(2)-1))
		}
		o.Observe(winch.Tokens(hint), 30)
	}
	t.Run("events are converted to tokens by the hints", func(t *testing.T) {
		produced := float64(o.Produced(30))
		assert.Assert(t, produced > 110 && produced < 200, "%.0f", produced)
		without := float64(o.Expected(0, 800))
		assert.Assert(t, without > 110 && without < 200, "%.0f", without)
	})
	t.Run("the maximum does not count where the mean is known", func(t *testing.T) {
		assert.Equal(t, o.Expected(0, 100_000), o.Expected(0, 10_000))
	})
}

func TestSumsStayWithinTheCapacity(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a := Account{Capacity: winch.Tokens(rapid.Int64Range(1, 400_000).Draw(t, "capacity")), Others: winch.Tokens(rapid.Int64Range(0, 500_000).Draw(t, "others"))}
		for range rapid.IntRange(1, 60).Draw(t, "requests") {
			need := a.Need(winch.Tokens(rapid.Int64Range(0, 1<<62).Draw(t, "prompt")), winch.Tokens(rapid.Int64Range(0, 1<<62).Draw(t, "output")))
			if need < 0 || need > a.Capacity {
				t.Fatalf("need %d of %d", need, a.Capacity)
			}
			if !a.Fits(need, 0, 0, 1) {
				continue
			}
			a.Own += need
			if a.Held() > a.Capacity {
				t.Fatalf("%d of %d held", a.Held(), a.Capacity)
			}
		}
	})
}
