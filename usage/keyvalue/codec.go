// Package keyvalue defines the entries that usage accounting stores in the platform's
// key-value service: the counts that each data centre collected, the seals of windows,
// and for each shard a head that names the latest seal.
//
// Each seal is written once under its own key. It is valid only when it is reachable from
// the head: the head names the latest seal, and each seal names the previous one. The head
// is changed by compare-and-swap. The lease holder of the shard rewrites the head when its
// term starts. This changes the version of the head, so that a late write of the previous
// host fails with a conflict.
//
// # Usage
//
//	value, err := keyvalue.EncodeCollected(collected)
//	version, err := store.Put(ctx, keyvalue.CollectedKey(shard, source), value, expect)
package keyvalue

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"

	"github.com/arbutuswinch/winch"
	"github.com/arbutuswinch/winch/usage"
)

type wireCounts struct {
	Organisation string
	Requests     int64
	InputTokens  int64
	OutputTokens int64
}

// wireCollected is an element of the JSON array that is stored in an entry. It holds either the
// counters of one process, or the hosts whose counts of the window are complete. The array has
// one element for each process and ends with the one of the complete hosts, if there are any.
type wireCollected struct {
	Incarnation   string       `json:",omitempty"`
	Counts        []wireCounts `json:",omitempty"`
	CompleteHosts []string     `json:",omitempty"`
}

type wireFigure struct {
	Organisation string
	Requests     int64
	InputTokens  int64
	OutputTokens int64
	Adjustment   bool
}

type wireIncrement struct {
	Window     int64
	DataCentre string
	Counts     []wireCounts
}

type wireSeal struct {
	Window     int64
	Previous   string
	WriteID    string
	Figures    []wireFigure
	Increments []wireIncrement
}

type wireHead struct {
	FencingNumber int64
	WriteID       string
	Last          int64
	LastSeal      string
	Reported      int64
	Closed        int64 `json:",omitempty"`
	// Era is absent in heads that were written before the field existed.
	Era *int64 `json:",omitempty"`
}

// Collected holds the counts that a data centre collected for one window.
type Collected struct {
	// Cells are the counters of all processes of the data centre.
	Cells []usage.Counter
	// Complete holds the hosts that will count nothing more in the window and whose counters are
	// all in Cells.
	Complete usage.HostSet
}

// Seal holds the fixed figures of a window.
type Seal struct {
	Window usage.Window
	// Previous is the write id of the previous seal, empty for the first one.
	Previous winch.WriteID
	// Write is the id of the write that created the seal.
	Write   winch.WriteID
	Figures []usage.Figure
	// Increments are the counts of Figures split by source.
	Increments usage.Totals
}

// Head holds the reporting state of a shard.
type Head struct {
	// Number is the fencing number of the term in which the head was written.
	Number winch.FencingNumber
	// Write is the id of the write.
	Write winch.WriteID
	// Last is the window that was sealed most recently, zero if none was.
	Last usage.Window
	// LastSeal is the write id of the seal of Last.
	LastSeal winch.WriteID
	// Reported is the most recent window whose report needs no further attempt: the platform
	// accepted the report, or has different figures for the window.
	Reported usage.Window
	// Closed is the newest window whose seal was lost. Counts of it and of earlier windows are not reported any more.
	Closed usage.Window
	// Era is the era of the key-value service up to which a reporter has made sure that no window is reported again that was sealed
	// in an earlier one.
	Era winch.Era
}

// CollectedPrefix returns the prefix of the keys of a shard's collected counts.
func CollectedPrefix(shard winch.Shard) string { return fmt.Sprintf("usage/collected/%04d/", shard) }

// CollectedWindowPrefix returns the prefix of the keys of a shard's collected counts of one window.
func CollectedWindowPrefix(shard winch.Shard, window usage.Window) string {
	return fmt.Sprintf("%s%012d/", CollectedPrefix(shard), window)
}

// CollectedKey returns the key of the counts that a data centre collected for a window.
func CollectedKey(shard winch.Shard, source usage.Source) string {
	return CollectedWindowPrefix(shard, source.Window) + string(source.DataCentre)
}

// ParseCollectedKey returns the source that the key of collected counts contains. The error
// matches winch.ErrInvalid.
func ParseCollectedKey(shard winch.Shard, key string) (usage.Source, error) {
	suffix, found := strings.CutPrefix(key, CollectedPrefix(shard))
	window, dataCentre, hasDataCentre := strings.Cut(suffix, "/")
	start, err := strconv.ParseInt(window, 10, 64)
	if !found || !hasDataCentre || err != nil {
		return usage.Source{}, fmt.Errorf("parse key %s of collected counts: %w", key, winch.ErrInvalid)
	}
	return usage.Source{Window: usage.Window(start), DataCentre: winch.DataCentreID(dataCentre)}, nil
}

// SealPrefix returns the prefix of the keys of a shard's seals.
func SealPrefix(shard winch.Shard) string { return fmt.Sprintf("usage/sealed/%04d/", shard) }

// SealKey returns the key of the seal of a window that has the write id.
func SealKey(shard winch.Shard, window usage.Window, write winch.WriteID) string {
	return fmt.Sprintf("%s%012d/%s", SealPrefix(shard), window, write)
}

// HeadKey returns the key of a shard's head.
func HeadKey(shard winch.Shard) string { return fmt.Sprintf("usage/head/%04d", shard) }

// EncodeCollected encodes the collected counts of one window.
func EncodeCollected(collected Collected) ([]byte, error) {
	groups := []wireCollected{}
	index := map[winch.Incarnation]int{}
	for _, counter := range collected.Cells {
		position, found := index[counter.Key.Incarnation]
		if !found {
			position = len(groups)
			index[counter.Key.Incarnation] = position
			groups = append(groups, wireCollected{Incarnation: string(counter.Key.Incarnation)})
		}
		groups[position].Counts = append(groups[position].Counts, encodeCounts(counter.Key.Organisation, counter.Counts))
	}
	if len(collected.Complete) > 0 {
		complete := wireCollected{}
		for _, host := range slices.Sorted(maps.Keys(collected.Complete)) {
			complete.CompleteHosts = append(complete.CompleteHosts, string(host))
		}
		groups = append(groups, complete)
	}
	encoded, err := json.Marshal(groups)
	if err != nil {
		return nil, fmt.Errorf("encode collected counts: %w", err)
	}
	return encoded, nil
}

// DecodeCollected decodes the collected counts of the window. The error matches
// winch.ErrInvalid.
func DecodeCollected(window usage.Window, value []byte) (Collected, error) {
	groups := []wireCollected{}
	if err := json.Unmarshal(value, &groups); err != nil {
		return Collected{}, fmt.Errorf("decode collected counts: %w: %w", winch.ErrInvalid, err)
	}
	collected := Collected{Complete: usage.HostSet{}}
	for _, group := range groups {
		for _, host := range group.CompleteHosts {
			collected.Complete[winch.HostID(host)] = true
		}
		for _, counts := range group.Counts {
			collected.Cells = append(collected.Cells, usage.Counter{
				Key: usage.CounterKey{
					Window:       window,
					Incarnation:  winch.Incarnation(group.Incarnation),
					Organisation: winch.OrganisationID(counts.Organisation),
				},
				Counts: decodeCounts(counts),
			})
		}
	}
	return collected, nil
}

// EncodeSeal encodes a seal.
func EncodeSeal(seal Seal) ([]byte, error) {
	wire := wireSeal{Window: int64(seal.Window), Previous: string(seal.Previous), WriteID: string(seal.Write)}
	for _, figure := range seal.Figures {
		wire.Figures = append(wire.Figures, wireFigure{
			Organisation: string(figure.Organisation),
			Requests:     figure.Counts.Requests,
			InputTokens:  int64(figure.Counts.InputTokens),
			OutputTokens: int64(figure.Counts.OutputTokens),
			Adjustment:   figure.Adjustment,
		})
	}
	for source, organisations := range seal.Increments {
		increment := wireIncrement{Window: int64(source.Window), DataCentre: string(source.DataCentre)}
		for organisation, counts := range organisations {
			increment.Counts = append(increment.Counts, encodeCounts(organisation, counts))
		}
		wire.Increments = append(wire.Increments, increment)
	}
	encoded, err := json.Marshal(wire)
	if err != nil {
		return nil, fmt.Errorf("encode seal: %w", err)
	}
	return encoded, nil
}

// DecodeSeal decodes a seal. The error matches winch.ErrInvalid.
func DecodeSeal(value []byte) (Seal, error) {
	wire := wireSeal{}
	if err := json.Unmarshal(value, &wire); err != nil {
		return Seal{}, fmt.Errorf("decode seal: %w: %w", winch.ErrInvalid, err)
	}
	seal := Seal{
		Window:     usage.Window(wire.Window),
		Previous:   winch.WriteID(wire.Previous),
		Write:      winch.WriteID(wire.WriteID),
		Increments: usage.Totals{},
	}
	for _, figure := range wire.Figures {
		counts := wireCounts{Requests: figure.Requests, InputTokens: figure.InputTokens, OutputTokens: figure.OutputTokens}
		seal.Figures = append(seal.Figures, usage.Figure{
			Organisation: winch.OrganisationID(figure.Organisation),
			Counts:       decodeCounts(counts),
			Adjustment:   figure.Adjustment,
		})
	}
	for _, increment := range wire.Increments {
		source := usage.Source{Window: usage.Window(increment.Window), DataCentre: winch.DataCentreID(increment.DataCentre)}
		for _, counts := range increment.Counts {
			seal.Increments.Add(source, winch.OrganisationID(counts.Organisation), decodeCounts(counts))
		}
	}
	return seal, nil
}

// EncodeHead encodes a head.
func EncodeHead(head Head) ([]byte, error) {
	era := int64(head.Era)
	encoded, err := json.Marshal(wireHead{
		FencingNumber: int64(head.Number),
		WriteID:       string(head.Write),
		Last:          int64(head.Last),
		LastSeal:      string(head.LastSeal),
		Reported:      int64(head.Reported),
		Closed:        int64(head.Closed),
		Era:           &era,
	})
	if err != nil {
		return nil, fmt.Errorf("encode head: %w", err)
	}
	return encoded, nil
}

// DecodeHead decodes a head. The error matches winch.ErrInvalid.
func DecodeHead(value []byte) (Head, error) {
	wire := wireHead{}
	if err := json.Unmarshal(value, &wire); err != nil {
		return Head{}, fmt.Errorf("decode head: %w: %w", winch.ErrInvalid, err)
	}
	return Head{
		Number:   winch.FencingNumber(wire.FencingNumber),
		Write:    winch.WriteID(wire.WriteID),
		Last:     usage.Window(wire.Last),
		LastSeal: winch.WriteID(wire.LastSeal),
		Reported: usage.Window(wire.Reported),
		Closed:   usage.Window(wire.Closed),
		Era:      decodeEra(wire),
	}, nil
}

// decodeEra returns the era of the head, or that in which its term began if the head was written before the field existed: the number
// of a term is the version of a write.
func decodeEra(wire wireHead) winch.Era {
	if wire.Era == nil {
		return winch.Version(wire.FencingNumber).Era()
	}
	return winch.Era(*wire.Era)
}

func encodeCounts(organisation winch.OrganisationID, counts usage.Counts) wireCounts {
	return wireCounts{
		Organisation: string(organisation),
		Requests:     counts.Requests,
		InputTokens:  int64(counts.InputTokens),
		OutputTokens: int64(counts.OutputTokens),
	}
}

func decodeCounts(wire wireCounts) usage.Counts {
	return usage.Counts{
		Requests:     wire.Requests,
		InputTokens:  winch.Tokens(wire.InputTokens),
		OutputTokens: winch.Tokens(wire.OutputTokens),
	}
}
