package endpoint

import "time"

// retryBurstTime is the time for which a host may accumulate its share of RetryFloorTotal.
const retryBurstTime = 3 * time.Second

// retryFloor returns how many retries per second this host is always allowed.
func (c *core) retryFloor() float64 {
	if c.settings.RetryFloorTotal <= 0 {
		return c.settings.RetryFloor
	}
	return c.settings.RetryFloorTotal / float64(max(c.maxHostsSeen, c.settings.RetryMinHosts, 1))
}
