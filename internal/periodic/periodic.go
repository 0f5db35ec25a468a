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

// Run calls step immediately and then once per period until ctx is done. It returns nil.
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

// RunPaced calls step immediately and then one period after the start of the previous
// call, or immediately if that took longer, until ctx is done. It calls period again
// for each interval. It returns nil.
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
