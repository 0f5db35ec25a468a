package settings

import "fmt"

// Limits limits the resources of the daemon's process.
type Limits struct {
	// Memory is the maximum memory of the process in bytes. Zero means that only GOMEMLIMIT counts, if it is set.
	Memory int64
	// RequestMemory is the maximum memory in bytes that requests and connections hold together. Zero derives it from Memory or
	// GOMEMLIMIT.
	RequestMemory int64
	// Connections is the maximum number of open connections of the caller port. Zero derives it from RequestMemory and the
	// number of descriptors that the process may open.
	Connections int
}

// minRequestMemory is the least memory in bytes with which a body of the usual limit of 4 MiB is served beside small requests.
const minRequestMemory = 8 << 20

func (l Limits) check() []error {
	var problems []error
	if l.Memory < 0 {
		problems = append(problems, fieldError("Limits.Memory", "must not be negative"))
	}
	if l.RequestMemory != 0 && l.RequestMemory < minRequestMemory {
		problems = append(problems, fieldError("Limits.RequestMemory", fmt.Sprintf("must be 0 or at least %d", minRequestMemory)))
	}
	if l.Memory > 0 && l.RequestMemory > l.Memory {
		problems = append(problems, fieldError("Limits.RequestMemory", "must not exceed Limits.Memory"))
	}
	if l.Connections < 0 {
		problems = append(problems, fieldError("Limits.Connections", "must not be negative"))
	}
	return problems
}
