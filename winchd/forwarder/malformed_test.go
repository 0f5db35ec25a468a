package forwarder

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/arbutuswinch/winch/internal/http1test"
	"github.com/arbutuswinch/winch/platform/platformtest"
	"github.com/arbutuswinch/winch/platform/wire"
)

// malformedID is the id of the requests to an endpoint whose responses are fixed.
const malformedID = "malformed-1"

// newHostWithEndpoint starts a host whose only endpoint is at the address.
func newHostWithEndpoint(t *testing.T, address string) *hostProcess {
	t.Helper()
	p := newPlatform(t)
	p.store.Set(platformtest.ConfigurationKey, []byte(strings.ReplaceAll(platformtest.DeskConfiguration, `"desk","max_attempts"`, `"faulty","max_attempts"`)))
	assert.NilError(t, p.store.Register("i-9", "faulty", "a", address, 8))
	h := p.newHost("h-0")
	waitFor(t, startLimit, "the host to be ready", h.isReady)
	return h
}

// post sends a body and returns the status and the body of the response; the status is zero if there was none or if it was incomplete.
func (h *hostProcess) post(t *testing.T, body []byte) (status int, read string) {
	t.Helper()
	request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+h.caller+"/open/x", bytes.NewReader(body))
	assert.NilError(t, err)
	request.Host = "a.example"
	request.Header.Set(wire.RequestID, malformedID)
	request.Header.Set(wire.Deadline, "2000")
	client := http.Client{Timeout: 3 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(request)
	if err != nil {
		return 0, ""
	}
	defer response.Body.Close()
	whole, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, ""
	}
	return response.StatusCode, string(whole)
}

// TestCallersGetNoPartOfAnAnswerThatIsReset guards against a part of an answer that callers get as the whole (MIXED): the endpoint answers an upload
// at once, without a length, and resets the connection while the upload is being written.
func TestCallersGetNoPartOfAnAnswerThatIsReset(t *testing.T) {
	t.Parallel()
	answer := fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\n%s: s\r\n\r\npart", wire.RequestID, malformedID, wire.Signature)
	upload := bytes.Repeat([]byte("x"), 4<<20)
	h := newHostWithEndpoint(t, http1test.RespondAndReset(t, answer))
	for range 20 {
		status, body := h.post(t, upload)
		assert.Assert(t, status >= http.StatusInternalServerError || status == 0, "status %d, body %q", status, body)
	}
}

// TestCallersGetNoMalformedAnswer guards against answers that the protocol does not know, which callers get as answers (MIXED).
func TestCallersGetNoMalformedAnswer(t *testing.T) {
	t.Parallel()
	for name, answer := range http1test.Malformed(fmt.Sprintf("%s: %s\r\n%s: s", wire.RequestID, malformedID, wire.Signature)) {
		t.Run(name, func(t *testing.T) {
			if testing.Short() && !strings.HasPrefix(name, "status 000") && !strings.Contains(name, "in the name") {
				t.Skip("a host for each answer takes long with the race detector; the clients are checked for all of them")
			}
			h := newHostWithEndpoint(t, http1test.Respond(t, answer))
			status, body := h.post(t, []byte("x"))
			assert.Assert(t, status == http.StatusBadGateway || status == http.StatusServiceUnavailable, "status %d, body %q", status, body)
		})
	}
}
