// Package keyvalue keeps in the key-value service which software versions have served, for hosts that have all ended at once
// and started again.
//
// One entry holds the versions of all models: those that served when it was written, and those that had ended, with the time. It is
// written only when versions come or go.
//
// # Usage
//
//	history, err := keyvalue.New(keyvalue.Options{Store: store, Clock: synced})
//	if err != nil {
//		return err
//	}
//	served, err := history.Load(ctx, now)
package keyvalue

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/arbutuswinch/winch"
)

// Key is the key of the entry.
const Key = "software/versions"

const (
	// maxRows bounds the versions of an entry.
	maxRows = 1024
	// clockMargin is added to the end of a version, as the clocks of two starts of the system may differ.
	clockMargin = 2 * time.Second
)

// Options are the dependencies of a History. All are required.
type Options struct {
	Store winch.KeyValue
	// Clock is the time of day on which the hosts agree.
	Clock winch.Clock
}

// History implements winch.SoftwareHistory. It is safe for concurrent use.
type History struct {
	options Options

	mu      sync.Mutex
	version winch.Version
}

var _ winch.SoftwareHistory = (*History)(nil)

// New checks the options and returns a history.
func New(options Options) (*History, error) {
	if options.Store == nil || options.Clock == nil {
		return nil, fmt.Errorf("create history of software versions: Store and Clock are required: %w", winch.ErrInvalid)
	}
	return &History{options: options}, nil
}

// rowWire is a version of a model.
type rowWire struct {
	Model    string
	Software string
	// Ended is when the version was last known to serve, in Unix milliseconds of the hosts' common clock; zero if it served when
	// the entry was written.
	Ended int64 `json:",omitempty"`
}

// Load implements winch.SoftwareHistory. The time of a version that has ended is not earlier than its end.
func (h *History) Load(ctx context.Context, now time.Time) ([]winch.ServedSoftware, error) {
	entry, err := h.options.Store.Get(ctx, Key)
	if err != nil && !errors.Is(err, winch.ErrNotFound) {
		return nil, fmt.Errorf("load software versions: %w", err)
	}
	h.mu.Lock()
	h.version = entry.Version
	h.mu.Unlock()
	if errors.Is(err, winch.ErrNotFound) {
		return nil, nil
	}
	return decode(entry.Value, now, h.options.Clock.Now())
}

func decode(value []byte, now, common time.Time) ([]winch.ServedSoftware, error) {
	rows := []rowWire{}
	if err := json.Unmarshal(value, &rows); err != nil {
		return nil, fmt.Errorf("decode software versions: %w: %w", winch.ErrInvalid, err)
	}
	if len(rows) > maxRows {
		return nil, fmt.Errorf("decode software versions: more than %d: %w", maxRows, winch.ErrInvalid)
	}
	served := make([]winch.ServedSoftware, 0, len(rows))
	for _, row := range rows {
		at := now
		if row.Ended > 0 {
			age := max(0, common.Sub(time.UnixMilli(row.Ended))-clockMargin)
			at = now.Add(-age)
		}
		served = append(served, winch.ServedSoftware{Model: winch.ModelID(row.Model), Software: winch.SoftwareVersion(row.Software), At: at})
	}
	return served, nil
}

// Save implements winch.SoftwareHistory.
func (h *History) Save(ctx context.Context, now time.Time, served []winch.ServedSoftware) error {
	common := h.options.Clock.Now()
	rows := make([]rowWire, 0, len(served))
	for _, each := range served[:min(maxRows, len(served))] {
		row := rowWire{Model: string(each.Model), Software: string(each.Software)}
		if each.At.Before(now) {
			row.Ended = common.Add(-now.Sub(each.At)).UnixMilli()
		}
		rows = append(rows, row)
	}
	encoded, err := json.Marshal(rows)
	if err != nil {
		return fmt.Errorf("encode software versions: %w", err)
	}
	h.mu.Lock()
	known := h.version
	h.mu.Unlock()
	version, err := h.options.Store.Put(ctx, Key, encoded, known)
	if err != nil {
		return fmt.Errorf("save software versions: %w", err)
	}
	h.mu.Lock()
	h.version = version
	h.mu.Unlock()
	return nil
}
