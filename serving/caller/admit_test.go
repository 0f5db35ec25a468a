package caller

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/assert/cmp"

	"github.com/arbutuswinch/winch"
	"github.com/arbutuswinch/winch/serving/internal/runstate"
)

func TestInvalidRequests(t *testing.T) {
	backend := newFakeEngine(t, 3)
	server := newTestServer(t, func(o *Options) { o.Limits.RequestBody = 1000 }, backend.endpoint("e1"))
	const chat, booking = "/v1/chat/completions", "/services/booking/holds"
	cases := []struct {
		name, method, path, body string
		headers                  []string
		status                   int
		code, param              string
	}{
		{"no key", "POST", chat, `{"model":"large"}`, []string{"Authorization", ""}, 401, "invalid_api_key", "Authorization"},
		{"unknown key", "POST", chat, chatBody, []string{"Authorization", "Bearer x"}, 401, "invalid_api_key", "Authorization"},
		// An Authorization header of another scheme is rejected even where no key is needed.
		{"unknown key on an open class", "POST", chat, chatBody, []string{"Authorization", "Basic x", "X-Request-Class", "public"}, 401, "invalid_api_key", "Authorization"},
		{"class that is not open, without key", "POST", chat, chatBody, []string{"Authorization", "", "X-Request-Class", "stall"}, 401, "invalid_api_key", "Authorization"},
		{"body that is not JSON", "POST", chat, `{`, nil, 400, "invalid", "body"},
		{"no model", "POST", chat, `{}`, nil, 400, "invalid", "model"},
		{"wrong type", "POST", chat, `{"model":"small","stream":"yes"}`, nil, 400, "invalid", "stream"},
		{"reserved field", "POST", chat, `{"model":"small","import_handle":"h"}`, nil, 400, "invalid", "import_handle"},
		{"unknown model", "POST", chat, `{"model":"none"}`, nil, 404, "model_not_found", "model"},
		{"class without the model", "POST", chat, `{"model":"large"}`, []string{"X-Request-Class", "stall"}, 400, "invalid", "X-Request-Class"},
		{"too large", "POST", chat, `{"model":"` + strings.Repeat("x", 2000) + `"}`, nil, 413, "too_large", "body"},
		{"bad time limit", "POST", chat, chatBody, []string{"X-Request-Timeout", "soon"}, 400, "invalid", "X-Request-Timeout"},
		{"bad request id", "POST", chat, chatBody, []string{"X-Request-Id", "a b"}, 400, "invalid", "X-Request-Id"},
		{"wrong method", "GET", chat, "", nil, 405, "method_not_allowed", ""},
		{"unknown path", "GET", "/v1/files", "", nil, 404, "not_found", ""},
		{"unknown route", "GET", "/services/none/x", "", nil, 404, "route_not_found", ""},
		{"route without key", "POST", booking, "", []string{"Authorization", ""}, 401, "invalid_api_key", "Authorization"},
		{"path with dot segments", "POST", "/services/booking/%2e%2e/x", "", nil, 400, "invalid", "path"},
		{"long idempotency key", "POST", booking, "", []string{"Idempotency-Key", strings.Repeat("k", 300)}, 400, "invalid", "Idempotency-Key"},
		{"operators' path", "GET", "/operator/keys", "", nil, 404, "not_found", ""},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			got := server.send(t, c.method, c.path, c.body, c.headers...)
			assertError(t, got, c.status, c.code, runstate.NotRun)
			if c.param != "" {
				assert.Assert(t, cmp.Contains(got.body, `"param":"`+c.param+`"`))
			}
		})
	}
	assert.Equal(t, len(backend.calls()), 0)
}

func TestClassAndOrganisation(t *testing.T) {
	backend := newFakeEngine(t, 3)
	server := newTestServer(t, nil, backend.endpoint("e1"))
	cases := []struct {
		name         string
		headers      []string
		class        winch.ClassID
		organisation winch.OrganisationID
		priority     string
	}{
		{"the least urgent class by default", nil, "ledger", "probababa", "2"},
		{"the requested class", []string{"X-Request-Class", "stall"}, "stall", "probababa", "0"},
		{"the open class without a key", []string{"Authorization", ""}, "public", "", "1"},
		{"the header X-Organisation of a caller is ignored", []string{"X-Organisation", "other"}, "ledger", "probababa", "2"},
	}
	for number, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			assertCompleteStream(t, server.send(t, "POST", "/v1/chat/completions", chatBody, c.headers...).body, 3)
			work, call := server.dispatcher.works[number], backend.calls()[number]
			assert.Equal(t, work.Class, c.class)
			assert.Equal(t, work.Organisation, c.organisation)
			assert.Equal(t, call.Header.Get("X-Priority"), c.priority)
			assert.Equal(t, call.Header.Get("Authorization"), "Bearer ours")
			assert.Equal(t, call.Header.Get("X-Organisation"), "")
		})
	}
}

func FuzzDecodeCompletion(f *testing.F) {
	f.Add([]byte(chatBody), false)
	f.Add([]byte(`{"model":"m","resume":{"tokens":3,"text":"a\"b"},"stream_options":null,"stream":true}`), true)
	f.Fuzz(func(t *testing.T, body []byte, fromPeer bool) {
		decoded, apiErr := decodeCompletion(body, fromPeer)
		if apiErr != nil {
			return
		}
		redecoded, apiErr := decodeCompletion(withResume(decoded.body, decoded.deliveredTokens, decoded.deliveredText), true)
		assert.Assert(t, apiErr == nil, "the body for the engine is broken: %s", decoded.body)
		assert.Equal(t, string(redecoded.deliveredText), string(decoded.deliveredText))
		assert.Equal(t, redecoded.model, decoded.model)
	})
}
