package forwarder

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/arbutuswinch/winch"
	"github.com/arbutuswinch/winch/platform/platformtest"
)

// writtenConfiguration is the newest configuration of the operator.
type writtenConfiguration struct {
	// version is the operator's number, and previous that of the configuration before.
	version, previous int
	// second is set if it holds the key k2.
	second bool
	// acknowledged is when the store acknowledged it last, be it again.
	acknowledged time.Time
}

// entryWriters stand for the operator and the endpoints. They write entries to a store, and write again what the store has lost. It is
// safe for concurrent use.
type entryWriters struct {
	store *platformtest.Store
	// reachable is locked while the store is away, so that writes wait.
	reachable sync.Mutex

	mu            sync.Mutex
	configuration writtenConfiguration
	// values holds the newest value of each key, nil for one that was removed.
	values map[string][]byte
	// keys are those of all writes, in order, and written is when each was written last.
	keys    []string
	written map[string]time.Time
}

// storeCopy is a copy of the store, and the number of the writes that it holds.
type storeCopy struct {
	backup platformtest.Backup
	writes int
}

func newEntryWriters(store *platformtest.Store) *entryWriters {
	return &entryWriters{store: store, values: map[string][]byte{}, written: map[string]time.Time{}}
}

// write stores an entry, or removes it if the value is nil.
func (w *entryWriters) write(key string, value []byte) {
	w.reachable.Lock()
	defer w.reachable.Unlock()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.values[key] = value
	w.carryOut(key)
}

// carryOut carries out the newest write of the key.
func (w *entryWriters) carryOut(key string) {
	if value := w.values[key]; value != nil {
		w.store.Set(key, value)
	} else {
		w.store.Remove(key)
	}
	w.keys = append(w.keys, key)
	w.written[key] = time.Now()
	if key == platformtest.ConfigurationKey {
		w.configuration.acknowledged = w.written[key]
	}
}

// configure stores a configuration that is newer by the steps. It has one route of its own, and may hold the key k2.
func (w *entryWriters) configure(steps int, second bool) {
	w.reachable.Lock()
	defer w.reachable.Unlock()
	w.mu.Lock()
	defer w.mu.Unlock()
	current := w.configuration
	w.configuration = writtenConfiguration{version: current.version + steps, previous: current.version, second: second}
	w.values[platformtest.ConfigurationKey] = platformtest.Soak{
		Version: w.configuration.version, Extra: 1, Second: second, Scaling: true, ScalingElsewhere: []winch.DataCentreID{"b", "c"},
	}.Encode()
	w.carryOut(platformtest.ConfigurationKey)
}

func (w *entryWriters) newest() writtenConfiguration {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.configuration
}

func (w *entryWriters) copy() storeCopy {
	w.mu.Lock()
	defer w.mu.Unlock()
	return storeCopy{backup: w.store.Backup(), writes: len(w.keys)}
}

// setBack returns the store to the copy. It returns the keys whose writes are lost.
func (w *entryWriters) setBack(copied storeCopy) []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.store.Return(copied.backup)
	lost, seen := []string{}, map[string]bool{}
	for _, key := range w.keys[copied.writes:] {
		if !seen[key] {
			lost, seen[key] = append(lost, key), true
		}
	}
	return lost
}

// writeAgain writes the newest values of the keys in a random order, the last of them after the limit at most.
func (w *entryWriters) writeAgain(ctx context.Context, random *rand.Rand, keys []string, limit time.Duration) {
	random.Shuffle(len(keys), func(i, j int) { keys[i], keys[j] = keys[j], keys[i] })
	for _, key := range keys {
		wait(ctx, random, limit/time.Duration(len(keys)))
		w.writeOneAgain(key)
	}
}

func (w *entryWriters) writeOneAgain(key string) {
	w.reachable.Lock()
	defer w.reachable.Unlock()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.carryOut(key)
}

// removed returns when the entry was removed last, and whether it is.
func (w *entryWriters) removed(key string) (time.Time, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	value, found := w.values[key]
	return w.written[key], found && value == nil
}
