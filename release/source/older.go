package source

import "github.com/arbutuswinch/winch"

// reading identifies what a read of the source returned.
type reading struct {
	// revision is the operator's number of the configuration, and version that of its entry in the store.
	revision winch.Revision
	version  winch.Version
}

// olderThan reports whether one of the two numbers is lower than the other's.
func (r reading) olderThan(other reading) bool {
	return r.revision < other.revision || r.version < other.version
}

// logOlder logs once for each change that the source returned something older than what was in force. A store whose writes are never
// lost does not do so.
func (f *Follower) logOlder(read, inForce reading, replaced bool) {
	if !read.olderThan(inForce) {
		return
	}
	f.mu.Lock()
	logged := f.older == read
	f.older = read
	f.mu.Unlock()
	if logged {
		return
	}
	action := "ignored"
	if replaced {
		action = "put in force"
	}
	f.options.Logger.Warn("the source returned an older entry than that of the configuration in force", "Event", EventSourceOlder,
		"Revision", inForce.revision, "Version", inForce.version, "ReadRevision", read.revision, "ReadVersion", read.version, "Action", action)
}
