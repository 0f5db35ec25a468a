// Package tokenlimit decides whether the memory of an endpoint has room for the tokens of another request. It does no I/O.
//
// An engine keeps the tokens of its running requests in memory, prompts and output. When the memory is full, the engine preempts the newest
// of the least urgent requests in the middle of its stream and prefills it again later. Requests that do not fit therefore wait at the
// hosts. The expected output counts, not the maximum that a request names: that is rarely reached, and the engines would idle.
//
// # Usage
//
//	need := outputs.Expected(hint, maximum) + prompt
//	if account.Fits(need, reserve, account.Drained(wait, hold), overbooking) {
//		account.Own += need
//	}
package tokenlimit

import (
	"time"

	"github.com/arbutuswinch/winch"
)

// Account counts the tokens of the requests at an endpoint. The zero value is that of an endpoint whose capacity is not known.
type Account struct {
	// Capacity is the number of tokens that the endpoint's memory holds; zero if that is not known.
	Capacity winch.Tokens
	// Own are the tokens of this host's requests there, and Others those of the other hosts' requests.
	Own, Others winch.Tokens
}

// Held returns the tokens of all hosts' requests.
func (a *Account) Held() winch.Tokens { return a.Own + a.Others }

// Need returns the tokens that a request with the given prompt and expected output takes, at most the capacity, so that a request which
// overstates them waits for an empty endpoint and not forever. It is zero if the capacity is not known.
func (a *Account) Need(prompt, output winch.Tokens) winch.Tokens {
	if a.Capacity <= 0 {
		return 0
	}
	prompt, output = max(0, prompt), max(0, output)
	return min(min(prompt, a.Capacity)+min(output, a.Capacity/maxOutputDivisor), a.Capacity)
}

// maxOutputDivisor bounds the expected output of one request to a part of the endpoint's capacity. The caller may have overestimated it, and
// the endpoint would idle.
const maxOutputDivisor = 4

// Fits reports whether a request of the given need may be sent. The reserve is room that stays free for others, drained the tokens that
// will be free when the endpoint processes the request (see Drained), and overbooking the factor by which the capacity may be exceeded, at
// least 1. A request always fits at an empty endpoint.
func (a *Account) Fits(need, reserve, drained winch.Tokens, overbooking float64) bool {
	if a.Capacity <= 0 || a.Held() <= 0 {
		return true
	}
	return float64(a.Held()+need+max(0, reserve)-max(0, drained)) <= float64(a.Capacity)*overbooking
}

const (
	// lag is the usual age of a host's figures of the other hosts' requests.
	lag = 500 * time.Millisecond
	// maxDrainedShare bounds the share of the tokens held that counts as free again, since requests end irregularly.
	maxDrainedShare = 0.5
)

// Drained returns the tokens of the requests that are expected to end before the endpoint processes another prompt, which waits there for
// the given time, and before hosts would know of the free room. Requests run for hold on average; zero means that this is not known. A
// prompt that waits takes no memory yet, and without one an endpoint would idle until hosts know that it has room.
func (a *Account) Drained(wait, hold time.Duration) winch.Tokens {
	if hold <= 0 {
		return 0
	}
	return winch.Tokens(min(maxDrainedShare, float64(max(0, wait)+lag)/float64(hold)) * float64(a.Held()))
}

// Slots returns the given slots, or the number of requests of the given mean size that the memory holds if that is less, at least one.
func (a *Account) Slots(slots, mean float64) float64 {
	if a.Capacity <= 0 || mean <= 0 {
		return slots
	}
	return min(slots, max(1, float64(a.Capacity)/mean))
}

// Pool is the memory of all endpoints that serve a class. What the other hosts hold there is known only with a delay, in which all of
// them may send to the same endpoint. While the pool is scarce, each host therefore holds no more than its share of it. The zero value
// admits everything.
type Pool struct {
	Capacity winch.Tokens
	// Others are the tokens of the other hosts' requests. They are not known if Stale is set.
	Others winch.Tokens
	Stale  bool
	// Share is this host's share of the demand.
	Share float64
}

// scarceShare is the share of the pool in use above which it counts as scarce. Below, there is more room than the hosts fill before they
// know of each other's requests.
const scarceShare = 0.75

// Admits reports whether this host may send a request of the given need. own are the tokens of all its requests, ahead those of the requests
// that are at least as urgent as this one, and class those of the requests of the same class. One request of each class may always run,
// since a host's share may be smaller than that.
func (p *Pool) Admits(own, ahead, class, need winch.Tokens, overbooking float64) bool {
	if p.Capacity <= 0 || class <= 0 || !p.Scarce(own) {
		return true
	}
	return float64(ahead+need) <= p.Share*float64(p.Capacity)*overbooking
}

// Scarce reports whether the pool is scarce, if this host holds the given tokens.
func (p *Pool) Scarce(own winch.Tokens) bool {
	return p.Stale || float64(own+p.Others) > scarceShare*float64(p.Capacity)
}
