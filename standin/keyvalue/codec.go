package keyvalue

import "github.com/arbutuswinch/winch/standin/wire"

type getCall struct{ Key string }

type getAnswer struct {
	Found bool
	Entry *wireEntry `json:",omitempty"`
}

type listCall struct{ Prefix string }

type entriesAnswer struct {
	Entries  []wireEntry
	Revision int64
}

type putCall struct {
	Key    string
	Value  []byte
	Expect int64
	Lease  string
}

type deleteCall struct {
	Key    string
	Expect int64
}

type versionAnswer struct{ Version int64 }

type watchCall struct {
	Prefix string
	After  int64
	Wait   wire.Duration
}

type leaseCall struct {
	TTL   wire.Duration
	Lease string
}

type leaseAnswer struct {
	Lease string
	TTL   wire.Duration
}

type conflictAnswer struct {
	Code    string
	Message string
	Entry   *wireEntry `json:",omitempty"`
}

type wireEntry struct {
	Key     string
	Value   []byte
	Version int64
	Deleted bool `json:",omitempty"`
}

func encodeEntry(entry Entry) *wireEntry {
	return &wireEntry{Key: entry.Key, Value: entry.Value, Version: int64(entry.Version), Deleted: entry.Deleted}
}

func encodeEntries(entries []Entry, revision Version) entriesAnswer {
	answer := entriesAnswer{Entries: make([]wireEntry, 0, len(entries)), Revision: int64(revision)}
	for _, entry := range entries {
		answer.Entries = append(answer.Entries, *encodeEntry(entry))
	}
	return answer
}
