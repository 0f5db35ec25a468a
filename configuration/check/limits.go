package check

import (
	"time"

	"github.com/arbutuswinch/winch/internal/memory"
)

// concurrentBodies is the number of bodies of the maximum size that a host should hold. Several are inside the limits, so clients
// may send them at once.
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

// checkSize checks the size of a request's header or body. The host should hold so many of them at once.
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
	largest := memory.LargestClaim(memory.BudgetSize(memory.SoftLimit(c.options.Memory)))
	switch {
	case *size > largest:
		c.errorf(LimitAboveMemory, path, "a host with %d bytes of memory holds at most %d bytes of requests: it refuses one of %d bytes", c.options.Memory, largest, *size)
	case *size > largest/count:
		c.warnf(LimitNearMemory, path, "a host with %d bytes of memory holds at most %d bytes of requests: fewer than %d of %d bytes", c.options.Memory, largest, count, *size)
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
