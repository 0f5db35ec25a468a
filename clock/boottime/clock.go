// Package boottime is a clock whose readings include the time that the machine
// spent suspended, and which is not moved when the wall clock is set.
//
// Readings carry no monotonic part of Go's, as that one stops during a suspend.
// They start from the wall clock at the clock's creation, so that they print
// well; compare only readings of one Clock.
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
	// origin is the wall-clock instant that belongs to a boot time of zero.
	origin time.Time
}

var _ winch.Clock = (*Clock)(nil)

// New returns a clock, or an error when the system has no boot-time clock.
func New() (*Clock, error) {
	boot, err := readBootTime()
	if err != nil {
		return nil, fmt.Errorf("read boot-time clock: %w", err)
	}
	return &Clock{origin: time.Now().Round(0).Add(-boot)}, nil
}

// Now returns the present time.
func (c *Clock) Now() time.Time {
	boot, err := readBootTime()
	if err != nil {
		// The clock was read in New, and the call cannot fail for another reason than its absence.
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
