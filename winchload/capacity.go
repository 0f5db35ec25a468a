package main

import (
	"context"
	"fmt"
	"os"
	"time"

	"github.com/arbutuswinch/winch/winchload/capacity"
)

// capacityCommand measures how the cost of the control plane grows with each dimension.
type capacityCommand struct {
	Winchd  string        `arg:"--winchd" default:"bin/winchd" help:"path of the winchd executable" placeholder:"FILE"`
	Standin string        `arg:"--standin" default:"bin/standin" help:"path of the standin executable" placeholder:"FILE"`
	Measure time.Duration `arg:"--measure" default:"20s" help:"time over which each point is measured"`
	Only    string        `arg:"--only" help:"measure only this dimension: 'hosts of a data centre', 'endpoints of a data centre', 'hosts with nine endpoints each', 'organisations', 'changes a second' or 'data centres'" placeholder:"DIMENSION"`
	Out     string        `arg:"--out" default:"out/capacity" help:"directory for settings and logs" placeholder:"DIR"`
}

func (c *capacityCommand) execute(ctx context.Context) error {
	samples, err := capacity.Run(ctx, capacity.Options{
		Winchd: c.Winchd, Standin: c.Standin, Directory: c.Out, Measure: c.Measure, Only: capacity.Dimension(c.Only), Progress: os.Stderr,
	})
	if err != nil {
		return fmt.Errorf("measure capacity: %w", err)
	}
	return capacity.Write(os.Stdout, samples)
}
