package keyvalue

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/arbutuswinch/winch"
)

func weightNote(id string, weight int) winch.Note {
	return winch.Note{ID: winch.NoteID(id), Changed: winch.Items{Organisations: []winch.Organisation{{ID: "x", Weight: weight}}}}
}

// commitWithLostResponse commits a note whose first response is lost, and returns
// the head's revision. A second commit of the note would raise it.
func commitWithLostResponse(t *testing.T, disabled disabledGuards) winch.Revision {
	service := newFakeService()
	store := newStore(t, service, "a")
	store.disabled = disabled
	_, _ = store.Commit(t.Context(), nil, organisationNote("x", 0))
	lost := false
	service.injectFault = func(call, key string) fault {
		if call == "put" && strings.HasSuffix(key, "head") && !lost {
			lost = true
			return faultResponseLost
		}
		return faultNone
	}
	_, _ = store.Commit(t.Context(), nil, weightNote("change", 2))
	return headRevision(t, store)
}

// commitAgainAfterAnother commits a note, another one, and the first note again.
// It returns the head's revision without counting the other note.
func commitAgainAfterAnother(t *testing.T, disabled disabledGuards) winch.Revision {
	store := newStore(t, newFakeService(), "a")
	store.disabled = disabled
	for _, note := range []winch.Note{organisationNote("x", 0), weightNote("change", 2), weightNote("other", 3), weightNote("change", 2)} {
		_, _ = store.Commit(t.Context(), nil, note)
	}
	return headRevision(t, store) - 1
}

// commitBetweenCheckAndSwap has another store commit between the validation and the
// compare-and-swap. It returns the head's revision, which must count both commits.
func commitBetweenCheckAndSwap(t *testing.T, disabled disabledGuards) winch.Revision {
	service := newFakeService()
	store, other := newStore(t, service, "a"), newStore(t, service, "b")
	store.disabled = disabled
	_, err := store.Commit(t.Context(), nil, organisationNote("x", 0))
	assert.NilError(t, err)
	interleaved := false
	service.injectFault = func(call, key string) fault {
		if call == "put" && strings.Contains(key, "records/") && !interleaved {
			interleaved = true
			// injectFault is called with the lock held.
			service.mu.Unlock()
			_, err := other.Commit(t.Context(), nil, organisationNote("y", 0))
			service.mu.Lock()
			assert.Check(t, err)
		}
		return faultNone
	}
	_, _ = store.Commit(t.Context(), nil, organisationNote("z", 0))
	return headRevision(t, store)
}

func headRevision(t *testing.T, store *Store) winch.Revision {
	head, err := store.Head(t.Context())
	assert.NilError(t, err)
	return head.Revision
}

// TestGuards checks that commits are correct with all guards, and incorrect when one
// guard is disabled. scripts/faults.sh prints the names.
func TestGuards(t *testing.T) {
	for _, test := range []struct {
		name  string
		guard disabledGuards
		run   func(*testing.T, disabledGuards) winch.Revision
		want  winch.Revision
	}{
		{"find", disabledGuards{idLookup: true}, commitWithLostResponse, 2},
		{"index", disabledGuards{headArchive: true}, commitAgainAfterAnother, 2},
		{"expect", disabledGuards{versionCheck: true}, commitBetweenCheckAndSwap, 3},
	} {
		t.Run(test.name, func(t *testing.T) {
			assert.Equal(t, test.run(t, disabledGuards{}), test.want)
			assert.Assert(t, test.run(t, test.guard) != test.want)
		})
	}
}
