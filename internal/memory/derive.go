package memory

const (
	// DefaultBudget is the number of bytes of a budget if the memory of the process is not limited.
	DefaultBudget = 512 << 20
	// atRest is the memory in bytes that the Go runtime uses in a process without requests.
	atRest = 24 << 20
	// minBudget is the smallest derived budget. It holds two bodies of 4 MiB.
	minBudget = 16 << 20
	// liveShare is the share in percent of the rest that requests may hold. Bytes that were freed and not yet collected need the
	// other part.
	liveShare = 80
)

// BudgetSize derives the size of a budget from the soft memory limit of the Go runtime. Zero means no limit.
func BudgetSize(softLimit int64) int64 {
	if softLimit <= 0 {
		return DefaultBudget
	}
	return max(minBudget, (softLimit-atRest)/100*liveShare)
}
