package check

import (
	"time"

	"github.com/arbutuswinch/winch/internal/memory"
)

// concurrentBodies is the number of bodies of the maximum size that a host should be able to hold. The limits let clients send several
// at once.
const concurrentBodies = 4

func (c *checker) checkLimits() {
	path, limits := Path{}.Field(fieldLimits), &c.configuration.Limits
	c.checkSize(path.Field("HeaderBytes"), limits.HeaderBytes, 1)
	c.checkSize(path.Field("BodyBytes"), limits.BodyBytes, concurrentBodies)
	c.checkTime(path.Field("HeaderTimeout"), limits.HeaderTimeout)
	c.checkTime(path.Field("IdleTimeout"), limits.IdleTimeout)
	if limits.HeaderTimeout != nil && limits.IdleTimeout != nil && *limits.IdleTimeout > 0 && *limits.HeaderTimeout > *limits.IdleTimeout {
		c.add(Finding{
			Severity: Warning, Code: LimitTimesContradict, Path: path.Field("HeaderTimeout"), Other: path.Field("IdleTimeout"),
			Message: "a connection may take longer for the head of a request than it may be idle",
		})
	}
}

// checkSize checks the maximum size in bytes of a request's header or body. A host should be able to hold count of them at once.
func (c *checker) checkSize(path Path, size *int64, count int64) {
	switch {
	case size == nil:
		c.warnf(LimitMissing, path, "the limit is missing: each host applies its own")
		return
	case *size <= 0:
		c.errorf(LimitInvalid, path, "the limit is not positive")
		return
	case c.options.Memory <= 0:
		return
	}
	available := memory.LargestClaim(memory.BudgetSize(memory.SoftLimit(c.options.Memory)))
	switch {
	case *size > available:
		c.errorf(LimitAboveMemory, path, "a host with %d bytes of memory holds at most %d bytes of requests: it refuses one of %d bytes", c.options.Memory, available, *size)
	case *size > available/count:
		c.warnf(LimitNearMemory, path, "a host with %d bytes of memory holds at most %d bytes of requests: fewer than %d of %d bytes", c.options.Memory, available, count, *size)
	}
}

func (c *checker) checkTime(path Path, limit *time.Duration) {
	switch {
	case limit == nil:
		c.warnf(LimitMissing, path, "the limit is missing: clients do not know when connections are closed")
	case *limit <= 0:
		c.errorf(LimitInvalid, path, "the limit is not positive")
	}
}
