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

// repeatAfterLoss commits a note whose first answer is lost, and returns the head.
func repeatAfterLoss(t *testing.T, unguarded guards) winch.Revision {
	service := newFakeService()
	store := newStore(t, service, "a")
	store.unguarded = unguarded
	_, _ = store.Commit(t.Context(), nil, organisationNote("x", 0))
	lost := false
	service.fail = func(call, key string) fault {
		if call == "put" && strings.HasSuffix(key, "head") && !lost {
			lost = true
			return faultLostAnswer
		}
		return faultNone
	}
	_, _ = store.Commit(t.Context(), nil, weightNote("change", 2))
	return headOf(t, store)
}

// repeatLater commits a note again after another one.
func repeatLater(t *testing.T, unguarded guards) winch.Revision {
	store := newStore(t, newFakeService(), "a")
	store.unguarded = unguarded
	for _, note := range []winch.Note{organisationNote("x", 0), weightNote("change", 2), weightNote("other", 3), weightNote("change", 2)} {
		_, _ = store.Commit(t.Context(), nil, note)
	}
	return headOf(t, store) - 1
}

// commitBetween lets another store commit between the check and the swap.
func commitBetween(t *testing.T, unguarded guards) winch.Revision {
	service := newFakeService()
	store, other := newStore(t, service, "a"), newStore(t, service, "b")
	store.unguarded = unguarded
	_, err := store.Commit(t.Context(), nil, organisationNote("x", 0))
	assert.NilError(t, err)
	between := false
	service.fail = func(call, key string) fault {
		if call == "put" && strings.Contains(key, "records/") && !between {
			between = true
			service.mu.Unlock()
			_, err := other.Commit(t.Context(), nil, organisationNote("y", 0))
			service.mu.Lock()
			assert.Check(t, err)
		}
		return faultNone
	}
	_, _ = store.Commit(t.Context(), nil, organisationNote("z", 0))
	return headOf(t, store)
}

func headOf(t *testing.T, store *Store) winch.Revision {
	head, err := store.Head(t.Context())
	assert.NilError(t, err)
	return head.Revision
}

// TestGuards shows that each rule is needed.
func TestGuards(t *testing.T) {
	for _, test := range []struct {
		name  string
		guard guards
		play  func(*testing.T, guards) winch.Revision
		want  winch.Revision
	}{
		{"find", guards{find: true}, repeatAfterLoss, 2},
		{"index", guards{index: true}, repeatLater, 2},
		{"expect", guards{expect: true}, commitBetween, 3},
	} {
		t.Run(test.name, func(t *testing.T) {
			assert.Equal(t, test.play(t, guards{}), test.want)
			assert.Assert(t, test.play(t, test.guard) != test.want)
		})
	}
}
