package platform

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"strconv"

	"github.com/arbutuswinch/winch"
)

// intentStore stores the intent and the outcome of the newest order in the key-value
// service. Each write is a compare-and-swap, so that the write of a holder that was
// replaced fails. Of a stored record only WriteID and FencingNumber are read again.
type intentStore struct {
	store       winch.KeyValue
	key         string
	holder      winch.HostID
	incarnation winch.Incarnation

	// termNumber is the fencing number of the term in which version was read.
	termNumber   winch.FencingNumber
	versionKnown bool
	version      winch.Version
	writes       int
}

// write stores the order with its outcome. The outcome of an intent is empty.
func (i *intentStore) write(ctx context.Context, order order, outcome outcome) error {
	if !i.versionKnown || i.termNumber != order.number {
		if err := i.readVersion(ctx, order.number); err != nil {
			return err
		}
	}
	i.writes++
	record := wireIntent{
		OrderID:       string(order.id),
		FencingNumber: int64(order.number),
		Holder:        string(i.holder),
		Incarnation:   string(i.incarnation),
		WriteID:       string(i.incarnation) + "/" + strconv.Itoa(i.writes),
		Pools:         encodePools(order.pools),
		Outcome:       string(outcome),
	}
	value, err := json.Marshal(record)
	if err != nil {
		return fmt.Errorf("encode intent: %w", err)
	}
	version, err := i.store.Put(ctx, i.key, value, i.version)
	if errors.Is(err, winch.ErrOutcomeUnknown) {
		version, err = i.readBack(ctx, record, err)
	}
	i.versionKnown = err == nil
	if err != nil {
		return fmt.Errorf("store record of order %s: %w", order.id, err)
	}
	i.version = version
	return nil
}

// readVersion reads the version of the newest intent. An intent of a later term means that
// this holder was replaced.
func (i *intentStore) readVersion(ctx context.Context, number winch.FencingNumber) error {
	entry, found, err := i.getRecord(ctx)
	if err != nil {
		return err
	}
	if found.FencingNumber > int64(number) {
		return fmt.Errorf("found intent of later term %d: %w", found.FencingNumber, winch.ErrNotLeaseHolder)
	}
	i.versionKnown, i.version, i.termNumber = true, entry.Version, number
	return nil
}

// readBack reads the record again to find out whether a write whose response was lost took
// effect. If the record is a different one, the write may still arrive later, so readBack
// returns putErr, which is of unknown outcome.
func (i *intentStore) readBack(ctx context.Context, record wireIntent, putErr error) (winch.Version, error) {
	entry, found, err := i.getRecord(ctx)
	if err != nil {
		return 0, fmt.Errorf("read back intent: %w: %w", winch.ErrOutcomeUnknown, err)
	}
	if found.WriteID != record.WriteID {
		return 0, putErr
	}
	return entry.Version, nil
}

func (i *intentStore) getRecord(ctx context.Context) (winch.Entry, wireIntent, error) {
	found := wireIntent{}
	entry, err := i.store.Get(ctx, i.key)
	if errors.Is(err, winch.ErrNotFound) {
		return winch.Entry{}, found, nil
	}
	if err != nil {
		return winch.Entry{}, found, fmt.Errorf("read intent: %w", err)
	}
	if err := json.Unmarshal(entry.Value, &found); err != nil {
		return winch.Entry{}, found, fmt.Errorf("decode intent: %w: %w", winch.ErrInvalid, err)
	}
	return entry, found, nil
}
