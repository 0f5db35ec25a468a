// Package boottime provides a clock that continues while the machine is suspended
// and is not affected when the wall clock is set.
//
// Its times have no monotonic clock reading of Go's, since that clock stops during a
// suspend. They are based on the wall clock at the creation of the Clock, so that they
// are readable when printed. Times of different Clocks must not be compared.
//
// # Usage
//
//	clock, err := boottime.New()
//	if err != nil {
//		return err
//	}
//	now := clock.Now()
package boottime

import (
	"fmt"
	"time"

	"golang.org/x/sys/unix"

	"github.com/arbutuswinch/winch"
)

// Clock implements winch.Clock over CLOCK_BOOTTIME.
type Clock struct {
	// origin is the wall-clock time at which CLOCK_BOOTTIME was zero.
	origin time.Time
}

var _ winch.Clock = (*Clock)(nil)

// New returns a clock, or an error if the system has no CLOCK_BOOTTIME.
func New() (*Clock, error) {
	boot, err := readBootTime()
	if err != nil {
		return nil, fmt.Errorf("read boot-time clock: %w", err)
	}
	return &Clock{origin: time.Now().Round(0).Add(-boot)}, nil
}

// Now returns the current time.
func (c *Clock) Now() time.Time {
	boot, err := readBootTime()
	if err != nil {
		// The call fails only if the clock does not exist, and New has read it successfully.
		panic(fmt.Sprintf("read boot-time clock: %v", err))
	}
	return c.origin.Add(boot)
}

func readBootTime() (time.Duration, error) {
	now := unix.Timespec{}
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &now); err != nil {
		return 0, err
	}
	return time.Duration(now.Nano()), nil
}
