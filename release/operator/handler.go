package operator

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/arbutuswinch/winch"
	"github.com/arbutuswinch/winch/httpjson"
	"github.com/arbutuswinch/winch/internal/memory"
	"github.com/arbutuswinch/winch/release"
)

const (
	defaultTimeout = 10 * time.Second
	// maxKeyBody is the maximum size of a request to add a key, in bytes.
	maxKeyBody = 4 << 10
)

// Options are the settings of a Handler.
type Options struct {
	Log     winch.ReleaseLog
	Tracker winch.ReleaseTracker
	Clock   winch.Clock
	// Logger may be nil.
	Logger hclog.Logger
	// Timeout bounds the handling of a request. The default is ten seconds.
	Timeout time.Duration
	// Memory is the budget of all requests of the process. Nil means no limit.
	Memory *memory.Budget
}

// Handler implements the operators' HTTP API for notes and keys.
type Handler struct {
	options Options
	mux     *http.ServeMux
}

// New returns a Handler.
func New(options Options) (*Handler, error) {
	if options.Log == nil || options.Tracker == nil || options.Clock == nil {
		return nil, fmt.Errorf("create operator handler: Log, Tracker and Clock are required: %w", winch.ErrInvalid)
	}
	if options.Timeout == 0 {
		options.Timeout = defaultTimeout
	}
	if options.Logger == nil {
		options.Logger = hclog.NewNullLogger()
	}
	h := &Handler{options: options, mux: http.NewServeMux()}
	h.mux.HandleFunc("POST /operator/notes/check", h.jsonHandler(h.checkNote))
	h.mux.HandleFunc("POST /operator/notes", h.jsonHandler(h.applyNote))
	h.mux.HandleFunc("GET /operator/notes/{id}", h.jsonHandler(h.noteStatus))
	h.mux.HandleFunc("GET /operator/notes", h.jsonHandler(h.currentStatus))
	h.mux.HandleFunc("GET /operator/keys", h.jsonHandler(h.listKeys))
	h.mux.HandleFunc("POST /operator/keys", h.jsonHandler(h.addKey))
	h.mux.HandleFunc("DELETE /operator/keys/{id}", h.jsonHandler(h.withdrawKey))
	return h, nil
}

// Handler returns the HTTP handler for the paths under /operator/notes and /operator/keys.
func (h *Handler) Handler() http.Handler { return httpjson.ChargeBodies(h.options.Memory, h.mux) }

// jsonHandler returns an HTTP handler that writes the result of call, or its error, as JSON.
func (h *Handler) jsonHandler(call func(http.ResponseWriter, *http.Request) (any, error)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		ctx, cancel := context.WithTimeout(r.Context(), h.options.Timeout)
		defer cancel()
		result, err := call(w, r.WithContext(ctx))
		if err == nil {
			httpjson.Write(w, http.StatusOK, result)
			return
		}
		var conflict *winch.ReleaseConflict
		if errors.As(err, &conflict) {
			httpjson.Write(w, http.StatusConflict, conflictWire{
				Code: "conflict", Message: err.Error(), Revision: conflict.Revision, Items: conflict.Items,
			})
			return
		}
		httpjson.WriteError(w, err)
	}
}

func readNote(w http.ResponseWriter, r *http.Request) (winch.Note, error) {
	limited, err := httpjson.LimitBody(w, r, release.MaxNoteSize)
	if err != nil {
		return winch.Note{}, fmt.Errorf("read note: %w", err)
	}
	body, err := io.ReadAll(limited)
	if err != nil {
		return winch.Note{}, fmt.Errorf("read note: %w", httpjson.BodyError(err))
	}
	return release.DecodeNote(body)
}

func (h *Handler) checkNote(w http.ResponseWriter, r *http.Request) (any, error) {
	note, err := readNote(w, r)
	if err != nil {
		return nil, err
	}
	current := h.options.Tracker.Current()
	if err := release.Check(current, note); err != nil {
		return nil, err
	}
	return checkWire{Note: note.ID, Revision: current.Revision, Items: release.ItemNames(note)}, nil
}

func (h *Handler) applyNote(w http.ResponseWriter, r *http.Request) (any, error) {
	note, err := readNote(w, r)
	if err != nil {
		return nil, err
	}
	return h.commit(r.Context(), note)
}

func (h *Handler) commit(ctx context.Context, note winch.Note) (any, error) {
	result, err := h.options.Log.Commit(ctx, h.options.Tracker.Current(), note)
	if err != nil {
		h.options.Logger.Warn("committing the note failed", "Event", EventNoteFailed, "Note", note.ID, "Error", err)
		return nil, err
	}
	now := h.options.Clock.Now()
	h.options.Tracker.ApplyCommit(now, result)
	h.options.Logger.Info("operator's note is committed", "Event", EventNoteCommitted, "Note", note.ID, "Revision", result.Revision, "Items", len(release.ItemNames(note)))
	status := statusToWire(note.ID, h.options.Tracker.Progress(now, result.Revision))
	status.Repeated = result.Repeated
	return status, nil
}

// noteStatus reads from the platform what this host does not know yet, so any host can answer.
func (h *Handler) noteStatus(_ http.ResponseWriter, r *http.Request) (any, error) {
	id := winch.NoteID(r.PathValue("id"))
	revision, found := h.options.Tracker.RecentRevision(id)
	if !found {
		result, err := h.options.Log.Find(r.Context(), id)
		if err != nil {
			return nil, err
		}
		revision = result.Revision
	}
	progress := h.options.Tracker.Progress(h.options.Clock.Now(), revision)
	// A host that holds the revision learns from its hub whether it is accepted.
	if !progress.Accepted && h.options.Tracker.Current().Revision < revision {
		accepted, err := h.options.Log.Accepted(r.Context())
		if err != nil {
			return nil, err
		}
		progress.Accepted = accepted >= revision
	}
	return statusToWire(id, progress), nil
}

func (h *Handler) currentStatus(http.ResponseWriter, *http.Request) (any, error) {
	current := h.options.Tracker.Current()
	return statusToWire("", h.options.Tracker.Progress(h.options.Clock.Now(), current.Revision)), nil
}

func (h *Handler) listKeys(http.ResponseWriter, *http.Request) (any, error) {
	current := h.options.Tracker.Current()
	response := keysWire{Revision: current.Revision, Keys: []keyWire{}}
	for _, key := range current.Keys {
		response.Keys = append(response.Keys, keyWire{ID: key.ID, Organisation: key.Organisation})
	}
	slices.SortFunc(response.Keys, func(a, b keyWire) int { return cmp.Compare(a.ID, b.ID) })
	return response, nil
}

func (h *Handler) addKey(w http.ResponseWriter, r *http.Request) (any, error) {
	wire := addKeyWire{}
	if err := httpjson.Decode(w, r, maxKeyBody, &wire); err != nil {
		return nil, err
	}
	key, err := keyFromWire(wire)
	if err != nil {
		return nil, err
	}
	return h.validateAndCommit(r.Context(), winch.Note{ID: wire.Note, Added: winch.Items{Keys: []winch.Key{key}}})
}

func (h *Handler) withdrawKey(_ http.ResponseWriter, r *http.Request) (any, error) {
	return h.validateAndCommit(r.Context(), winch.Note{
		ID:        winch.NoteID(r.URL.Query().Get("note")),
		Withdrawn: winch.ItemIDs{Keys: []winch.KeyID{winch.KeyID(r.PathValue("id"))}},
	})
}

// validateAndCommit encodes and decodes the note before the commit, since decoding
// validates names and the note was not decoded from a request.
func (h *Handler) validateAndCommit(ctx context.Context, note winch.Note) (any, error) {
	body, err := release.EncodeNote(note)
	if err != nil {
		return nil, err
	}
	validated, err := release.DecodeNote(body)
	if err != nil {
		return nil, err
	}
	return h.commit(ctx, validated)
}
