package platform

import "github.com/arbutuswinch/winch"

type wireEntry struct {
	Key     string
	Value   []byte
	Version int64
	Deleted bool
}

type getRequest struct{ Key string }

type getResponse struct {
	Found bool
	Entry *wireEntry
}

type listRequest struct{ Prefix string }

type listResponse struct {
	Entries  []wireEntry
	Revision int64
}

type putRequest struct {
	Key    string
	Value  []byte
	Expect int64
}

type putResponse struct{ Version int64 }

type deleteRequest struct {
	Key    string
	Expect int64
}

type watchRequest struct {
	Prefix string
	After  int64
	Wait   string
}

func decodeEntry(entry wireEntry) winch.Entry {
	return winch.Entry{
		Key:     entry.Key,
		Value:   entry.Value,
		Version: winch.Version(entry.Version),
		Deleted: entry.Deleted,
	}
}

func decodeEntries(entries []wireEntry) []winch.Entry {
	decoded := make([]winch.Entry, 0, len(entries))
	for _, entry := range entries {
		decoded = append(decoded, decodeEntry(entry))
	}
	return decoded
}
