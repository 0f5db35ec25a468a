package noretry

import (
	"bytes"
	"io"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/arbutuswinch/winch"
	"github.com/arbutuswinch/winch/internal/http1test"
)

// sendTo sends a call and returns the body of the response, or the error of the call or of the body.
func sendTo(t *testing.T, address string, body []byte, repeatable bool) (string, error) {
	t.Helper()
	transport := New(Options{})
	defer transport.Close()
	call := winch.Call{Method: http.MethodPost, Body: body, Repeatable: repeatable}
	response, err := transport.Send(t.Context(), "http://"+address+"/", call, http.Header{requestIDHeader: {"1"}})
	if err != nil {
		assert.ErrorIs(t, err, winch.ErrOutcomeUnknown)
		return "", err
	}
	defer response.Body.Close()
	read, err := io.ReadAll(response.Body)
	return string(read), err
}

// TestMalformedResponseIsNone guards against responses of endpoints and peers that the protocol does not know.
func TestMalformedResponseIsNone(t *testing.T) {
	for name, response := range http1test.Malformed(requestIDHeader + ": 1") {
		t.Run(name, func(t *testing.T) {
			address := http1test.Respond(t, response)
			for _, repeatable := range []bool{false, true} {
				body, err := sendTo(t, address, []byte("x"), repeatable)
				assert.Assert(t, err != nil, "%q was taken for a response", body)
			}
		})
	}
}

// TestResponseThatIsResetDuringAnUploadIsIncomplete guards against a part of a body that is taken for the whole.
func TestResponseThatIsResetDuringAnUploadIsIncomplete(t *testing.T) {
	address := http1test.RespondAndReset(t, "HTTP/1.1 200 OK\r\n"+requestIDHeader+": 1\r\n\r\npart")
	upload := bytes.Repeat([]byte("x"), http1test.UploadSize)
	for range 50 {
		body, err := sendTo(t, address, upload, false)
		assert.Assert(t, err != nil, "%q was taken for a whole body", body)
	}
}
