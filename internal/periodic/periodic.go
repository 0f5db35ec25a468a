// Package periodic repeats a step of work.
//
// # Usage
//
//	err := periodic.Run(ctx, time.Second, reporter.step)
package periodic

import (
	"context"
	"time"
)

// Run does the step at once and then every period until ctx ends. It returns nil.
func Run(ctx context.Context, period time.Duration, step func(context.Context)) error {
	ticker := time.NewTicker(period)
	defer ticker.Stop()
	for {
		step(ctx)
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

// RunPaced does the step at once and then one period after the start of the step
// before, or at once when that one took longer, until ctx ends. The period is asked
// for anew each time. It returns nil.
func RunPaced(ctx context.Context, period func() time.Duration, step func(context.Context)) error {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case started := <-timer.C:
			step(ctx)
			timer.Reset(max(0, period()-time.Since(started)))
		}
	}
}
