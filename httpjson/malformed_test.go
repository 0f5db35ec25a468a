package httpjson

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/arbutuswinch/winch"
	"github.com/arbutuswinch/winch/internal/http1test"
)

// TestMalformedResponseIsNone guards against responses of the store, of hosts and of the operators' port that the protocol does not know.
func TestMalformedResponseIsNone(t *testing.T) {
	transports := map[string]func() *http.Transport{"plain": NewTransport, "counted": func() *http.Transport { return (&Traffic{}).Transport("") }}
	for name, response := range http1test.Malformed("Server: a") {
		// The body of a response has to be JSON, or this alone would be an error.
		response = strings.Replace(response, "\r\nok", "\r\n{}", 1)
		t.Run(name, func(t *testing.T) {
			address := http1test.Respond(t, response)
			for _, transport := range transports {
				client, err := NewClient(Options{Address: address, Timeout: 5 * time.Second, Transport: transport()})
				assert.NilError(t, err)
				assert.ErrorIs(t, client.Call(t.Context(), "/", message{}, &message{}), winch.ErrOutcomeUnknown)
				assert.ErrorIs(t, client.Fetch(t.Context(), "/", &message{}), winch.ErrOutcomeUnknown)
			}
		})
	}
}

// TestResponseThatIsResetDuringAnUploadIsIncomplete guards against a part of a list that is taken for the whole.
func TestResponseThatIsResetDuringAnUploadIsIncomplete(t *testing.T) {
	address := http1test.RespondAndReset(t, "HTTP/1.1 200 OK\r\n\r\n{}")
	client, err := NewClient(Options{Address: address, Timeout: 30 * time.Second})
	assert.NilError(t, err)
	upload := message{Name: strings.Repeat("x", http1test.UploadSize)}
	for range 50 {
		assert.ErrorIs(t, client.Call(t.Context(), "/", upload, &message{}), winch.ErrOutcomeUnknown)
	}
}
