package endpoint

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/arbutuswinch/winch"
)

func (tc *testCore) names(id winch.EndpointID, rate winch.RequestRate) {
	tc.observeWord(tc.now, tc.endpoints[id].startedAt, winch.EndpointWord{
		Endpoint: id, Request: "r", SentAt: tc.now, Rate: winch.RateWord{Known: true, Limited: true, Rate: rate},
	})
}

func TestEndpointThatNamesARate(t *testing.T) {
	t.Run("gets one request after the other", func(t *testing.T) {
		tc, _ := newRestCore(PolicyPrefill, 1)
		tc.names("e0", 0.5)
		first := tc.request(interactive, 1)
		assert.Equal(t, first.state, requestRunning)
		tc.release(tc.now, first, winch.OutcomeDone)
		assertUsable(t, tc, "e0", false)
		tc.advance(2 * time.Second)
		assertUsable(t, tc, "e0", true)
	})
	t.Run("is no capacity, and callers are told when to come back", func(t *testing.T) {
		tc, _ := newRestCore(PolicyPrefill, 1)
		l := tc.onlyEndpoint().lanes[0]
		slots := l.slots
		tc.names("e0", 0.2)
		tc.request(interactive, 1)
		tc.refresh(tc.now)
		assert.Assert(t, slots > 0 && l.slots == 0)
		wait := l.restWait(tc.now)
		assert.Equal(t, wait, 5*time.Second)
		assert.Assert(t, tc.retryAfter(tc.now, l, 0) >= wait)
	})
	t.Run("is not ejected for it, and not forgotten when the list comes again", func(t *testing.T) {
		tc, statuses := newRestCore(PolicyPrefill, 1)
		tc.names("e0", 1)
		tc.configure(tc.now, twoClasses(0, 0), statuses)
		assert.Assert(t, tc.endpoints["e0"].named.Limited() && !tc.endpoints["e0"].health.ejected)
	})
	t.Run("is free again once it has started again", func(t *testing.T) {
		tc, statuses := newRestCore(PolicyPrefill, 1)
		tc.names("e0", 1)
		statuses[0].StartedAt = time.UnixMilli(7)
		tc.configure(tc.now, twoClasses(0, 0), statuses)
		assert.Assert(t, !tc.endpoints["e0"].named.Limited())
	})
	t.Run("is left to the hosts that share the rate", func(t *testing.T) {
		tc, _ := newRestCore(PolicyPrefill, 1)
		hosts := []winch.Host{{ID: "a"}, {ID: "b"}, {ID: "c"}, {ID: "d"}, {ID: tc.self.ID}}
		tc.setHosts(hosts, nil)
		tc.names("e0", 1)
		sends := 0
		for _, host := range hosts {
			tc.self = host
			tc.assignRates()
			if _, own := tc.endpoints["e0"].named.Rate(); own > 0 {
				sends++
			}
		}
		assert.Equal(t, sends, 2)
	})
}

func TestHostsTellNamedRates(t *testing.T) {
	heard, _ := newRestCore(PolicyPrefill, 1, 2)
	heard.names("e0", 1.5)
	message := encodeRates(heard.now, heard.toldRates(heard.now))
	tell := func(to *testCore) {
		rates, err := decodeRates(to.now, message)
		assert.NilError(t, err)
		to.mergeRates(to.now, "h", rates)
	}
	t.Run("of the same run", func(t *testing.T) {
		told, _ := newRestCore(PolicyPrefill, 1, 2)
		tell(told)
		rate, _ := told.endpoints["e0"].named.Rate()
		assert.Equal(t, rate, winch.RequestRate(1.5))
		assert.Assert(t, !told.endpoints["e1"].named.Limited())
	})
	t.Run("but not of another run", func(t *testing.T) {
		told, _ := newRestCore(PolicyPrefill, 5, 2)
		tell(told)
		assert.Assert(t, !told.endpoints["e0"].named.Limited())
	})
	t.Run("malformed", func(t *testing.T) {
		for _, message := range []string{"{", `[{"Endpoint":"e","Age":-1}]`, `[{"Endpoint":"e","Age":9223372036854775807}]`, `[{"Endpoint":"e","Rate":-1}]`} {
			_, err := decodeRates(heard.now, []byte(message))
			assert.ErrorIs(t, err, winch.ErrInvalid, message)
		}
	})
}

func FuzzDecodeRates(f *testing.F) {
	f.Add([]byte(`[{"Endpoint":"e","Started":1,"Age":2,"Limited":true,"Rate":1.5}]`))
	f.Fuzz(func(t *testing.T, message []byte) {
		rates, err := decodeRates(time.Unix(1000, 0), message)
		if err != nil {
			assert.ErrorIs(t, err, winch.ErrInvalid)
			return
		}
		tc, _ := newRestCore(PolicyPrefill, 1)
		tc.mergeRates(tc.now, "h", rates)
	})
}
