package keyvalue

import "github.com/arbutuswinch/winch/standin/wire"

type getRequest struct{ Key string }

type getResponse struct {
	Found bool
	Entry *wireEntry `json:",omitempty"`
}

type listRequest struct{ Prefix string }

type entriesResponse struct {
	Entries  []wireEntry
	Revision int64
}

type putRequest struct {
	Key    string
	Value  []byte
	Expect int64
	Lease  string
}

type deleteRequest struct {
	Key    string
	Expect int64
}

type versionResponse struct{ Version int64 }

type watchRequest struct {
	Prefix string
	After  int64
	Wait   wire.Duration
}

type leaseRequest struct {
	TTL   wire.Duration
	Lease string
}

type leaseResponse struct {
	Lease string
	TTL   wire.Duration
}

type conflictResponse struct {
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

func encodeEntries(entries []Entry, revision Version) entriesResponse {
	response := entriesResponse{Entries: make([]wireEntry, 0, len(entries)), Revision: int64(revision)}
	for _, entry := range entries {
		response.Entries = append(response.Entries, *encodeEntry(entry))
	}
	return response
}
