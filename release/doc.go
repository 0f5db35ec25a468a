// Package release encodes, decodes and validates release notes, which change the
// configuration, and applies them to it. It does no I/O.
//
// A note lists the items that it adds, changes and withdraws. Its JSON fields are
// named as in package winch; durations are strings such as "1.3s" and key hashes
// are hexadecimal. Decoding is strict: unknown fields, repeated fields and invalid
// values are rejected, and the error contains the path of the field.
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
