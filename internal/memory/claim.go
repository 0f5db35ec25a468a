package memory

import (
	"net/netip"
	"time"
)

// Rank orders claims when bytes are scarce.
type Rank int

// The ranks of claims.
const (
	// RankOrdinary is the rank of claims whose class is not known, or not the most urgent one.
	RankOrdinary Rank = iota
	// RankUrgent is the rank of requests of the most urgent class. A part of the budget is reserved for it.
	RankUrgent
	// RankEssential is the rank of connections without which the host cannot work. They are refused only if the budget is used up.
	RankEssential
)

// Claim is the bytes that one connection or request holds. Its methods are safe for concurrent use.
type Claim struct {
	budget *Budget
	holder Holder
	// client is nil once the claim is closed. organisation is nil then too, and if the holder has none.
	client, organisation *account
	// held is the number of bytes that the claim holds, expected the number announced with Expect.
	held, expected int64
	// large is set if held is above smallClaim.
	large bool
	// end is the function given to Wait, and progressAt the time.
	end        func()
	progressAt time.Time
	// previous and next are the neighbours in Budget.waiting, and listed is set while the claim is in it.
	previous, next *Claim
	listed         bool
}

// Holder is on whose behalf bytes are taken.
type Holder struct {
	// Address is that of the client, without a port.
	Address netip.Addr
	// Organisation is empty if none is known.
	Organisation string
	Rank         Rank
}

// Open returns a claim that holds no bytes. It has to be closed.
func (b *Budget) Open(holder Holder) *Claim {
	b.mu.Lock()
	defer b.mu.Unlock()
	c := &Claim{budget: b, holder: holder, client: b.clients[holder.Address]}
	if c.client == nil {
		c.client = &account{}
		b.clients[holder.Address] = c.client
	}
	c.client.claims++
	if holder.Organisation == "" {
		return c
	}
	if c.organisation = b.organisations[holder.Organisation]; c.organisation == nil {
		c.organisation = &account{}
		b.organisations[holder.Organisation] = c.organisation
	}
	c.organisation.claims++
	return c
}

// Take takes so many more bytes. If it returns an error, it has taken nothing. The error matches ErrNoMemory, or ErrClosed if the claim
// is closed.
func (c *Claim) Take(size int64) error {
	c.budget.mu.Lock()
	defer c.budget.mu.Unlock()
	return c.take(size)
}

func (c *Claim) take(size int64) error {
	if c.client == nil {
		return ErrClosed
	}
	if err := c.budget.checkTake(c, size); err != nil {
		c.budget.countRefusal(err)
		return err
	}
	c.budget.move(c, size)
	return nil
}

// TakeExpected takes bytes as Take does. The claim then expects so many less.
func (c *Claim) TakeExpected(size int64) error {
	c.budget.mu.Lock()
	defer c.budget.mu.Unlock()
	if err := c.take(size); err != nil {
		return err
	}
	c.expect(max(0, c.expected-size))
	return nil
}

// Fits returns nil if Take of so many bytes would succeed even after the claims had taken the bytes that they expect. The expected
// bytes are ignored if the claim stays small. Fits takes nothing and counts no refusal. Its errors are those of Take.
func (c *Claim) Fits(size int64) error {
	c.budget.mu.Lock()
	defer c.budget.mu.Unlock()
	return c.fits(size)
}

func (c *Claim) fits(size int64) error {
	b := c.budget
	if c.client == nil {
		return ErrClosed
	}
	if c.held+size > smallClaim {
		// Expected bytes count as held for the whole budget, but in no account.
		b.used += b.expected
		b.large += b.expected
		defer func() {
			b.used -= b.expected
			b.large -= b.expected
		}()
	}
	return b.checkTake(c, size)
}

// expectTime is how long ExpectBriefly keeps room. A body that arrives more slowly would keep it from others.
const expectTime = 2 * time.Second

// ExpectBriefly announces so many bytes if Fits returns nil for them, and otherwise returns the error of Fits. Claims that do so at the same
// time do not count on the same bytes. The announcement ends after two seconds, or when stop is called.
func (c *Claim) ExpectBriefly(size int64) (stop func(), err error) {
	if err := c.expectIfFits(size); err != nil {
		return nil, err
	}
	timer := time.AfterFunc(expectTime, func() { c.Expect(0) })
	return func() {
		timer.Stop()
		c.Expect(0)
	}, nil
}

func (c *Claim) expectIfFits(size int64) error {
	c.budget.mu.Lock()
	defer c.budget.mu.Unlock()
	if err := c.fits(size); err != nil {
		return err
	}
	c.expect(size)
	return nil
}

// Expect sets how many bytes the claim is expected to take soon. Fits counts them.
func (c *Claim) Expect(size int64) {
	c.budget.mu.Lock()
	defer c.budget.mu.Unlock()
	c.expect(size)
}

func (c *Claim) expect(size int64) {
	if c.client == nil {
		return
	}
	c.budget.expected += size - c.expected
	c.expected = size
}

// Give gives back so many bytes of those that the claim holds.
func (c *Claim) Give(size int64) {
	c.budget.mu.Lock()
	defer c.budget.mu.Unlock()
	c.budget.move(c, -min(size, c.held))
}

// Held returns the number of bytes that the claim holds.
func (c *Claim) Held() int64 {
	c.budget.mu.Lock()
	defer c.budget.mu.Unlock()
	return c.held
}

// Wait records that the client, which has made progress now, has to send more. Until WaitOver, Budget.Stalled may return the claim;
// its caller then calls End, which calls end.
func (c *Claim) Wait(now time.Time, end func()) {
	c.budget.mu.Lock()
	defer c.budget.mu.Unlock()
	c.end = end
	c.progressAt = now
	if c.client == nil {
		return
	}
	c.budget.waiting.moveToEnd(c)
}

// WaitOver records that nothing more is expected of the client.
func (c *Claim) WaitOver() {
	c.budget.mu.Lock()
	defer c.budget.mu.Unlock()
	c.budget.waiting.remove(c)
}

// End calls the function that was last given to Wait. It must not be called before Wait.
func (c *Claim) End() {
	c.budget.mu.Lock()
	end := c.end
	c.budget.mu.Unlock()
	end()
}

// Close gives back all bytes. A claim may be closed more than once.
func (c *Claim) Close() {
	b := c.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if c.client == nil {
		return
	}
	b.move(c, -c.held)
	c.expect(0)
	b.waiting.remove(c)
	if c.client.claims--; c.client.claims == 0 {
		delete(b.clients, c.holder.Address)
	}
	if c.organisation != nil {
		if c.organisation.claims--; c.organisation.claims == 0 {
			delete(b.organisations, c.holder.Organisation)
		}
	}
	c.client, c.organisation = nil, nil
}

// move changes what the claim holds by size bytes, which is negative if it gives bytes back. It is called with mu held.
func (b *Budget) move(c *Claim, size int64) {
	if c.client == nil {
		return
	}
	after := c.held + size
	large := after > smallClaim
	for _, a := range []*account{c.client, c.organisation} {
		if a != nil {
			a.add(-c.held, c.large)
			a.add(after, large)
		}
	}
	if c.large {
		b.large -= c.held
	}
	if large {
		b.large += after
	}
	b.used += size
	c.held, c.large = after, large
}

// claimList is a doubly linked list of claims.
type claimList struct{ first, last *Claim }

func (l *claimList) remove(c *Claim) {
	if !c.listed {
		return
	}
	if c.previous != nil {
		c.previous.next = c.next
	} else {
		l.first = c.next
	}
	if c.next != nil {
		c.next.previous = c.previous
	} else {
		l.last = c.previous
	}
	c.previous, c.next, c.listed = nil, nil, false
}

func (l *claimList) moveToEnd(c *Claim) {
	l.remove(c)
	c.previous, c.listed = l.last, true
	if l.last != nil {
		l.last.next = c
	} else {
		l.first = c
	}
	l.last = c
}
