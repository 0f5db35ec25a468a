package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/alexflint/go-arg"

	"github.com/arbutuswinch/winch"
)

// The exit codes.
const (
	exitOK          = 0
	exitUsage       = 2
	exitRejected    = 3
	exitConflict    = 4
	exitUnavailable = 5
)

// streams holds the standard streams of the process.
type streams struct {
	in       io.Reader
	out, err io.Writer
}

// options holds the flags that all commands share.
type options struct {
	Address    []string `arg:"--address,separate,env:WINCH_ADDRESS" placeholder:"IP:PORT" help:"address of a host's operators' API; repeat the flag to try several in order"`
	SecretFile string   `arg:"--secret" placeholder:"FILE" help:"file with the operators' secret; defaults to WINCH_SECRET"`
	// SecretFromEnvironment is the secret from WINCH_SECRET. The tag has no flag name, so that the
	// secret cannot be passed on the command line, where the process list would show it.
	SecretFromEnvironment string        `arg:"--,env:WINCH_SECRET" json:"-"`
	JSON                  bool          `arg:"--json" help:"print the answers as JSON"`
	Timeout               time.Duration `arg:"--timeout" default:"15s" help:"timeout of a call to one host"`
}

type arguments struct {
	options
	Note          *noteCommand          `arg:"subcommand:note" help:"check and apply release notes and show their status"`
	Key           *keyCommand           `arg:"subcommand:key" help:"add and withdraw keys"`
	Evacuate      *evacuateCommand      `arg:"subcommand:evacuate" help:"stop sending requests to the endpoints of a data centre, or resume"`
	Configuration *configurationCommand `arg:"subcommand:configuration" help:"check a configuration of the users' platform before it is put in force"`
	Hosts         *hostsCommand         `arg:"subcommand:hosts" help:"show the hosts"`
	Endpoints     *endpointsCommand     `arg:"subcommand:endpoints" help:"show the endpoints"`
	Queues        *queuesCommand        `arg:"subcommand:queues" help:"show the queues of all data centres"`
	Usage         *usageCommand         `arg:"subcommand:usage" help:"show the usage windows and their reports"`
	Explain       *explainCommand       `arg:"subcommand:explain" help:"show the dispatch decisions for a request"`
}

// Description returns the text at the start of the help.
func (arguments) Description() string {
	return "winchctl controls arbutuswinch through its operators' API."
}

// Epilogue returns the text at the end of the help.
func (arguments) Epilogue() string {
	return "Exit codes: 0 done, 2 wrong usage, 3 invalid, unauthorized or not found, 4 conflict with another note, 5 unavailable or outcome unknown."
}

// command is one of the subcommands.
type command interface {
	run(ctx context.Context, c *console) error
}

// localCommand is a command that calls no host. It needs neither address nor secret.
type localCommand interface {
	command
	local()
}

// console holds what a command needs to run.
type console struct {
	streams
	options options
	client  *failoverClient
}

// errUsage marks errors in the command line arguments. They exit with exitUsage.
var errUsage = errors.New("wrong usage")

// run executes the command line and returns the exit code.
func run(ctx context.Context, args []string, s streams) int {
	parsed := arguments{}
	parser, err := arg.NewParser(arg.Config{Program: "winchctl", Out: s.err}, &parsed)
	if err != nil {
		fmt.Fprintln(s.err, "winchctl:", err)
		return exitUsage
	}
	switch err := parser.Parse(args); {
	case errors.Is(err, arg.ErrHelp):
		_ = parser.WriteHelpForSubcommand(s.out, parser.SubcommandNames()...)
		return exitOK
	case err != nil:
		return usage(parser, s, err)
	}
	selected, found := parser.Subcommand().(command)
	if !found {
		return usage(parser, s, fmt.Errorf("a command is missing: %w", errUsage))
	}
	c := &console{streams: s, options: parsed.options}
	if _, isLocal := selected.(localCommand); !isLocal {
		c.client, err = newClient(parsed.options)
	}
	if err == nil {
		err = selected.run(ctx, c)
	}
	if errors.Is(err, errUsage) {
		return usage(parser, s, err)
	}
	if err != nil {
		fmt.Fprintln(s.err, "winchctl:", err)
	}
	return exitCode(err)
}

func usage(parser *arg.Parser, s streams, err error) int {
	_ = parser.WriteUsageForSubcommand(s.err, parser.SubcommandNames()...)
	fmt.Fprintln(s.err, "winchctl:", err)
	return exitUsage
}

// exitCode returns the exit code for the error. Any error that is not listed counts as unavailable,
// because the call may have had an effect.
func exitCode(err error) int {
	switch {
	case err == nil:
		return exitOK
	case errors.Is(err, winch.ErrConflict):
		return exitConflict
	case errors.Is(err, winch.ErrInvalid), errors.Is(err, winch.ErrUnauthorized), errors.Is(err, winch.ErrNotFound):
		return exitRejected
	}
	return exitUnavailable
}
