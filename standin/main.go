// Command standin simulates the platform in tests and measurements: the key-value service,
// the order and usage interfaces, the host list, the weight store, model engines and plain
// services. Faults can be injected into each of them.
//
// # Usage
//
//	standin --settings standin.json
//
// Once all parts listen, it prints one line of JSON with the address of each part.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/alexflint/go-arg"
	"github.com/hashicorp/go-hclog"

	"github.com/arbutuswinch/winch/standin/settings"
)

type arguments struct {
	Settings string `arg:"--settings,required" help:"settings file (JSON)" placeholder:"FILE"`
	LogLevel string `arg:"--log-level" default:"info" help:"trace, debug, info, warn, error or off"`
}

// gcPercent is the GC percentage. It is above the default of 100 because the stand-ins
// have a small live heap, allocate a lot and share the machine with the program under test.
const gcPercent = 800

func main() {
	debug.SetGCPercent(gcPercent)
	args := arguments{}
	arg.MustParse(&args)
	logger := hclog.New(&hclog.LoggerOptions{
		Name: "standin", Level: hclog.LevelFromString(args.LogLevel), JSONFormat: true, Output: os.Stderr,
	})
	if err := run(args, logger); err != nil {
		logger.Error("stand-in failed", "Error", err)
		os.Exit(1)
	}
}

func run(args arguments, logger hclog.Logger) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	loaded, err := settings.Load(args.Settings)
	if err != nil {
		return fmt.Errorf("load settings: %w", err)
	}
	running, err := start(ctx, loaded, logger)
	if err != nil {
		return err
	}
	if err := json.NewEncoder(os.Stdout).Encode(running.addresses); err != nil {
		return fmt.Errorf("print addresses: %w", err)
	}
	<-ctx.Done()
	return running.stop()
}
