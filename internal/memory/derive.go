package memory

const (
	// DefaultBudget is the number of bytes of a budget if the memory of the process is not limited.
	DefaultBudget = 512 << 20
	// baseMemory is the memory in bytes that the Go runtime uses in a process without requests.
	baseMemory = 24 << 20
	// minBudget is the smallest derived budget in bytes. It holds two bodies of 4 MiB, the usual limit.
	minBudget = 16 << 20
	// liveShare is the share in percent of the remaining memory that requests may hold. The rest is for bytes that are no longer used
	// and not collected yet.
	liveShare = 80
	// softShare is the share of the process's memory limit that becomes the Go runtime's soft memory limit. Close to it, the garbage
	// collector runs more often. The rest is for the program itself and the kernel's buffers.
	softShare = 0.7
)

// SoftLimit derives the soft memory limit of the Go runtime from the memory limit of the process, both in bytes. Zero means no limit.
func SoftLimit(limit int64) int64 { return int64(float64(limit) * softShare) }

// LargestClaim returns how many bytes a claim that is not urgent can hold in an otherwise unused budget of the given size in bytes.
func LargestClaim(size int64) int64 { return size / 8 * ordinaryShare }

// BudgetSize derives the size of a budget from the soft memory limit of the Go runtime, both in bytes. A limit of zero means none, and
// gives DefaultBudget.
func BudgetSize(softLimit int64) int64 {
	if softLimit <= 0 {
		return DefaultBudget
	}
	return max(minBudget, (softLimit-baseMemory)/100*liveShare)
}
