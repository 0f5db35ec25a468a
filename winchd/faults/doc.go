// Package faults contains the fault injection tests of whole systems: processes of
// the daemon and of the stand-ins, connected by links that can be cut or
// frozen.
//
// # Usage
//
//	make faults
//
// prints for each promise, which is a guarantee of the system, the injected faults, the
// number of checks (RUNS) and the violations. Some tests switch off the mechanism that
// upholds the promise (GUARD off). They must find a violation, which shows that the test
// detects one.
package faults
