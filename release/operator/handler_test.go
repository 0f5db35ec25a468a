package operator

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/arbutuswinch/winch"
	"github.com/arbutuswinch/winch/internal/memory"
	"github.com/arbutuswinch/winch/release"
)

var now = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)

// fakeRelease is a fake release log, tracker and clock.
type fakeRelease struct {
	winch.ReleaseLog
	winch.ReleaseTracker
	current *winch.Configuration
	notes   map[winch.NoteID]winch.Revision
	// recent makes RecentRevision find the notes.
	recent   bool
	accepted winch.Revision
	err      error
}

func (f *fakeRelease) Now() time.Time { return now }

func (f *fakeRelease) Commit(_ context.Context, current *winch.Configuration, note winch.Note) (winch.ReleaseResult, error) {
	if f.err != nil {
		return winch.ReleaseResult{}, f.err
	}
	if err := release.Check(current, note); err != nil {
		return winch.ReleaseResult{}, err
	}
	record := winch.ReleaseRecord{Revision: current.Revision + 1, Note: note}
	f.notes[note.ID] = record.Revision
	return winch.ReleaseResult{Revision: record.Revision, Record: &record, Configuration: release.ApplyRecord(current, record)}, nil
}

func (f *fakeRelease) Find(_ context.Context, id winch.NoteID) (winch.ReleaseResult, error) {
	revision, found := f.notes[id]
	if f.err != nil || !found {
		return winch.ReleaseResult{}, fmt.Errorf("find: %w", winch.ErrNotFound)
	}
	return winch.ReleaseResult{Note: id, Revision: revision}, nil
}

func (f *fakeRelease) Accepted(context.Context) (winch.Revision, error) { return f.accepted, f.err }
func (f *fakeRelease) Current() *winch.Configuration                    { return f.current }
func (f *fakeRelease) ApplyCommit(_ time.Time, result winch.ReleaseResult) {
	f.current = result.Configuration
}

func (f *fakeRelease) RecentRevision(id winch.NoteID) (winch.Revision, bool) {
	return f.notes[id], f.recent && f.notes[id] > 0
}

func (f *fakeRelease) Progress(_ time.Time, revision winch.Revision) winch.ReleaseProgress {
	return winch.ReleaseProgress{Revision: revision, Centres: []winch.DataCentreProgress{
		{DataCentre: "a", Revision: revision, InForce: true, Hosts: 2, Heard: now},
		{DataCentre: "b", Hosts: 2, Behind: []winch.HostID{"h3"}, Until: now.Add(time.Minute)},
	}}
}

func newFake() *fakeRelease {
	return &fakeRelease{current: release.Empty(), notes: map[winch.NoteID]winch.Revision{}, recent: true}
}

// call sends a request to a handler and returns the status and the decoded response.
func call(t *testing.T, fake *fakeRelease, method, path, body string) (int, map[string]any) {
	t.Helper()
	handler, err := New(Options{Log: fake, Tracker: fake, Clock: fake})
	assert.NilError(t, err)
	recorder := httptest.NewRecorder()
	handler.Handler().ServeHTTP(recorder, httptest.NewRequest(method, path, strings.NewReader(body)))
	response := map[string]any{}
	assert.NilError(t, json.Unmarshal(recorder.Body.Bytes(), &response))
	return recorder.Code, response
}

const organisationNote = `{"ID": "n1", "Added": {"Organisations": [{"ID": "o", "Weight": 1}]}}`

func TestNotes(t *testing.T) {
	fake := newFake()
	t.Run("checking a note commits nothing", func(t *testing.T) {
		status, response := call(t, fake, "POST", "/operator/notes/check", organisationNote)
		assert.Equal(t, status, http.StatusOK)
		assert.DeepEqual(t, response["Items"], []any{"Organisations[o]"})
		assert.Equal(t, len(fake.notes), 0)
	})
	t.Run("committing a note returns its status", func(t *testing.T) {
		status, response := call(t, fake, "POST", "/operator/notes", organisationNote)
		assert.Equal(t, status, http.StatusOK)
		assert.Equal(t, response["Revision"], 1.0)
		assert.Equal(t, response["Committed"], true)
		assert.Equal(t, response["Accepted"], false)
		waiting := response["Centres"].([]any)[1].(map[string]any)
		assert.Equal(t, waiting["Until"], "2030-01-01T00:01:00Z")
		assert.DeepEqual(t, waiting["Behind"], []any{"h3"})
	})
	t.Run("status at a host that does not know the note", func(t *testing.T) {
		other := newFake()
		other.notes, other.recent, other.accepted = fake.notes, false, 1
		status, response := call(t, other, "GET", "/operator/notes/n1", "")
		assert.Equal(t, status, http.StatusOK)
		assert.Equal(t, response["Accepted"], true)
	})
	t.Run("an unknown note", func(t *testing.T) {
		status, _ := call(t, fake, "GET", "/operator/notes/n2", "")
		assert.Equal(t, status, http.StatusNotFound)
	})
	t.Run("an invalid field", func(t *testing.T) {
		status, response := call(t, fake, "POST", "/operator/notes", `{"ID": "n", "Added": {"Organisations": [{"ID": "p", "Weight": 0}]}}`)
		assert.Equal(t, status, http.StatusBadRequest)
		assert.Assert(t, strings.HasPrefix(response["Message"].(string), "Added.Organisations[0].Weight: 0 is not between"))
	})
	t.Run("a conflict response contains the revision and the items", func(t *testing.T) {
		conflicting := newFake()
		conflicting.err = fmt.Errorf("commit: %w", &winch.ReleaseConflict{Revision: 4, Items: []string{"Keys[k]"}})
		status, response := call(t, conflicting, "POST", "/operator/notes", organisationNote)
		assert.Equal(t, status, http.StatusConflict)
		assert.Equal(t, response["Revision"], 4.0)
		assert.DeepEqual(t, response["Items"], []any{"Keys[k]"})
	})
	t.Run("the platform is unavailable", func(t *testing.T) {
		unavailable := newFake()
		unavailable.err = fmt.Errorf("commit: %w", winch.ErrUnavailable)
		status, _ := call(t, unavailable, "POST", "/operator/notes", organisationNote)
		assert.Equal(t, status, http.StatusServiceUnavailable)
	})
}

func TestKeys(t *testing.T) {
	fake := newFake()
	_, _ = call(t, fake, "POST", "/operator/notes", organisationNote)
	hash := winch.HashKey("secret").String()
	t.Run("add", func(t *testing.T) {
		status, _ := call(t, fake, "POST", "/operator/keys", `{"Note": "n2", "ID": "k", "Organisation": "o", "Hash": "`+hash+`"}`)
		assert.Equal(t, status, http.StatusOK)
		assert.Equal(t, fake.current.Keys["k"].Hash, winch.HashKey("secret"))
	})
	t.Run("list without hashes", func(t *testing.T) {
		_, response := call(t, fake, "GET", "/operator/keys", "")
		assert.DeepEqual(t, response["Keys"], []any{map[string]any{"ID": "k", "Organisation": "o"}})
	})
	t.Run("withdraw", func(t *testing.T) {
		status, _ := call(t, fake, "DELETE", "/operator/keys/k?note=n3", "")
		assert.Equal(t, status, http.StatusOK)
		assert.Equal(t, len(fake.current.Keys), 0)
	})
	t.Run("a note id is required", func(t *testing.T) {
		status, response := call(t, fake, "DELETE", "/operator/keys/k", "")
		assert.Equal(t, status, http.StatusBadRequest)
		assert.Assert(t, strings.Contains(response["Message"].(string), "ID: is missing"))
	})
	t.Run("an invalid hash", func(t *testing.T) {
		status, _ := call(t, fake, "POST", "/operator/keys", `{"Note": "n4", "ID": "k", "Organisation": "o", "Hash": "12"}`)
		assert.Equal(t, status, http.StatusBadRequest)
	})
}

// TestNotesBeyondTheBudgetAreRefused guards against notes that are read although other requests take the memory, and against a refusal
// after which an operator does not know whether the note was committed.
func TestNotesBeyondTheBudgetAreRefused(t *testing.T) {
	fake, budget := newFake(), memory.NewBudget(1<<20)
	handler, err := New(Options{Log: fake, Tracker: fake, Clock: fake, Memory: budget})
	assert.NilError(t, err)
	for _, path := range []string{"/operator/notes", "/operator/notes/check"} {
		t.Run(path, func(t *testing.T) {
			response := httptest.NewRecorder()
			handler.Handler().ServeHTTP(response, httptest.NewRequest(http.MethodPost, path, strings.NewReader(strings.Repeat(" ", 2<<20))))
			assert.Equal(t, response.Code, http.StatusServiceUnavailable)
			assert.Equal(t, response.Header().Get("Retry-After"), "1")
			assert.Assert(t, strings.Contains(response.Body.String(), "nothing was done"), response.Body.String())
			assert.Equal(t, len(fake.notes), 0)
			assert.Equal(t, budget.Usage().Used, int64(0))
		})
	}
}
