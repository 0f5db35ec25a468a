// Package faults holds the tests that provoke failures of whole systems: real
// processes of the daemon and of the stand-ins, with links between them that are
// delayed, cut and frozen.
//
// # Usage
//
//	make faults
//
// prints for each promise the faults tried, the runs, the seeds and the violations.
package faults
