package ratelimit

import (
	"math"
	"time"

	"github.com/arbutuswinch/winch"
)

const (
	// shareWindow is the time over which the rate must hold.
	shareWindow = time.Second
	// shareJitter is the share by which requests of one host may come closer together at the endpoint than they were sent.
	shareJitter = 0.05
)

// Share is this host's part of a rate of requests to an endpoint. Every host knows the rate, and it must hold within each second. As with a
// Limit, a hash selects a few senders, so that no messages are needed. The hosts must include all that may send, also those that cannot be
// reached at present: hosts that know different sets then send no more than if each knew all. The zero value is that of an endpoint without
// such a rate. It must not be used concurrently.
type Share struct {
	rate     winch.RequestRate
	sentAt   time.Time
	sends    bool
	interval time.Duration
}

// Set divides the rate, in requests a second, among the hosts. There is no limit if the rate is zero. Without hosts this host sends nothing.
func (s *Share) Set(rate winch.RequestRate, endpoint winch.EndpointID, self winch.HostID, hosts []winch.HostID) {
	s.rate, s.sends, s.interval = max(0, rate), false, 0
	if s.rate == 0 || len(hosts) == 0 {
		return
	}
	count := shareSenders(s.rate, len(hosts))
	s.sends = rank(endpoint, self, hosts) < count
	s.interval = time.Duration(float64(count) / float64(s.rate) * float64(time.Second))
}

// shareSenders returns how many of the hosts share the rate: as many as possible, up to one more than the rate has requests in
// shareWindow, if they do not exceed it by more than one request in any such window.
func shareSenders(rate winch.RequestRate, hosts int) int {
	inWindow := float64(rate) * shareWindow.Seconds() * (1 + shareJitter)
	for count := max(1, int(min(float64(hosts), 1+inWindow))); count > 1; count-- {
		if float64(count)*math.Ceil(inWindow/float64(count)) <= inWindow+1 {
			return count
		}
	}
	return 1
}

// Limited reports whether there is a rate.
func (s *Share) Limited() bool { return s.rate > 0 }

// Rate returns the rate of all hosts, and this host's part of it. Both are zero without a rate, and the part is zero if this host sends
// nothing.
func (s *Share) Rate() (all, own winch.RequestRate) {
	if s.sends {
		own = winch.RequestRate(1 / s.interval.Seconds())
	}
	return s.rate, own
}

// Sent records that this host sends a request. It must be called without a rate as well, since one may come into force at any time.
func (s *Share) Sent(now time.Time) { s.sentAt = now }

// Ready reports whether this host may send a request now.
func (s *Share) Ready(now time.Time) bool {
	return s.rate == 0 || s.sends && now.Sub(s.sentAt) >= s.interval
}

// Wait returns the time until a request may be sent, by this host or by another one; zero if this host may send one now.
func (s *Share) Wait(now time.Time) time.Duration {
	switch {
	case s.Ready(now):
		return 0
	case !s.sends:
		return othersWait
	}
	return s.sentAt.Add(s.interval).Sub(now)
}

// Turn returns how long this host waits before it sends one request, if each of the hosts sends one and they take turns at the rate. The rate
// must not be zero.
func Turn(rate winch.RequestRate, endpoint winch.EndpointID, self winch.HostID, hosts []winch.HostID) time.Duration {
	return time.Duration(float64(rank(endpoint, self, hosts)) / float64(rate) * float64(time.Second))
}
