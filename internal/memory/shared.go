// Package memory bounds the memory that requests and connections take together.
//
// A Budget is divided among clients and organisations; a Shared is an amount, possibly a part of a budget, that is not.
//
// # Usage
//
//	budget := memory.NewBudget(memory.BudgetSize(softLimit))
//	claim := budget.Open(memory.Holder{Address: address, Rank: memory.RankOrdinary})
//	defer claim.Close()
//	if err := claim.Take(size); err != nil {
//		return err // matches ErrNoMemory
//	}
//
//	shared := budget.Part(16 << 20) // or memory.NewShared(16 << 20)
//	if !shared.Take(size) {
//		return errNoMemory
//	}
//	defer shared.Give(size)
package memory

import "sync/atomic"

// Shared is an amount of memory. It is safe for concurrent use.
type Shared struct {
	left atomic.Int64
	// budget is nil if the amount is no part of a budget.
	budget *Budget
}

// NewShared returns an amount of the given number of bytes that is no part of a budget.
func NewShared(size int64) *Shared {
	m := &Shared{}
	m.left.Store(size)
	return m
}

// Take takes so many bytes and reports whether there were enough. It takes nothing otherwise.
func (m *Shared) Take(size int64) bool {
	if m.left.Add(-size) >= 0 && (m.budget == nil || m.budget.takePart(size)) {
		return true
	}
	m.left.Add(size)
	return false
}

// Give gives back so many bytes.
func (m *Shared) Give(size int64) {
	m.left.Add(size)
	if m.budget != nil && size > 0 {
		m.budget.givePart(size)
	}
}

// Left returns the number of bytes that are left of the amount. A budget of which it is a part may have fewer.
func (m *Shared) Left() int64 { return m.left.Load() }
