package main

import (
	"context"
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/arbutuswinch/winch/winchload/experiment"
	"github.com/arbutuswinch/winch/winchload/result"
	"github.com/arbutuswinch/winch/winchload/table"
)

// pairCommand compares all combinations of the policies and builds. With each seed, all of them
// receive the same requests.
type pairCommand struct {
	Experiment string        `arg:"--experiment,required" help:"experiment file (JSON)" placeholder:"FILE"`
	Policies   string        `arg:"--policies" default:"Winch,LeastReported" help:"comma-separated policies to compare"`
	Builds     string        `arg:"--builds" default:"bin/winchd" help:"comma-separated winchd executables to compare"`
	Seeds      string        `arg:"--seeds" default:"1,2,3" help:"comma-separated seeds"`
	Duration   time.Duration `arg:"--duration" help:"override the file's duration"`
	Rate       float64       `arg:"--rate" help:"factor by which the file's rate is multiplied"`
	NoFaults   bool          `arg:"--no-faults" help:"do not inject the file's faults"`
	LogLevel   string        `arg:"--log-level" default:"warn" help:"log level of the hosts"`
	deploymentOptions
}

// variant is a combination of a build and a policy to compare.
type variant struct {
	label  string
	build  string
	policy string
}

func (c *pairCommand) variants() []variant {
	builds, out := strings.Split(c.Builds, ","), []variant{}
	for i, build := range builds {
		for _, policy := range strings.Split(c.Policies, ",") {
			label := policy
			if len(builds) > 1 {
				label += "-build" + strconv.Itoa(i+1)
			}
			out = append(out, variant{label: label, build: build, policy: policy})
		}
	}
	return out
}

// execute runs every variant with each seed. It reverses the order of the variants from
// seed to seed, so that gradual changes of the machine's speed do not favour one of them.
func (c *pairCommand) execute(ctx context.Context) error {
	exp, err := experiment.Load(c.Experiment)
	if err != nil {
		return fmt.Errorf("load %s: %w", c.Experiment, err)
	}
	exp = withDurationAndRate(exp, c.Duration, c.Rate)
	seeds, err := parseSeeds(c.Seeds)
	if err != nil {
		return err
	}
	results := []result.Result{}
	for i, seed := range seeds {
		measured, err := c.runner().runSeed(ctx, exp, seed, alternateOrder(c.variants(), i))
		if err != nil {
			return err
		}
		results = append(results, measured...)
	}
	return table.Write(os.Stdout, results)
}

func (c *pairCommand) runner() runner {
	return runner{deploymentOptions: c.deploymentOptions, faults: !c.NoFaults, logLevel: c.LogLevel, probe: true, settle: usageSettle}
}
