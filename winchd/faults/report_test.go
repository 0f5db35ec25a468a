package faults

import (
	"fmt"
	"os"
	"strings"
	"testing"
	"text/tabwriter"
)

// row is one row of the result table that the fault tests print. The promise is the guarantee that
// the test checks.
type row struct {
	promise string
	faults  string
	// runs counts the checks: of orders, reports, calls or hosts, depending on the test.
	runs       int
	violations int
	details    []string
}

func (r *row) addViolation(format string, arguments ...any) {
	r.violations++
	r.details = append(r.details, fmt.Sprintf(format, arguments...))
}

// check prints the row and fails the test if there are violations.
func (r *row) check(t *testing.T) {
	t.Helper()
	r.print("on")
	if r.violations > 0 {
		t.Errorf("%s: %s", r.promise, strings.Join(r.details, "; "))
	}
}

// checkGuardOff prints the row of a run without the guard, and fails the test if there is no violation.
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
