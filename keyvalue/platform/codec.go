package platform

import "github.com/arbutuswinch/winch"

type wireEntry struct {
	Key     string
	Value   []byte
	Version int64
	Deleted bool
}

type getCall struct{ Key string }

type getAnswer struct {
	Found bool
	Entry *wireEntry
}

type listCall struct{ Prefix string }

type listAnswer struct {
	Entries  []wireEntry
	Revision int64
}

type putCall struct {
	Key    string
	Value  []byte
	Expect int64
}

type putAnswer struct{ Version int64 }

type deleteCall struct {
	Key    string
	Expect int64
}

type watchCall struct {
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
