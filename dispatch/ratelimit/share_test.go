package ratelimit

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/arbutuswinch/winch"
)

// newShares returns the shares of a rate at several hosts.
func newShares(count int, rate winch.RequestRate) []Share {
	shares, hosts := make([]Share, count), hostNames(count)
	for i := range shares {
		shares[i].Set(rate, "e", hosts[i], hosts)
	}
	return shares
}

// sendShares lets each host send as often as it may for the given time, and returns the times.
func sendShares(shares []Share, from time.Time, length time.Duration) []time.Time {
	var sent []time.Time
	for now := from; now.Before(from.Add(length)); now = now.Add(5 * time.Millisecond) {
		for i := range shares {
			if shares[i].Ready(now) {
				shares[i].Sent(now)
				sent = append(sent, now)
			}
		}
	}
	return sent
}

func mostInASecond(sent []time.Time) int {
	most := 0
	for i, from := range sent {
		count := 0
		for _, at := range sent[i:] {
			if at.Sub(from) >= time.Second {
				break
			}
			count++
		}
		most = max(most, count)
	}
	return most
}

// TestSharesKeepTheRateInEachSecond guards against senders that send at the same moments, so that their sum exceeds the rate.
func TestSharesKeepTheRateInEachSecond(t *testing.T) {
	for _, hosts := range []int{1, 2, 5, 6, 10, 11, 12, 13, 40, 77, 400} {
		for _, rate := range []winch.RequestRate{0.4, 1, 3, 11, 11.7, 55} {
			t.Run(fmt.Sprintf("%d hosts, %g a second", hosts, float64(rate)), func(t *testing.T) {
				sent := sendShares(newShares(hosts, rate), start, 10*time.Second)
				most := mostInASecond(sent)
				assert.Assert(t, float64(most) <= float64(rate)*(1+shareJitter)+1, "%d in a second", most)
				assert.Assert(t, float64(len(sent)) >= 0.85*10*float64(rate), "%d sent: the rate is used", len(sent))
			})
		}
	}
}

func TestShare(t *testing.T) {
	t.Run("without a rate there is no limit", func(t *testing.T) {
		share := Share{}
		assert.Assert(t, !share.Limited() && share.Ready(start) && share.Wait(start) == 0)
	})
	t.Run("a host that has sent before the rate came into force waits", func(t *testing.T) {
		share := Share{}
		share.Sent(start)
		share.Set(2, "e", "h", []winch.HostID{"h"})
		assert.Assert(t, !share.Ready(start) && share.Wait(start) == 500*time.Millisecond)
		assert.Assert(t, share.Ready(start.Add(500*time.Millisecond)))
	})
	t.Run("a pause is not made up for", func(t *testing.T) {
		shares := newShares(77, 11)
		sendShares(shares, start, 2*time.Second)
		assert.Assert(t, mostInASecond(sendShares(shares, start.Add(time.Minute), 3*time.Second)) <= 12)
	})
	t.Run("without hosts nothing is sent", func(t *testing.T) {
		share := Share{}
		share.Set(11, "e", "h", nil)
		assert.Assert(t, share.Limited() && !share.Ready(start) && share.Wait(start) == othersWait)
		_, own := share.Rate()
		assert.Equal(t, own, winch.RequestRate(0))
	})
	t.Run("turns follow one another along the rate", func(t *testing.T) {
		hosts, turns := hostNames(77), map[time.Duration]bool{}
		for _, host := range hosts {
			turn := Turn(11, "e", host, hosts)
			assert.Assert(t, turn <= 7*time.Second && !turns[turn])
			turns[turn] = true
		}
	})
}
