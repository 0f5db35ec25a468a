// Command harness2 plays the cases of the second review: it starts hosts of the system beside stand-ins of the platform, runners and clients.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

var cases = map[string]func(folder string, trouble bool) bool{}

func main() {
	run := cases[os.Args[1]]
	if run == nil {
		fmt.Fprintln(os.Stderr, "no such case")
		os.Exit(2)
	}
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		<-interrupted
		cleanUp()
		os.Exit(2)
	}()
	prepare(os.Args[2])
	kept := run(os.Args[2], os.Getenv("TROUBLE") != "0")
	cleanUp()
	if !kept {
		note("the rule was broken")
		os.Exit(1)
	}
	note("the rule held")
}
