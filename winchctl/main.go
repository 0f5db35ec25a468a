// Command winchctl is the command-line client for the operators' API of arbutuswinch.
//
// # Usage
//
//	export WINCH_ADDRESS=10.0.0.1:7003,10.0.0.2:7003 WINCH_SECRET=...
//	winchctl note check note.json
//	winchctl note apply --wait note.json
//	winchctl key withdraw --wait stall-7
//	winchctl hosts
//	winchctl configuration check next.json --against in-force.json
//
// The check of a configuration calls no host. For other commands, the addresses are tried in order
// until one answers. Repeating a call that commits a note is safe, because a note with the same id
// is committed only once.
//
// Exit codes: 0 done, 2 wrong usage, 3 invalid, unauthorized or not found, 4 conflict with
// another note, 5 unavailable or outcome unknown.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	os.Exit(run(ctx, os.Args[1:], streams{in: os.Stdin, out: os.Stdout, err: os.Stderr}))
}
