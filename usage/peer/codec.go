package peer

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/arbutuswinch/winch"
	"github.com/arbutuswinch/winch/usage"
)

// maxMembers bounds the hosts of a group.
const maxMembers = 4096

type wireCounts struct {
	Organisation string
	Requests     int64
	InputTokens  int64
	OutputTokens int64
}

// wireBatch holds the counters of one process and window.
type wireBatch struct {
	Incarnation string
	Window      int64
	Counts      []wireCounts
}

// wireReport holds the counters of the host's own process, and of the hosts that report to it if it is the head of a group, that
// changed after the sequence number Since and are not stored. Sequence is the number of this report. Copied is the
// incarnation of the hub whose copies the host has, CopiedSequence the number of the last
// summary with copies. AsOf is the time by the host's window clock; the host counts nothing
// more in windows that ended by then. Members holds the AsOf of the hosts of the group, as far as the head has their counters.
type wireReport struct {
	Incarnation    string
	AsOf           time.Time
	Since          uint64
	Sequence       uint64
	Batches        []wireBatch
	Copied         string
	CopiedSequence uint64
	Members        []wireMember `json:",omitempty"`
}

type wireMember struct {
	Host string
	AsOf time.Time
}

// wireSummary acknowledges the reports of the process with incarnation Of: counters up to the
// sequence number Received are in the hub's memory, those up to Stored are in the key-value
// service. Hub is the incarnation of the hub. Copies are counters for the backup host to keep;
// Sequence is the number of the summary, zero if the receiver is not the backup host.
type wireSummary struct {
	Hub      string
	Of       string
	Received uint64
	Stored   uint64
	// Forwards is set if the sender is the head of a group. It stores what it has received if the hub is late.
	Forwards bool `json:",omitempty"`
	Sequence uint64
	Copies   []wireBatch
	// StoredBefore is a window; all counters of earlier windows are stored. It is the earliest
	// window with counters that are not stored, or the current window if there is none.
	StoredBefore int64
}

func encodeBatches(counters []usage.Counter) []wireBatch {
	type group struct {
		incarnation winch.Incarnation
		window      usage.Window
	}
	index := map[group]int{}
	batches := []wireBatch{}
	for _, counter := range counters {
		key := group{incarnation: counter.Key.Incarnation, window: counter.Key.Window}
		position, found := index[key]
		if !found {
			position = len(batches)
			index[key] = position
			batches = append(batches, wireBatch{Incarnation: string(key.incarnation), Window: int64(key.window)})
		}
		batches[position].Counts = append(batches[position].Counts, wireCounts{
			Organisation: string(counter.Key.Organisation),
			Requests:     counter.Counts.Requests,
			InputTokens:  int64(counter.Counts.InputTokens),
			OutputTokens: int64(counter.Counts.OutputTokens),
		})
	}
	return batches
}

func decodeBatches(batches []wireBatch) []usage.Counter {
	counters := []usage.Counter{}
	for _, batch := range batches {
		for _, counts := range batch.Counts {
			counters = append(counters, usage.Counter{
				Key: usage.CounterKey{
					Window:       usage.Window(batch.Window),
					Incarnation:  winch.Incarnation(batch.Incarnation),
					Organisation: winch.OrganisationID(counts.Organisation),
				},
				Counts: usage.Counts{
					Requests:     counts.Requests,
					InputTokens:  winch.Tokens(counts.InputTokens),
					OutputTokens: winch.Tokens(counts.OutputTokens),
				},
			})
		}
	}
	return counters
}

func decodeReport(report []byte) (wireReport, error) {
	wire := wireReport{}
	if err := json.Unmarshal(report, &wire); err != nil {
		return wire, fmt.Errorf("decode usage report: %w: %w", winch.ErrInvalid, err)
	}
	if len(wire.Members) > maxMembers {
		return wire, fmt.Errorf("decode usage report: field Members has more than %d hosts: %w", maxMembers, winch.ErrInvalid)
	}
	return wire, nil
}

func decodeSummary(summary []byte) (wireSummary, error) {
	wire := wireSummary{}
	if err := json.Unmarshal(summary, &wire); err != nil {
		return wire, fmt.Errorf("decode usage summary: %w: %w", winch.ErrInvalid, err)
	}
	return wire, nil
}
