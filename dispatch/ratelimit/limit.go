// Package ratelimit keeps the rates that endpoints in need name in their answers: the requests a second that an endpoint takes from all
// hosts together. It does no I/O.
//
// A rate holds until the endpoint answers without one, or starts again. No message is needed to share it out: a hash of endpoint and
// host selects a few of the live hosts as senders, one more than the rate has requests in a second. Each sender gets an equal part of the
// rate and sends one request at a time, without bursts after a pause. The other hosts send nothing. Hosts that know different members
// for a while add at most a few senders.
//
// Hosts tell each other what they have heard. The newest word counts.
//
// A Share divides a rate that all hosts know from elsewhere, such as that of cold endpoints.
//
// # Usage
//
//	limit := ratelimit.Limit{}
//	if limit.Hear(now, sentAt, reply.Rate) {
//		limit.Assign("e1", self, hosts)
//	}
//	if limit.Ready(now) {
//		limit.Sent(now)
//	}
package ratelimit

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/arbutuswinch/winch"
)

const (
	// minRate is used for lower rates, zero among them: without any request nobody would learn that the limit has ended.
	minRate winch.RequestRate = 0.1
	// clockTolerance is the difference above which another host's word counts as newer. A time that is passed on grows by
	// the delay of the messages.
	clockTolerance = 300 * time.Millisecond
	// othersWait is after how long a caller should come back whose host may not send to the endpoint: another host may.
	othersWait = time.Second
	// endedKept is how long other hosts are told that a limit has ended.
	endedKept = 10 * time.Second
)

// Limit is what a host knows of the rate that one run of an endpoint has named. The zero value is that of an endpoint which has named
// none. It must not be used concurrently.
type Limit struct {
	word winch.RateWord
	// saidAt is when the endpoint said the word; zero if it never named a rate.
	saidAt time.Time
	// sentAt is when this host sent its last request.
	sentAt time.Time
	// sends is set if this host is one of the senders, which send one request in each interval.
	sends    bool
	interval time.Duration
}

// Told is a word that is passed on to other hosts.
type Told struct {
	Word   winch.RateWord
	SaidAt time.Time
}

// Limited reports whether the endpoint has named a rate that still holds.
func (l *Limit) Limited() bool { return l.word.Limited }

// Rate returns the rate that holds, and this host's part of it. Both are zero without a limit, and the part is zero if this host sends nothing.
func (l *Limit) Rate() (all, own winch.RequestRate) {
	if !l.word.Limited {
		return 0, 0
	}
	if l.sends {
		own = winch.RequestRate(1 / l.interval.Seconds())
	}
	return l.word.Rate, own
}

// Hear processes an answer that arrives now to a request that was sent at sentAt. It reports whether the limit changed.
func (l *Limit) Hear(now, sentAt time.Time, word winch.RateWord) bool {
	switch {
	case !word.Known, !word.Limited && !l.word.Limited:
		return false
	case !word.Limited && !sentAt.After(l.saidAt):
		// The answer may be older than the one that named the rate.
		return false
	}
	changed := word != l.word
	l.word, l.saidAt = word, now
	return changed
}

// Merge processes what another host has heard. It reports whether the limit changed.
func (l *Limit) Merge(told Told) bool {
	if !told.Word.Known || !told.SaidAt.After(l.saidAt.Add(clockTolerance)) {
		return false
	}
	changed := told.Word.Limited != l.word.Limited || told.Word.Limited && told.Word != l.word
	l.word, l.saidAt = told.Word, told.SaidAt
	return changed
}

// Tell returns what other hosts should know, and false if there is nothing.
func (l *Limit) Tell(now time.Time) (Told, bool) {
	if l.saidAt.IsZero() || !l.word.Limited && now.Sub(l.saidAt) > endedKept {
		return Told{}, false
	}
	return Told{Word: l.word, SaidAt: l.saidAt}, true
}

// Assign shares the rate out among the live hosts. It must be called after each change of the limit and of the hosts.
func (l *Limit) Assign(endpoint winch.EndpointID, self winch.HostID, hosts []winch.HostID) {
	l.sends = false
	if !l.word.Limited {
		return
	}
	rate := max(l.word.Rate, minRate)
	count := senders(rate, len(hosts))
	l.sends = rank(endpoint, self, hosts) < count
	l.interval = time.Duration(float64(count) / float64(rate) * float64(time.Second))
}

// senders returns how many of the hosts share the rate.
func senders(rate winch.RequestRate, hosts int) int {
	return max(1, int(min(float64(hosts), 1+float64(rate))))
}

// rank returns how many of the hosts are selected as senders before this one.
func rank(endpoint winch.EndpointID, self winch.HostID, hosts []winch.HostID) int {
	own, ahead := weight(endpoint, self), 0
	for _, host := range hosts {
		if w := weight(endpoint, host); host != self && (w > own || w == own && host < self) {
			ahead++
		}
	}
	return ahead
}

func weight(endpoint winch.EndpointID, host winch.HostID) uint64 {
	return xxhash.Sum64String(string(endpoint) + "\x00" + string(host))
}

// Sent records that this host sends a request.
func (l *Limit) Sent(now time.Time) { l.sentAt = now }

// Ready reports whether this host may send a request now.
func (l *Limit) Ready(now time.Time) bool {
	return !l.word.Limited || l.sends && now.Sub(l.sentAt) >= l.interval
}

// Wait returns the time until a request may be sent, by this host or by another one; zero if this host may send one now.
func (l *Limit) Wait(now time.Time) time.Duration {
	switch {
	case l.Ready(now):
		return 0
	case !l.sends:
		return othersWait
	}
	return l.sentAt.Add(l.interval).Sub(now)
}
