// Command harness plays the cases of the review.
package main

import (
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"
	"time"
)

func main() {
	if len(os.Args) < 2 {
		os.Exit(2)
	}
	f, found := cases[os.Args[1]]
	if !found {
		fmt.Println("unknown case")
		os.Exit(2)
	}
	if path := os.Getenv("RECORD"); path != "" {
		file, err := os.Create(path)
		if err != nil {
			os.Exit(2)
		}
		record = io.MultiWriter(file)
	}
	// The script ends in time whatever happens.
	time.AfterFunc(110*time.Second, func() { cannotRun("not done after 110 s") })
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGINT, syscall.SIGTERM)
	go func() { <-stop; cannotRun("stopped") }()
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		os.Exit(2)
	}
	scratch = dir
	status := f(dir)
	stopAll()
	if os.Getenv("KEEP") == "" {
		os.RemoveAll(dir)
	} else {
		fmt.Println(dir)
	}
	os.Exit(status)
}

var cases = map[string]func(dir string) int{}
