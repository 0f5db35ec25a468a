package memory

import (
	"errors"
	"fmt"
	"net/netip"
	"sync"
	"time"
)

// Causes for which bytes are refused. All of them but ErrClosed match ErrNoMemory.
var (
	// ErrBudgetFull says that the budget has too few bytes left.
	ErrBudgetFull = fmt.Errorf("%w: the budget is used up", ErrNoMemory)
	// ErrClientShare says that the client's address holds its share.
	ErrClientShare = fmt.Errorf("%w: the client's address holds its share", ErrNoMemory)
	// ErrOrganisationShare says that the organisation holds its share.
	ErrOrganisationShare = fmt.Errorf("%w: the organisation holds its share", ErrNoMemory)
	// ErrClosed says that the claim is closed.
	ErrClosed = errors.New("claim is closed")
)

const (
	// smallClaim is the number of bytes up to which a claim is small.
	smallClaim = 64 << 10
	// largeShare is the share of the budget that large claims may hold together, in eighths. The rest is left for small ones.
	largeShare = 7
	// laterShare is the same for large claims that are not urgent.
	laterShare = 6
	// fairShare bounds what the claims of one client or organisation hold: fairShare times the bytes that nobody holds. One alone
	// gets four fifths of the budget, two get four ninths each, and so on, and another always finds some room.
	fairShare = 4
)

// Budget divides a number of bytes among the claims of clients and organisations. It is safe for concurrent use. It does no
// I/O and reads no clock.
type Budget struct {
	mu   sync.Mutex
	size int64
	// used is held by all claims and parts, large by the large claims, and expected is what large claims still expect.
	used, large, expected int64
	clients               map[netip.Addr]*account
	organisations         map[string]*account
	// waiting are the claims that wait for bytes of their client, the one without progress for the longest time first.
	waiting claimList
	refused RefusalCounts
}

// RefusalCounts counts refusals by cause.
type RefusalCounts struct {
	Full, Client, Organisation int64
}

// Usage is the state of a budget.
type Usage struct {
	// Size is the number of bytes of the budget, Used how many are held.
	Size, Used int64
	Refused    RefusalCounts
}

// account is what the claims of one client or organisation hold.
type account struct {
	small, large int64
	claims       int
}

// NewBudget returns a budget of the given number of bytes.
func NewBudget(size int64) *Budget {
	return &Budget{size: size, clients: map[netip.Addr]*account{}, organisations: map[string]*account{}}
}

// Usage returns the state of the budget.
func (b *Budget) Usage() Usage {
	b.mu.Lock()
	defer b.mu.Unlock()
	return Usage{Size: b.size, Used: b.used, Refused: b.refused}
}

// Part returns an amount of at most size bytes whose bytes count in the budget as well.
func (b *Budget) Part(size int64) *Shared {
	part := NewShared(size)
	part.budget = b
	return part
}

// takePart takes bytes for a part. They belong to no client, since their number is bounded by the size of the part.
func (b *Budget) takePart(size int64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.used+size > b.size {
		return false
	}
	b.used += size
	return true
}

func (b *Budget) givePart(size int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.used -= size
}

// Stalled returns the claims that wait for bytes and had none since the given time, the one that waits longest first, until they
// hold the wanted number of bytes. They are no longer returned by further calls.
func (b *Budget) Stalled(since time.Time, wanted int64) []*Claim {
	b.mu.Lock()
	defer b.mu.Unlock()
	var stalled []*Claim
	for c := b.waiting.first; c != nil && wanted > 0 && c.progressAt.Before(since); c = b.waiting.first {
		b.waiting.remove(c)
		stalled = append(stalled, c)
		wanted -= c.held + c.expected
	}
	return stalled
}

// checkTake returns why the claim may not take so many more bytes, or nil.
func (b *Budget) checkTake(c *Claim, size int64) error {
	after := c.held + size
	large := after > smallClaim
	free := b.size - b.used - size
	if free < 0 {
		return ErrBudgetFull
	}
	if c.holder.Rank == RankEssential {
		return nil
	}
	added := size
	if large && !c.large {
		added = after
	}
	if large && b.large+added > b.largeLimit(c.holder.Rank) {
		return ErrBudgetFull
	}
	if !c.client.admits(added, large, free) {
		return ErrClientShare
	}
	if c.organisation != nil && !c.organisation.admits(added, large, free) {
		return ErrOrganisationShare
	}
	return nil
}

// largeLimit returns how many bytes large claims may hold together.
func (b *Budget) largeLimit(rank Rank) int64 {
	if rank == RankUrgent {
		return b.size / 8 * largeShare
	}
	return b.size / 8 * laterShare
}

// admits reports whether the account may hold so many more bytes, of which free are left afterwards.
func (a *account) admits(size int64, large bool, free int64) bool {
	held := a.small
	if large {
		held = a.large
	}
	return held+size <= fairShare*free
}

func (a *account) add(size int64, large bool) {
	if large {
		a.large += size
		return
	}
	a.small += size
}

// CountRefusal counts a request that is refused because of the result of Claim.Fits.
func (b *Budget) CountRefusal(err error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.countRefusal(err)
}

func (b *Budget) countRefusal(err error) {
	switch {
	case errors.Is(err, ErrClientShare):
		b.refused.Client++
	case errors.Is(err, ErrOrganisationShare):
		b.refused.Organisation++
	default:
		b.refused.Full++
	}
}
