package source

import (
	"github.com/cespare/xxhash/v2"

	"github.com/arbutuswinch/winch"
)

// contentDigest is a digest of the stored form of a configuration. Zero stands for content that is not known.
type contentDigest uint64

// edition identifies a configuration that the operator has written. The operator's revision comes first in the order: the version
// alone falls if the store comes back from an older copy.
type edition struct {
	revision winch.Revision
	digest   contentDigest
	// version is the version of the entry in the store. An edition that is written again gets another one.
	version winch.Version
}

// editionOf returns the edition of a stored form.
func editionOf(revision winch.Revision, raw []byte, version winch.Version) edition {
	return edition{revision: revision, digest: contentDigest(xxhash.Sum64(raw)), version: version}
}

// isNone reports whether e is the zero edition, which is older than all others.
func (e edition) isNone() bool { return e.version == winch.VersionAbsent }

// same reports whether e and other have the same content.
func (e edition) same(other edition) bool {
	return !e.isNone() && !other.isNone() && e.revision == other.revision && e.digest == other.digest
}

// newerThan reports whether e is newer than other. The versions decide only between different contents of one revision.
func (e edition) newerThan(other edition) bool {
	switch {
	case e.isNone() || other.isNone():
		return !e.isNone()
	case e.revision != other.revision:
		return e.revision > other.revision
	}
	return e.digest != other.digest && e.version > other.version
}

// successor returns the oldest edition after e, of unknown content. It stands for an entry that has changed and was not read yet.
func (e edition) successor() edition {
	return edition{revision: e.revision, version: e.version + 1}
}

// isWrittenAfter reports whether e was written later in the store's history than other, also if other has a higher revision.
func (e edition) isWrittenAfter(other edition) bool { return e.version > other.version }
