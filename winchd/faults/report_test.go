package faults

import (
	"fmt"
	"os"
	"strings"
	"testing"
	"text/tabwriter"
)

// row is one line of the table that a run of the fault tests prints.
type row struct {
	promise    string
	faults     string
	runs       int
	violations int
	detail     []string
}

func (r *row) violate(format string, arguments ...any) {
	r.violations++
	r.detail = append(r.detail, fmt.Sprintf(format, arguments...))
}

// check prints the row and fails the test on violations.
func (r *row) check(t *testing.T) {
	t.Helper()
	r.print("on")
	if r.violations > 0 {
		t.Errorf("%s: %s", r.promise, strings.Join(r.detail, "; "))
	}
}

// checkGuardOff prints the row of a run without the guard, which must show violations.
func (r *row) checkGuardOff(t *testing.T) {
	t.Helper()
	r.print("off")
	if r.violations == 0 {
		t.Errorf("%s: no violation without the guard", r.promise)
	}
}

func (r *row) print(guard string) {
	table := tabwriter.NewWriter(os.Stdout, 0, 4, 2, ' ', 0)
	fmt.Fprintf(table, "PROMISE\t%s\tFAULTS\t%s\tGUARD\t%s\tRUNS\t%d\tVIOLATIONS\t%d\n", r.promise, r.faults, guard, r.runs, r.violations)
	_ = table.Flush()
}
