package memory

import (
	"errors"
	"fmt"
	"net/netip"
	"sync"
	"time"
)

// The reasons why a claim gets no bytes. All of them but ErrClosed match ErrNoMemory.
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
	// ordinaryShare is the same for large claims that are not urgent, so that urgent ones have some room left.
	ordinaryShare = 6
	// fairShare bounds what the claims of one client or organisation hold: fairShare times the bytes that nobody holds. A single one
	// gets at most four fifths of the budget, two get four ninths each, and so on, so that some bytes are always left for others.
	fairShare = 4
)

// Budget divides a number of bytes among the claims of clients and organisations. It is safe for concurrent use. It does no
// I/O and reads no clock; only Claim.ExpectBriefly starts a timer.
type Budget struct {
	mu   sync.Mutex
	size int64
	// used is the number of bytes that all claims and parts hold, large that of the large claims. expected is the number that claims
	// have announced with Expect.
	used, large, expected int64
	clients               map[netip.Addr]*account
	organisations         map[string]*account
	// waiting lists the claims whose clients have to send bytes, beginning with the one without progress for the longest time.
	waiting claimList
	refused RefusalCounts
}

// RefusalCounts counts refusals by cause.
type RefusalCounts struct {
	Full, Client, Organisation int64
}

// Usage is the state of a budget.
type Usage struct {
	// Size is the number of bytes of the budget, Used the number that is held.
	Size, Used int64
	// Refused counts since the budget was created.
	Refused RefusalCounts
}

// account sums up the claims of one client or organisation.
type account struct {
	// small and large are the bytes that its small and its large claims hold.
	small, large int64
	// claims is the number of open claims.
	claims int
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

// Part returns an amount of at most size bytes. Bytes taken from it are taken from the budget too.
func (b *Budget) Part(size int64) *Shared {
	part := NewShared(size)
	part.budget = b
	return part
}

// takePart takes bytes for a part and reports whether there were enough. They count for no client, since the size of the part
// bounds them.
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

// Stalled returns claims whose clients have sent nothing since the given time, beginning with the one that has waited longest. It
// returns as many as hold and expect the wanted number of bytes together. Further calls do not return them again.
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

// checkTake returns nil if the claim may take so many more bytes, and otherwise the reason. It is called with mu held.
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

// largeLimit returns how many bytes large claims may hold together for a claim of the rank to get more.
func (b *Budget) largeLimit(rank Rank) int64 {
	if rank == RankUrgent {
		return b.size / 8 * largeShare
	}
	return b.size / 8 * ordinaryShare
}

// admits reports whether the account may hold so many more bytes, where free is what is left in the budget afterwards.
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

// CountRefusal counts a request that is refused because Claim.Fits returned err.
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
