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
	// softShare is the share of the memory limit that is set as the Go runtime's soft memory limit, at which the garbage collector runs
	// more often. The rest is for the program itself and the kernel's buffers.
	softShare = 0.7
)

// SoftLimit derives the soft memory limit of the Go runtime from the memory limit of the process. Zero means no limit.
func SoftLimit(limit int64) int64 { return int64(float64(limit) * softShare) }

// LargestClaim returns how many bytes a claim that is not urgent can hold if nobody else holds any of a budget of the size.
func LargestClaim(size int64) int64 { return size / 8 * laterShare }

// BudgetSize derives the size of a budget from the soft memory limit of the Go runtime. Zero means no limit.
func BudgetSize(softLimit int64) int64 {
	if softLimit <= 0 {
		return DefaultBudget
	}
	return max(minBudget, (softLimit-atRest)/100*liveShare)
}
