// Command rig plays the cases of this review: it starts the store, the platform's API, runners and clients as stand-ins, and the hosts of the
// system as separate processes, with the command of the deploy file.
//
//	rig CASE FOLDER ROOT
//
// It writes FOLDER/record.txt and exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run. With TROUBLE=0 in the
// environment the disruption is left out.
package main

import (
	"fmt"
	"os"
	"time"
)

var cases = map[string]func(*World) (broken []string){
	"slow-reader":    slowReader,
	"spliced-answer": splicedAnswer,
}

func main() {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: rig CASE FOLDER ROOT")
		os.Exit(2)
	}
	os.Exit(play(os.Args[1], os.Args[2], os.Args[3]))
}

func play(name, folder, root string) (status int) {
	w := newWorld(folder, root)
	defer w.close()
	defer func() {
		if failed := recover(); failed != nil {
			w.note("the case could not run: %v", failed)
			status = 2
		}
	}()
	time.AfterFunc(110*time.Second, func() {
		w.note("the case took too long")
		w.close()
		os.Exit(2)
	})
	broken := cases[name](w)
	for _, line := range broken {
		w.note("BROKEN %s", line)
	}
	if len(broken) > 0 {
		return 1
	}
	w.note("the rule held")
	return 0
}

func check(err error) {
	if err != nil {
		panic(err)
	}
}
