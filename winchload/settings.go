package main

import (
	"fmt"

	"github.com/arbutuswinch/winch/winchload/bench"
	"github.com/arbutuswinch/winch/winchload/experiment"
)

type settingsCommand struct {
	Experiment string `arg:"--experiment,required" help:"experiment file (JSON)" placeholder:"FILE"`
	Policy     string `arg:"--policy" default:"Winch" help:"dispatch policy of the hosts"`
	Seed       uint64 `arg:"--seed" default:"1" help:"seed of the stand-ins and hosts"`
	BasePort   int    `arg:"--base-port" default:"7000" help:"first port on the loopback interface"`
	LogLevel   string `arg:"--log-level" default:"info" help:"log level of the hosts"`
	Out        string `arg:"--out,required" help:"directory for the settings files and release note" placeholder:"DIR"`
}

func (c *settingsCommand) execute() error {
	exp, err := experiment.Load(c.Experiment)
	if err != nil {
		return fmt.Errorf("load %s: %w", c.Experiment, err)
	}
	return bench.WriteSettings(bench.Options{
		Experiment: exp, Policy: c.Policy, Seed: c.Seed, BasePort: c.BasePort, LogLevel: c.LogLevel, Directory: c.Out,
	})
}
