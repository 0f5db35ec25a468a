package keyvalue

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"

	"github.com/arbutuswinch/winch"
)

type rosterWire struct {
	Hosts []winch.HostID
}

// Roster returns the hosts that are counted for the data centre's majority.
func (s *Store) Roster(ctx context.Context, centre winch.DataCentreID) ([]winch.HostID, error) {
	hosts, _, err := s.readRoster(ctx, centre)
	return hosts, err
}

func (s *Store) rosterKey(centre winch.DataCentreID) string {
	return s.options.Prefix + "rosters/" + string(centre)
}

func (s *Store) readRoster(ctx context.Context, centre winch.DataCentreID) ([]winch.HostID, winch.Version, error) {
	entry, err := s.options.KeyValue.Get(ctx, s.rosterKey(centre))
	if errors.Is(err, winch.ErrNotFound) {
		return nil, winch.VersionAbsent, nil
	}
	if err != nil {
		return nil, 0, fmt.Errorf("read roster of %s: %w", centre, err)
	}
	wire := rosterWire{}
	if err := json.Unmarshal(entry.Value, &wire); err != nil {
		return nil, 0, fmt.Errorf("decode roster of %s: %w: %w", centre, winch.ErrInvalid, err)
	}
	return wire.Hosts, entry.Version, nil
}

// ChangeRoster adds hosts to the roster and removes others from it. It is idempotent,
// and retries a write whose response was lost.
func (s *Store) ChangeRoster(ctx context.Context, centre winch.DataCentreID, added, dropped []winch.HostID) error {
	for range maxAttempts {
		hosts, version, err := s.readRoster(ctx, centre)
		if err != nil {
			return err
		}
		hosts = slices.DeleteFunc(append(hosts, added...), func(id winch.HostID) bool { return slices.Contains(dropped, id) })
		slices.Sort(hosts)
		value, err := json.Marshal(rosterWire{Hosts: slices.Compact(hosts)})
		if err != nil {
			return fmt.Errorf("encode roster of %s: %w", centre, err)
		}
		_, err = s.options.KeyValue.Put(ctx, s.rosterKey(centre), value, version)
		if err == nil {
			return nil
		}
		if !errors.Is(err, winch.ErrConflict) && !errors.Is(err, winch.ErrOutcomeUnknown) {
			return fmt.Errorf("write roster of %s: %w", centre, err)
		}
		if !sleep(ctx, retryPause) {
			break
		}
	}
	return fmt.Errorf("write roster of %s: %w", centre, winch.ErrOutcomeUnknown)
}
