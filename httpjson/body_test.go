package httpjson

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/arbutuswinch/winch/internal/memory"
)

const testBodyLimit = 1 << 20

// decoder answers 200 to bodies that are JSON strings. It reports in used what the budget holds after the body was decoded.
func decoder(budget *memory.Budget, used *int64) http.Handler {
	return ChargeBodies(budget, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		text := ""
		if err := Decode(w, r, testBodyLimit, &text); err != nil {
			WriteError(w, err)
			return
		}
		*used = budget.Usage().Used
		w.WriteHeader(http.StatusOK)
	}))
}

// unread is a body that fails the test if it is read.
type unread struct{ t *testing.T }

func (u unread) Read([]byte) (int, error) {
	u.t.Error("the body was read")
	return 0, io.EOF
}

func send(handler http.Handler, body io.Reader, length int64) *httptest.ResponseRecorder {
	request := httptest.NewRequest(http.MethodPost, "/", body)
	request.ContentLength = length
	response := httptest.NewRecorder()
	handler.ServeHTTP(response, request)
	return response
}

func jsonText(size int) string { return `"` + strings.Repeat("x", size-2) + `"` }

func assertRefused(t *testing.T, response *httptest.ResponseRecorder) {
	t.Helper()
	assert.Equal(t, response.Code, http.StatusServiceUnavailable)
	assert.Equal(t, response.Header().Get("Retry-After"), "1")
	assert.Equal(t, response.Header().Get("Connection"), "close")
	assert.Assert(t, strings.Contains(response.Body.String(), "nothing was done"), response.Body.String())
}

// TestChargeBodies guards against bodies that are held without memory of the budget, and against memory that is not given back.
func TestChargeBodies(t *testing.T) {
	budget, used := memory.NewBudget(4<<20), int64(0)
	handler := decoder(budget, &used)
	t.Run("a body holds memory while it is handled", func(t *testing.T) {
		assert.Equal(t, send(handler, strings.NewReader(jsonText(600<<10)), 600<<10).Code, http.StatusOK)
		assert.Assert(t, used >= 600<<10, "only %d bytes are held", used)
		assert.Equal(t, budget.Usage().Used, int64(0))
	})
	t.Run("one without a declared length too", func(t *testing.T) {
		assert.Equal(t, send(handler, strings.NewReader(jsonText(600<<10)), -1).Code, http.StatusOK)
		assert.Assert(t, used >= 600<<10, "only %d bytes are held", used)
	})
	t.Run("one that declares more than the limit is not read", func(t *testing.T) {
		assert.Equal(t, send(handler, unread{t}, testBodyLimit+1).Code, http.StatusBadRequest)
	})
	t.Run("one that is longer than the limit is not decoded", func(t *testing.T) {
		assert.Equal(t, send(handler, strings.NewReader(jsonText(testBodyLimit+1)), -1).Code, http.StatusBadRequest)
		assert.Equal(t, budget.Usage().Used, int64(0))
	})
}

// TestBodiesBeyondTheBudgetAreRefused guards against bodies that are read although others take the memory.
func TestBodiesBeyondTheBudgetAreRefused(t *testing.T) {
	budget, used := memory.NewBudget(4<<20), int64(0)
	handler := decoder(budget, &used)
	others := budget.Open(memory.Holder{Rank: memory.RankEssential})
	defer others.Close()
	assert.NilError(t, others.Take(7<<19))
	t.Run("declared length", func(t *testing.T) { assertRefused(t, send(handler, unread{t}, testBodyLimit)) })
	t.Run("no declared length", func(t *testing.T) {
		assertRefused(t, send(handler, strings.NewReader(jsonText(testBodyLimit)), -1))
	})
	t.Run("a small one finds room", func(t *testing.T) {
		assert.Equal(t, send(handler, strings.NewReader(jsonText(1<<10)), 1<<10).Code, http.StatusOK)
	})
}

// TestBodiesDoNotStartOnTheSameMemory guards against bodies that start at once, are all read in part, and take more memory together than the
// budget has, since what their readers have allocated is not collected yet.
func TestBodiesDoNotStartOnTheSameMemory(t *testing.T) {
	budget, used := memory.NewBudget(3<<20), int64(0)
	handler := decoder(budget, &used)
	body, writer := io.Pipe()
	answered := make(chan *httptest.ResponseRecorder)
	go func() { answered <- send(handler, body, 600<<10) }()
	text := jsonText(600 << 10)
	// The write returns when the handler has read the beginning.
	_, err := writer.Write([]byte(text[:1]))
	assert.NilError(t, err)
	t.Run("one beside it", func(t *testing.T) { assertRefused(t, send(handler, unread{t}, testBodyLimit)) })
	t.Run("a small one finds room", func(t *testing.T) {
		assert.Equal(t, send(handler, strings.NewReader(jsonText(1<<10)), 1<<10).Code, http.StatusOK)
	})
	_, err = writer.Write([]byte(text[1:]))
	assert.NilError(t, err)
	assert.NilError(t, writer.Close())
	assert.Equal(t, (<-answered).Code, http.StatusOK)
	t.Run("another one afterwards", func(t *testing.T) {
		assert.Equal(t, send(handler, strings.NewReader(text), 600<<10).Code, http.StatusOK)
		assert.Equal(t, budget.Usage().Used, int64(0))
	})
}

// TestCopyOfAWholeBodyIsCharged guards against bodies that take twice the memory of the budget, since io.ReadAll copies them at the end.
func TestCopyOfAWholeBodyIsCharged(t *testing.T) {
	const size = 600 << 10
	budget, used := memory.NewBudget(4<<20), int64(0)
	handler := ChargeBodies(budget, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, err := io.ReadAll(r.Body)
		used = budget.Usage().Used
		if err != nil {
			WriteError(w, BodyError(err))
		}
	}))
	for name, length := range map[string]int64{"declared length": size, "no declared length": -1} {
		t.Run(name, func(t *testing.T) {
			assert.Equal(t, send(handler, strings.NewReader(jsonText(size)), length).Code, http.StatusOK)
			assert.Assert(t, used >= 2*size, "only %d bytes are held", used)
			assert.Equal(t, budget.Usage().Used, int64(0))
		})
	}
	t.Run("one that does not fit with its copy", func(t *testing.T) {
		assertRefused(t, send(handler, unread{t}, 2<<20))
	})
}
