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
