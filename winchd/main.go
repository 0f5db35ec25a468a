// Command winchd is the daemon of an entry host. It serves callers, other
// entry hosts and operators.
package main

import (
	"errors"
	"fmt"
	"os"

	"github.com/alexflint/go-arg"
	"github.com/hashicorp/go-hclog"

	"github.com/arbutuswinch/winch/winchd/daemon"
	"github.com/arbutuswinch/winch/winchd/forwarder"
	"github.com/arbutuswinch/winch/winchd/logs"
	"github.com/arbutuswinch/winch/winchd/process"
	"github.com/arbutuswinch/winch/winchd/settings"
)

// version is set by the linker in release builds.
var version = "development"

// The exit codes.
const (
	exitFailed  = 1
	exitUsage   = 2
	exitInvalid = 3
)

type runCommand struct {
	Settings string `arg:"--settings,-s,required" help:"settings file in JSON format" placeholder:"FILE"`
}

type checkCommand struct {
	Settings string `arg:"--settings,-s,required" help:"settings file in JSON format" placeholder:"FILE"`
}

type forwardCommand struct {
	Settings string `arg:"--settings,-s,required,env:ARBUTUSWINCH_SETTINGS" help:"settings file in JSON format" placeholder:"FILE"`
}

type versionCommand struct{}

type arguments struct {
	Run     *runCommand     `arg:"subcommand:run" help:"serve callers, other entry hosts and operators until SIGTERM or SIGINT, then finish open requests and exit"`
	Check   *checkCommand   `arg:"subcommand:check" help:"validate the settings and exit"`
	Forward *forwardCommand `arg:"subcommand:forward" help:"serve callers on the users' platform, by its protocols, until SIGTERM or SIGINT, then finish open requests and exit"`
	Version *versionCommand `arg:"subcommand:version" help:"print the version"`
}

// Description returns the description of the program for the help text.
func (arguments) Description() string {
	return "winchd routes language-model traffic with service levels and priorities."
}

// Epilogue returns the list of exit codes for the help text.
func (arguments) Epilogue() string {
	return "Exit codes: 0 done, 1 failed, 2 wrong usage, 3 invalid settings."
}

func main() {
	args := arguments{}
	parser := arg.MustParse(&args)
	if parser.Subcommand() == nil {
		parser.WriteHelp(os.Stderr)
		os.Exit(exitUsage)
	}
	if err := execute(args); err != nil {
		fmt.Fprintln(os.Stderr, "winchd:", err)
		os.Exit(exitCode(err))
	}
}

func exitCode(err error) int {
	if errors.Is(err, settings.ErrInvalid) {
		return exitInvalid
	}
	return exitFailed
}

func execute(args arguments) error {
	switch {
	case args.Version != nil:
		fmt.Println("winchd", version)
		return nil
	case args.Check != nil:
		_, err := settings.Load(args.Check.Settings)
		if err == nil {
			fmt.Println("settings are valid")
		}
		return err
	}
	if args.Forward != nil {
		return runForward(args.Forward.Settings)
	}
	return run(args.Run.Settings)
}

// runForward runs a forwarding host. Its log goes to standard output through a writer that drops
// lines rather than block the process.
func runForward(path string) error {
	stops := process.ListenForStops()
	forwarder.KeepOnHangup()
	loaded, err := settings.LoadForwarding(path)
	if err != nil {
		return err
	}
	output := logs.New(os.Stdout, logs.DefaultLines)
	defer output.Close()
	logger := hclog.New(&hclog.LoggerOptions{
		Name: "winchd", Level: hclog.LevelFromString(loaded.Log.Level), Output: output, JSONFormat: loaded.Log.JSON,
	})
	built, err := forwarder.New(path, loaded, version, logger)
	if err != nil {
		return err
	}
	return built.Run(stops)
}

// run runs the daemon. Its log goes to the configured file or to standard error, and is written
// synchronously.
func run(path string) error {
	stops := process.ListenForStops()
	loaded, err := settings.Load(path)
	if err != nil {
		return err
	}
	logger, closeLog, err := newLogger(loaded.Log)
	if err != nil {
		return err
	}
	defer closeLog()
	built, err := daemon.New(loaded, version, logger)
	if err != nil {
		return err
	}
	return built.Run(stops)
}

// newLogger returns the logger of the process and a function that closes its log file.
func newLogger(log settings.Log) (hclog.Logger, func(), error) {
	output, closeLog := os.Stderr, func() {}
	if log.File != "" {
		file, err := os.OpenFile(log.File, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
		if err != nil {
			return nil, nil, fmt.Errorf("open log: %w", err)
		}
		output, closeLog = file, func() { _ = file.Close() }
	}
	return hclog.New(&hclog.LoggerOptions{
		Name: "winchd", Level: hclog.LevelFromString(log.Level), Output: output, JSONFormat: log.JSON,
	}), closeLog, nil
}
