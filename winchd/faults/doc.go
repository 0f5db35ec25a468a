// Package faults contains the fault injection tests of whole systems: processes of
// the daemon and of the stand-ins, connected by links that can be delayed, cut
// and frozen.
//
// # Usage
//
//	make faults
//
// prints for each promise the injected faults, whether the guard was on, and the
// number of runs and violations. A promise is a guarantee of the system; a test
// "without the guard" disables a safeguard, to show that the test detects violations.
package faults
