// Package keyvalue is the format of what the usage slice keeps in the platform's
// key-value service: the counts that each data centre collected, the seals of
// windows, and for each shard a head that says which seal is the last.
//
// A seal is written once, under a key of its own, and counts only when it stands in
// the chain that begins at the head: the head names the last seal, and each seal
// the one before it. The head is changed by compare-and-swap and rewritten at the
// begin of each term, so that what a replaced holder still has on its way cannot
// become part of the chain.
//
// # Usage
//
//	value, err := keyvalue.EncodeCollected(cells)
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

// wireCollected has the counters of one process, or the hosts whose counts are complete,
// which stand in an element of their own.
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
}

// Collected is what a data centre collected for one window.
type Collected struct {
	Cells []usage.Counter
	// Complete are the hosts that will count nothing more in the window, and all of whose
	// counts are among the cells.
	Complete usage.HostSet
}

// Seal fixes the figures of a window.
type Seal struct {
	Window usage.Window
	// Previous names the seal before this one; empty for the first.
	Previous   winch.WriteID
	Write      winch.WriteID
	Figures    []usage.Figure
	Increments usage.Totals
}

// Head is the state of a shard.
type Head struct {
	Number winch.FencingNumber
	Write  winch.WriteID
	// Last is the window that was sealed last; zero when none was.
	Last usage.Window
	// LastSeal names its seal.
	LastSeal winch.WriteID
	// Reported is the last window whose report was answered.
	Reported usage.Window
}

// CollectedPrefix is the prefix of the keys of a shard's collected counts.
func CollectedPrefix(shard winch.Shard) string { return fmt.Sprintf("usage/collected/%04d/", shard) }

// CollectedKey is the key of the counts that a data centre collected for a window.
func CollectedKey(shard winch.Shard, source usage.Source) string {
	return fmt.Sprintf("%s%012d/%s", CollectedPrefix(shard), source.Window, source.DataCentre)
}

// ParseCollectedKey returns the source that a key of collected counts names.
func ParseCollectedKey(shard winch.Shard, key string) (usage.Source, error) {
	suffix, found := strings.CutPrefix(key, CollectedPrefix(shard))
	window, dataCentre, hasDataCentre := strings.Cut(suffix, "/")
	start, err := strconv.ParseInt(window, 10, 64)
	if !found || !hasDataCentre || err != nil {
		return usage.Source{}, fmt.Errorf("key %s of collected counts: %w", key, winch.ErrInvalid)
	}
	return usage.Source{Window: usage.Window(start), DataCentre: winch.DataCentreID(dataCentre)}, nil
}

// SealPrefix is the prefix of the keys of a shard's seals.
func SealPrefix(shard winch.Shard) string { return fmt.Sprintf("usage/sealed/%04d/", shard) }

// SealKey is the key of a seal of the window.
func SealKey(shard winch.Shard, window usage.Window, write winch.WriteID) string {
	return fmt.Sprintf("%s%012d/%s", SealPrefix(shard), window, write)
}

// HeadKey is the key of a shard's head.
func HeadKey(shard winch.Shard) string { return fmt.Sprintf("usage/head/%04d", shard) }

// EncodeCollected encodes the counters of one window.
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

// DecodeCollected decodes the counters of the window.
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

// DecodeSeal decodes a seal.
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
	encoded, err := json.Marshal(wireHead{
		FencingNumber: int64(head.Number),
		WriteID:       string(head.Write),
		Last:          int64(head.Last),
		LastSeal:      string(head.LastSeal),
		Reported:      int64(head.Reported),
	})
	if err != nil {
		return nil, fmt.Errorf("encode head: %w", err)
	}
	return encoded, nil
}

// DecodeHead decodes a head.
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
	}, nil
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
