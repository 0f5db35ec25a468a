// Command standin takes the platform's place in tests and measurements: the
// key-value service, the interfaces for orders and usage, the host list, the
// weight store, model engines and plain services, with faults on request.
//
// # Usage
//
//	standin --settings standin.json
//
// Once everything listens, it prints one line of JSON with the address of each part.
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

// collectPercent lets the heap grow further between collections than usual: the
// stand-ins keep little and allocate much, and share the machine with what is measured.
const collectPercent = 800

func main() {
	debug.SetGCPercent(collectPercent)
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
