// Package periodic runs a function periodically.
//
// # Usage
//
//	err := periodic.Run(ctx, time.Second, reporter.step)
package periodic

import (
	"context"
	"time"
)

// Run calls step immediately and then once per period until ctx is done. The error is always nil;
// it is returned so that Run fits errgroup.Group.Go.
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

// RunPaced is like Run with a period that may change: period is called before each wait. The
// next call of step begins one period after the start of the previous call, or at once if
// the previous call took longer.
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
