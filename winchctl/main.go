// Command winchctl is the operators' command line of arbutuswinch.
//
// # Usage
//
//	export WINCH_ADDRESS=10.0.0.1:7003,10.0.0.2:7003 WINCH_SECRET=...
//	winchctl note check note.json
//	winchctl note apply --wait note.json
//	winchctl key withdraw --wait stall-7
//	winchctl hosts
//
// Each call goes to the first address that answers. Calls that commit a note may
// be repeated, since a note is committed once for its id.
//
// Exit codes: 0 done, 2 wrong usage, 3 refused or invalid, 4 conflict with another
// note, 5 unavailable or outcome unknown.
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
