// Package check finds errors in a configuration of forwarding routes before it is put in force, and lists how it differs from the one
// in force.
//
// It does no I/O. A Configuration states it as its author wrote it, with what winch.Configuration cannot hold: entries
// without a name, entries with the same name, and values that no host could use. Findings name fields by the names of Configuration;
// Path.Rename maps them to those of the file from which it was decoded.
//
// # Usage
//
//	findings := check.Check(next, check.Options{Memory: 134 << 20})
//	more, differences := check.Compare(inForce, next)
//	findings = check.Sorted(append(findings, more...))
package check
