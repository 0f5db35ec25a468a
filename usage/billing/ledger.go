package billing

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"strconv"
	"time"

	"github.com/arbutuswinch/winch"
	"github.com/arbutuswinch/winch/usage"
	"github.com/arbutuswinch/winch/usage/keyvalue"
)

// ledger is this host's view of a shard's entries in the key-value service. It is used until
// the term ends or an access to the service fails. Opening it rewrites the head; after that no
// late write of a former lease holder can change the chain of seals.
type ledger struct {
	store       winch.KeyValue
	shard       winch.Shard
	incarnation winch.Incarnation
	number      winch.FencingNumber
	// openedAt is the window time at which this ledger was opened.
	openedAt time.Time
	// onTimeFrom is the only data centre that collects counts if Options.OnTimeFrom is set. Counts that come after the seal of
	// their window are then not read.
	onTimeFrom winch.DataCentreID
	// length is that of a window, and retention how long counts are kept.
	length, retention time.Duration

	head      keyvalue.Head
	version   winch.Version
	accounted usage.Totals
	// unreported holds the seals whose reports may still have to be sent, oldest first.
	unreported []keyvalue.Seal
	collected  map[usage.Source]map[winch.OrganisationID]usage.Counts
	// complete holds for each window the hosts whose counts are all collected.
	complete map[usage.Window]usage.HostSet
	// closed holds the sources of stored counts that are not reported any more.
	closed     []usage.Source
	seals      []sealRef
	writeCount int
	// created is set if there was no head.
	created bool
	// incomplete is set if the seal that the head names is missing although it is too young to have been deleted.
	incomplete bool
}

// sealRef identifies a stored seal, whether or not the head's chain reaches it.
type sealRef struct {
	window usage.Window
	write  winch.WriteID
}

// openLedger opens a ledger at the start of a term, and again after a failure: it reads the
// head, rewrites it with the number of the term and reads the chain of seals.
func openLedger(ctx context.Context, now time.Time, options Options, number winch.FencingNumber) (*ledger, error) {
	store, shard := options.Store, options.Shard
	l := &ledger{store: store, shard: shard, incarnation: options.Incarnation, number: number, openedAt: now, accounted: usage.Totals{},
		onTimeFrom: options.OnTimeFrom, length: options.Window, retention: options.Retention,
	}
	entry, err := store.Get(ctx, keyvalue.HeadKey(shard))
	switch {
	case errors.Is(err, winch.ErrNotFound):
		l.created = true
	case err != nil:
		return nil, fmt.Errorf("read head: %w", err)
	default:
		if l.head, err = keyvalue.DecodeHead(entry.Value); err != nil {
			return nil, err
		}
		l.version = entry.Version
	}
	if l.head.Number > number {
		return nil, fmt.Errorf("head was written in newer term %d: %w", l.head.Number, winch.ErrNotLeaseHolder)
	}
	if err := l.writeHead(ctx, l.head); err != nil {
		return nil, err
	}
	return l, l.readChain(ctx)
}

// nextWriteID returns a new id for a write. It contains the version of the head, because
// writeCount starts at zero in each ledger of a process.
func (l *ledger) nextWriteID() winch.WriteID {
	l.writeCount++
	return winch.WriteID(string(l.incarnation) + "-" + strconv.FormatInt(int64(l.version), 10) + "-" + strconv.Itoa(l.writeCount))
}

// writeHead replaces the head by compare-and-swap. If the response is lost, it reads the head
// back to find out whether the write took effect.
func (l *ledger) writeHead(ctx context.Context, head keyvalue.Head) error {
	head.Number, head.Write = l.number, l.nextWriteID()
	value, err := keyvalue.EncodeHead(head)
	if err != nil {
		return err
	}
	key := keyvalue.HeadKey(l.shard)
	version, err := l.store.Put(ctx, key, value, l.version)
	if errors.Is(err, winch.ErrOutcomeUnknown) {
		version, err = l.readBack(ctx, key, err, func(value []byte) bool {
			found, err := keyvalue.DecodeHead(value)
			return err == nil && found.Write == head.Write
		})
	}
	if err != nil {
		return fmt.Errorf("write head: %w", err)
	}
	l.head, l.version = head, version
	return nil
}

// readBack reads the entry and returns its version if isOwnWrite accepts the value, else
// writeErr. Unlike PutConfirmed of package winch/keyvalue it does not retry: after any failure
// the ledger is opened again.
func (l *ledger) readBack(ctx context.Context, key string, writeErr error, isOwnWrite func([]byte) bool) (winch.Version, error) {
	entry, err := l.store.Get(ctx, key)
	if err != nil {
		return 0, fmt.Errorf("read entry back: %w: %w", winch.ErrOutcomeUnknown, err)
	}
	if !isOwnWrite(entry.Value) {
		return 0, writeErr
	}
	return entry.Version, nil
}

// readChain reads the seals and follows the chain backwards from the head. It ignores seals
// outside the chain, which the head never named or which are older than a deleted seal.
func (l *ledger) readChain(ctx context.Context) error {
	entries, _, err := l.store.List(ctx, keyvalue.SealPrefix(l.shard))
	if err != nil {
		return fmt.Errorf("list seals: %w", err)
	}
	seals := map[winch.WriteID]keyvalue.Seal{}
	for _, entry := range entries {
		seal, err := keyvalue.DecodeSeal(entry.Value)
		if err != nil {
			return err
		}
		seals[seal.Write] = seal
		l.seals = append(l.seals, sealRef{window: seal.Window, write: seal.Write})
	}
	chain := []keyvalue.Seal{}
	_, found := seals[l.head.LastSeal]
	l.incomplete = !found && l.head.LastSeal != "" && l.head.Last.Start().After(l.openedAt.Add(-l.retention))
	for id := l.head.LastSeal; id != ""; {
		seal, found := seals[id]
		if !found {
			// prune has deleted this seal, so all counts that it covers are too old to be adjusted, or it was lost (see incomplete).
			break
		}
		chain = append(chain, seal)
		id = seal.Previous
	}
	for i := len(chain) - 1; i >= 0; i-- {
		l.accounted.AddAll(chain[i].Increments)
		if chain[i].Window > l.head.Reported {
			l.unreported = append(l.unreported, chain[i])
		}
	}
	return nil
}

// readCollected reads the collected counts of the shard: those of the windows before firstOpen that are not sealed, or of all
// windows if late counts are reported too.
func (l *ledger) readCollected(ctx context.Context, firstOpen usage.Window) error {
	entries := []winch.Entry{}
	for _, prefix := range l.collectedPrefixes(firstOpen) {
		found, _, err := l.store.List(ctx, prefix)
		if err != nil {
			return fmt.Errorf("list collected counts: %w", err)
		}
		entries = append(entries, found...)
	}
	return l.decodeCollected(entries)
}

// collectedPrefixes returns the prefixes of the keys to read. The counts of one window of a large fleet have hundreds of kilobytes.
func (l *ledger) collectedPrefixes(firstOpen usage.Window) []string {
	if l.onTimeFrom == "" || l.head.Last == 0 {
		return []string{keyvalue.CollectedPrefix(l.shard)}
	}
	step := usage.Window(l.length / time.Second)
	oldest := (firstOpen - usage.Window(l.retention/time.Second)) / step * step
	prefixes := []string{}
	for window := max((l.head.Last/step+1)*step, oldest); window < firstOpen; window += step {
		prefixes = append(prefixes, keyvalue.CollectedWindowPrefix(l.shard, window))
	}
	return prefixes
}

func (l *ledger) decodeCollected(entries []winch.Entry) error {
	l.collected, l.complete, l.closed = usage.Totals{}, map[usage.Window]usage.HostSet{}, nil
	for _, entry := range entries {
		source, err := keyvalue.ParseCollectedKey(l.shard, entry.Key)
		if err != nil {
			return err
		}
		if source.Window <= l.head.Closed {
			l.closed = append(l.closed, source)
			continue
		}
		collected, err := keyvalue.DecodeCollected(source.Window, entry.Value)
		if err != nil {
			return err
		}
		if l.complete[source.Window] == nil {
			l.complete[source.Window] = usage.HostSet{}
		}
		maps.Copy(l.complete[source.Window], collected.Complete)
		for _, counter := range collected.Cells {
			usage.Totals(l.collected).Add(source, counter.Key.Organisation, counter.Counts)
		}
	}
	return nil
}

// seal fixes the figures of the window: it writes the seal and then the head, which makes the
// seal valid.
func (l *ledger) seal(ctx context.Context, window usage.Window) (keyvalue.Seal, error) {
	figures, increments := usage.Seal(window, l.collected, l.accounted)
	seal := keyvalue.Seal{
		Window: window, Previous: l.head.LastSeal, Write: l.nextWriteID(), Figures: figures, Increments: increments,
	}
	if err := l.writeSeal(ctx, seal); err != nil {
		return keyvalue.Seal{}, fmt.Errorf("write seal of window %s: %w", window.Start(), err)
	}
	l.seals = append(l.seals, sealRef{window: window, write: seal.Write})
	head := l.head
	head.Last, head.LastSeal = window, seal.Write
	if err := l.writeHead(ctx, head); err != nil {
		return keyvalue.Seal{}, err
	}
	l.accounted.AddAll(increments)
	l.unreported = append(l.unreported, seal)
	return seal, nil
}

// firstEra is the first era that a key-value service tells.
const firstEra winch.Era = 1

// lostWrites reports whether the key-value service may have lost what was written after the head that was read: it has begun another era
// since. If there was no head in the first era, nothing was written.
func (l *ledger) lostWrites() bool {
	return l.head.Era < l.version.Era() && !(l.created && l.version.Era() <= firstEra)
}

// noteEra records the era of the key-value service in the head, if it is newer.
func (l *ledger) noteEra(ctx context.Context) error {
	if l.head.Era >= l.version.Era() {
		return nil
	}
	head := l.head
	head.Era = l.version.Era()
	return l.writeHead(ctx, head)
}

// skip makes windows up to the given one count as sealed and reported, though the head names none of their seals. Their counts are
// not reported as late ones either.
func (l *ledger) skip(ctx context.Context, window usage.Window) error {
	head := l.head
	head.Last, head.LastSeal, head.Reported, head.Closed = window, "", window, window
	head.Era = max(head.Era, l.version.Era())
	if err := l.writeHead(ctx, head); err != nil {
		return err
	}
	l.accounted, l.unreported = usage.Totals{}, nil
	return nil
}

// writeSeal creates the entry of the seal under its own key.
func (l *ledger) writeSeal(ctx context.Context, seal keyvalue.Seal) error {
	value, err := keyvalue.EncodeSeal(seal)
	if err != nil {
		return err
	}
	key := keyvalue.SealKey(l.shard, seal.Window, seal.Write)
	_, err = l.store.Put(ctx, key, value, winch.VersionAbsent)
	if errors.Is(err, winch.ErrOutcomeUnknown) {
		// The key contains the write id, so an entry under it is this write.
		_, err = l.readBack(ctx, key, err, func([]byte) bool { return true })
	}
	return err
}

// markReported records in the head that the report of the window, which must be the one of
// unreported[0], needs no further attempt.
func (l *ledger) markReported(ctx context.Context, window usage.Window) error {
	head := l.head
	head.Reported = window
	if err := l.writeHead(ctx, head); err != nil {
		return err
	}
	l.unreported = l.unreported[1:]
	return nil
}

// collectedBefore returns the sources of the counts of windows before the cutoff that may be stored.
func (l *ledger) collectedBefore(cutoff usage.Window) []usage.Source {
	sources := []usage.Source{}
	for _, source := range l.closed {
		if source.Window < cutoff {
			sources = append(sources, source)
		}
	}
	for source := range l.collected {
		if source.Window < cutoff {
			sources = append(sources, source)
		}
	}
	for source := range l.accounted {
		if _, read := l.collected[source]; !read && l.onTimeFrom != "" && source.Window < cutoff {
			sources = append(sources, source)
		}
	}
	return sources
}

// prune deletes the collected counts of windows before the cutoff, for which hosts store no
// counts any more, and forgets that they were accounted. It also deletes the seals of windows
// that are older than the cutoff by more than the retention.
func (l *ledger) prune(ctx context.Context, cutoff usage.Window, retention time.Duration) error {
	for _, source := range l.collectedBefore(cutoff) {
		if err := l.store.Delete(ctx, keyvalue.CollectedKey(l.shard, source), winch.VersionAny); err != nil && !errors.Is(err, winch.ErrNotFound) {
			return fmt.Errorf("delete collected counts: %w", err)
		}
		delete(l.collected, source)
		delete(l.accounted, source)
	}
	kept := l.seals[:0]
	for _, ref := range l.seals {
		if ref.window >= cutoff-usage.Window(retention/time.Second) {
			kept = append(kept, ref)
			continue
		}
		if err := l.store.Delete(ctx, keyvalue.SealKey(l.shard, ref.window, ref.write), winch.VersionAny); err != nil && !errors.Is(err, winch.ErrNotFound) {
			return fmt.Errorf("delete seal: %w", err)
		}
	}
	l.seals = kept
	return nil
}
