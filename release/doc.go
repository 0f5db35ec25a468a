// Package release encodes, decodes and validates release notes, and applies them to
// the configuration. It does no I/O.
//
// A release note (winch.Note) is a set of changes to the configuration: it lists the
// items that it adds, changes and withdraws. Its Base is the revision that the author
// saw; zero means that conflicts with later commits are not checked.
//
// The JSON fields of a note are named as in package winch; durations are strings such
// as "1.3s" and key hashes are hexadecimal. Unknown fields, repeated fields and invalid
// values are rejected, and the error contains the path of the field. So is a document that
// is cut off or followed by other text.
//
// # Usage
//
//	note, err := release.DecodeNote(body)
//	if err != nil {
//		return err // "Added.Classes[1].FirstTokenTarget: ...", matches winch.ErrInvalid
//	}
//	if err := release.Check(current, note); err != nil {
//		return err
//	}
//	next := release.ApplyRecord(current, winch.ReleaseRecord{Revision: current.Revision + 1, Note: note})
//
// All errors match winch.ErrInvalid.
package release
