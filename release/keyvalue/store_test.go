package keyvalue

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/arbutuswinch/winch"
	"github.com/arbutuswinch/winch/release"
)

func newStore(t *testing.T, service winch.KeyValue, incarnation winch.Incarnation) *Store {
	t.Helper()
	store, err := New(Options{KeyValue: service, Incarnation: incarnation, Retention: 2 * bucketSize})
	assert.NilError(t, err)
	return store
}

func organisationNote(id string, base winch.Revision) winch.Note {
	return winch.Note{
		ID: winch.NoteID("add-" + id), Base: base,
		Added: winch.Items{Organisations: []winch.Organisation{{ID: winch.OrganisationID(id), Weight: 1}}},
	}
}

// assertReaderSees checks that a new store reads the given revision, and a configuration
// with the given number of organisations.
func assertReaderSees(t *testing.T, service winch.KeyValue, revision winch.Revision, organisations int) {
	t.Helper()
	store := newStore(t, service, "reader")
	head, err := store.Head(context.Background())
	assert.NilError(t, err)
	configuration, _, err := store.Fetch(context.Background(), nil, head)
	assert.NilError(t, err)
	assert.Equal(t, configuration.Revision, revision)
	assert.Equal(t, len(configuration.Organisations), organisations)
}

func TestCommit(t *testing.T) {
	ctx := context.Background()
	service := newFakeService()
	store := newStore(t, service, "a")
	t.Run("first note", func(t *testing.T) {
		result, err := store.Commit(ctx, nil, organisationNote("x", 0))
		assert.NilError(t, err)
		assert.Equal(t, result.Revision, winch.Revision(1))
		assert.Equal(t, len(result.Configuration.Organisations), 1)
	})
	t.Run("the same note again", func(t *testing.T) {
		result, err := store.Commit(ctx, nil, organisationNote("x", 0))
		assert.NilError(t, err)
		assert.Equal(t, result.Revision, winch.Revision(1))
		assert.Assert(t, result.Repeated)
	})
	t.Run("a different note with the same id", func(t *testing.T) {
		other := organisationNote("y", 0)
		other.ID = "add-x"
		_, err := store.Commit(ctx, nil, other)
		assert.ErrorIs(t, err, winch.ErrConflict)
	})
	t.Run("conflict with a commit after the base", func(t *testing.T) {
		change := winch.Note{ID: "change-x", Changed: winch.Items{Organisations: []winch.Organisation{{ID: "x", Weight: 2}}}}
		_, err := store.Commit(ctx, nil, change)
		assert.NilError(t, err)
		change.ID, change.Base = "change-x-too", 1
		_, err = store.Commit(ctx, nil, change)
		var conflict *winch.ReleaseConflict
		assert.Assert(t, errors.As(err, &conflict))
		assert.Equal(t, conflict.Revision, winch.Revision(2))
		assert.DeepEqual(t, conflict.Items, []string{"Organisations[x]"})
	})
	t.Run("an old base without conflict", func(t *testing.T) {
		result, err := store.Commit(ctx, nil, organisationNote("z", 1))
		assert.NilError(t, err)
		assert.Equal(t, result.Revision, winch.Revision(3))
	})
	t.Run("a base that is not committed", func(t *testing.T) {
		_, err := store.Commit(ctx, nil, organisationNote("w", 9))
		assert.ErrorIs(t, err, winch.ErrInvalid)
	})
	t.Run("the key-value service is unavailable", func(t *testing.T) {
		service.injectFault = func(string, string) fault { return faultUnavailable }
		_, err := store.Commit(ctx, nil, organisationNote("v", 0))
		assert.ErrorIs(t, err, winch.ErrUnavailable)
		service.injectFault = func(string, string) fault { return faultNone }
	})
	assertReaderSees(t, service, 3, 2)
}

// TestLostResponses names its subtests by the number of the fault.
func TestLostResponses(t *testing.T) {
	for _, lost := range []fault{faultRequestLost, faultResponseLost, faultDelayedWrite} {
		t.Run(fmt.Sprint(lost), func(t *testing.T) {
			service := newFakeService()
			random := rand.New(rand.NewPCG(1, 2))
			service.injectFault = func(call, _ string) fault {
				if call == "put" && random.IntN(2) == 0 {
					return lost
				}
				return faultNone
			}
			store := newStore(t, service, "a")
			for i := range 10 {
				result, err := store.Commit(context.Background(), nil, organisationNote(fmt.Sprint(i), 0))
				assert.NilError(t, err)
				assert.Equal(t, result.Revision, winch.Revision(i+1))
				assert.Assert(t, !result.Repeated)
			}
			service.injectFault = func(string, string) fault { return faultNone }
			assertReaderSees(t, service, 10, 10)
		})
	}
	t.Run("the outcome is unknown if it cannot be read", func(t *testing.T) {
		service := newFakeService()
		service.injectFault = func(call, key string) fault {
			if service.calls["put"] > 0 {
				return faultUnavailable
			}
			return faultNone
		}
		// The first write is that of the head. It takes effect and its response is lost;
		// all later calls fail.
		injectFault := service.injectFault
		service.injectFault = func(call, key string) fault {
			if call == "put" && strings.HasSuffix(key, "head") {
				return faultResponseLost
			}
			return injectFault(call, key)
		}
		_, err := newStore(t, service, "a").Commit(context.Background(), nil, organisationNote("x", 0))
		assert.ErrorIs(t, err, winch.ErrOutcomeUnknown)
	})
}

func TestSnapshots(t *testing.T) {
	ctx := context.Background()
	service := newFakeService()
	store := newStore(t, service, "a")
	current := release.Empty()
	const commits = 4*bucketSize + 10
	for i := range commits {
		result, err := store.Commit(ctx, current, organisationNote(fmt.Sprint(i), 0))
		assert.NilError(t, err)
		current = result.Configuration
	}
	assertReaderSees(t, service, commits, commits)
	t.Run("notes beyond the retention are deleted", func(t *testing.T) {
		_, err := store.Find(ctx, "add-0")
		assert.ErrorIs(t, err, winch.ErrNotFound)
	})
	t.Run("notes within the retention are found", func(t *testing.T) {
		found, err := store.Find(ctx, winch.NoteID(fmt.Sprintf("add-%d", commits-bucketSize)))
		assert.NilError(t, err)
		assert.Equal(t, found.Revision, winch.Revision(commits-bucketSize+1))
	})
	t.Run("a reader that is behind gets the records", func(t *testing.T) {
		head, err := store.Head(ctx)
		assert.NilError(t, err)
		// Fetch returns the records after the base's revision, whatever its items.
		base := release.Empty()
		for revision := winch.Revision(1); revision <= commits-100; revision++ {
			base.Revision = revision
		}
		_, records, err := store.Fetch(ctx, base, head)
		assert.NilError(t, err)
		assert.Equal(t, len(records), 100)
	})
}

func TestLongNote(t *testing.T) {
	ctx := context.Background()
	service := newFakeService()
	store := newStore(t, service, "a")
	note := winch.Note{ID: "long"}
	for i := range longNoteOrganisations {
		note.Added.Organisations = append(note.Added.Organisations,
			winch.Organisation{ID: winch.OrganisationID(fmt.Sprintf("organisation-with-a-long-name-%d-%s", i, strings.Repeat("n", 60))), Weight: 1})
	}
	result, err := store.Commit(ctx, nil, note)
	assert.NilError(t, err)
	assert.Equal(t, result.Revision, winch.Revision(1))
	assertReaderSees(t, service, 1, longNoteOrganisations)
	assert.Assert(t, len(service.entries["release/head"].Value) < maxInlineNote)
}

const longNoteOrganisations = 15000

func TestNext(t *testing.T) {
	ctx := context.Background()
	service := newFakeService()
	store := newStore(t, service, "a")
	head, err := store.WaitHead(ctx, winch.ReleaseHead{}, 0)
	assert.NilError(t, err)
	assert.Equal(t, head.Revision, winch.Revision(0))
	_, err = store.Commit(ctx, nil, organisationNote("x", 0))
	assert.NilError(t, err)
	head, err = store.WaitHead(ctx, head, 0)
	assert.NilError(t, err)
	assert.Equal(t, head.Revision, winch.Revision(1))
	assert.Equal(t, head.Record.Note.ID, winch.NoteID("add-x"))
	again, err := store.WaitHead(ctx, head, 0)
	assert.NilError(t, err)
	assert.Equal(t, again.Revision, winch.Revision(1))
}

func TestAccepted(t *testing.T) {
	ctx := context.Background()
	store := newStore(t, newFakeService(), "a")
	for _, step := range []struct{ mark, want winch.Revision }{{3, 3}, {2, 3}, {5, 5}} {
		assert.NilError(t, store.MarkAccepted(ctx, step.mark))
		accepted, err := store.Accepted(ctx)
		assert.NilError(t, err)
		assert.Equal(t, accepted, step.want)
	}
}

func TestNew(t *testing.T) {
	for _, options := range []Options{
		{}, {KeyValue: newFakeService()}, {KeyValue: newFakeService(), Incarnation: "with spaces"},
		{KeyValue: newFakeService(), Incarnation: "a", Retention: 1},
	} {
		_, err := New(options)
		assert.ErrorIs(t, err, winch.ErrInvalid)
	}
}
