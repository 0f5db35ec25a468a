// Package release holds what the parts of the release duty share: the codec of
// release notes, the check of a note against a configuration, and the step from
// one configuration to the next. It does no I/O.
//
// A note lists what is added, changed and withdrawn. Its JSON form has the names
// of the fields as they stand in package winch; durations are strings such as
// "1.3s" and key hashes are hexadecimal. Decoding is strict: unknown and repeated
// fields and bad values are refused, and the error names the field by its path.
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
