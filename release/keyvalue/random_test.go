package keyvalue

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/arbutuswinch/winch"
)

// TestCommitsUnderFaults commits from several stores in turn while calls to the
// key-value service fail. A note that was reported as committed must be committed
// once, at the reported revision. A note that was reported as failed must not be
// committed, unless an earlier attempt was committed or had an unknown outcome.
func TestCommitsUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		service := newFakeService()
		stores := []*Store{}
		for i := range 3 {
			store, err := New(Options{KeyValue: service, Incarnation: winch.Incarnation(fmt.Sprint(i))})
			assert.NilError(t, err)
			stores = append(stores, store)
		}
		confirmed, unknown := map[winch.NoteID]winch.Revision{}, map[winch.NoteID]bool{}
		service.injectFault = randomFaults(rapid.Uint64().Draw(t, "faults"))
		for range rapid.IntRange(1, 12).Draw(t, "commits") {
			note := organisationNote(fmt.Sprint(rapid.IntRange(0, 5).Draw(t, "note")), 0)
			result, err := rapid.SampledFrom(stores).Draw(t, "store").Commit(context.Background(), nil, note)
			earlier, found := confirmed[note.ID]
			switch {
			case err == nil:
				assert.Assert(t, !found || result.Revision == earlier)
				confirmed[note.ID] = result.Revision
			case errors.Is(err, winch.ErrOutcomeUnknown):
				unknown[note.ID] = true
			default:
				assert.ErrorIs(t, err, winch.ErrUnavailable)
				_, committed := readCommitted(t, service)[note.ID]
				assert.Assert(t, !committed || found || unknown[note.ID], "note %s was reported as failed but is committed", note.ID)
			}
		}
		committed := readCommitted(t, service)
		for id, revision := range confirmed {
			assert.Equal(t, committed[id], revision)
		}
	})
}

// randomFaults returns a function that draws the fault of each call from a linear
// congruential generator. Of the draws 0 to 9, 1 to 4 are faults, and the others none.
func randomFaults(seed uint64) func(string, string) fault {
	return func(string, string) fault {
		seed = seed*6364136223846793005 + 1442695040888963407
		if draw := seed >> 33 % 10; draw < 5 {
			return fault(draw)
		}
		return faultNone
	}
}

// readCommitted returns the revisions of all committed notes. It checks that each
// id was committed once.
func readCommitted(t assert.TestingT, service *fakeService) map[winch.NoteID]winch.Revision {
	injectFault := service.injectFault
	defer func() { service.injectFault = injectFault }()
	service.injectFault = func(string, string) fault { return faultNone }
	store, err := New(Options{KeyValue: service, Incarnation: "reader"})
	assert.NilError(t, err)
	head, err := store.Head(context.Background())
	assert.NilError(t, err)
	records, err := store.readRecords(context.Background(), 1, head.Revision)
	assert.NilError(t, err)
	committed := map[winch.NoteID]winch.Revision{}
	for _, record := range records {
		_, duplicate := committed[record.Note.ID]
		assert.Assert(t, !duplicate, "note %s was committed twice", record.Note.ID)
		committed[record.Note.ID] = record.Revision
	}
	return committed
}

// commitResult is the result of committing a change from a base revision.
type commitResult struct {
	base     winch.Revision
	revision winch.Revision
	conflict bool
}

// commitModel is the sequential specification: a change gets the next revision if no
// other change of the same item was committed after its base, and conflicts otherwise.
func commitModel() porcupine.Model {
	return porcupine.Model{
		Init: func() any { return winch.Revision(1) },
		Step: func(state, input, output any) (bool, any) {
			revision, base, result := state.(winch.Revision), input.(winch.Revision), output.(commitResult)
			if result.conflict {
				return base < revision, revision
			}
			return base == revision && result.revision == revision+1, revision + 1
		},
	}
}

// TestRacingCommits checks that concurrent commits of changes to the same item are linearizable.
func TestRacingCommits(t *testing.T) {
	service := newFakeService()
	first := newStore(t, service, "first")
	_, err := first.Commit(t.Context(), nil, organisationNote("x", 0))
	assert.NilError(t, err)
	var mu sync.Mutex
	history := []porcupine.Operation{}
	start := time.Now()
	var group sync.WaitGroup
	for client := range 4 {
		group.Go(func() {
			store := newStore(t, service, winch.Incarnation(fmt.Sprint(client)))
			for i := range 12 {
				head, err := store.Head(t.Context())
				assert.Check(t, err)
				call := time.Since(start)
				result := commitChange(t, store, head.Revision, fmt.Sprintf("%d-%d", client, i))
				mu.Lock()
				history = append(history, porcupine.Operation{
					ClientId: client, Input: head.Revision, Call: int64(call), Output: result, Return: int64(time.Since(start)),
				})
				mu.Unlock()
			}
		})
	}
	group.Wait()
	assert.Assert(t, porcupine.CheckOperations(commitModel(), history))
	t.Run("the model rejects a lost update", func(t *testing.T) {
		wrong := []porcupine.Operation{
			{ClientId: 0, Input: winch.Revision(1), Call: 0, Output: commitResult{base: 1, revision: 2}, Return: 1},
			{ClientId: 1, Input: winch.Revision(1), Call: 2, Output: commitResult{base: 1, revision: 3}, Return: 3},
		}
		assert.Assert(t, !porcupine.CheckOperations(commitModel(), wrong))
	})
}

func commitChange(t *testing.T, store *Store, base winch.Revision, id string) commitResult {
	_, err := store.Commit(t.Context(), nil, winch.Note{
		ID: winch.NoteID(id), Base: base,
		Changed: winch.Items{Organisations: []winch.Organisation{{ID: "x", Weight: 1 + int(base)}}},
	})
	result, findErr := store.Find(t.Context(), winch.NoteID(id))
	if errors.Is(err, winch.ErrConflict) {
		assert.Check(t, errors.Is(findErr, winch.ErrNotFound))
		return commitResult{base: base, conflict: true}
	}
	assert.Check(t, err)
	assert.Check(t, findErr)
	return commitResult{base: base, revision: result.Revision}
}
