package source

// goesBackFrom reports whether the revision or the version of e is lower than that of other.
func (e edition) goesBackFrom(other edition) bool {
	return e.revision < other.revision || e.version < other.version
}

// logOlder logs once for each change that the source returned something older than what was in force. A store whose writes are never
// lost does not do so, nor does an operator whose revisions increase.
func (f *Follower) logOlder(read, inForce edition, replaced bool) {
	if !read.goesBackFrom(inForce) {
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
	switch {
	case replaced:
		action = "put in force"
	case read.same(inForce):
		action = "evidence renewed"
	}
	f.options.Logger.Warn("the source returned an older entry than that of the configuration in force", "Event", EventSourceOlder,
		"Revision", inForce.revision, "Version", inForce.version, "ReadRevision", read.revision, "ReadVersion", read.version, "Action", action)
}
