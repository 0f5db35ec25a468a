package fenced

import (
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/arbutuswinch/winch"
	"github.com/arbutuswinch/winch/internal/http1test"
)

// TestMalformedResponseIsNone guards against calls that count as accepted by a response that the protocol does not know.
func TestMalformedResponseIsNone(t *testing.T) {
	for name, response := range http1test.Malformed("Server: a") {
		response = strings.Replace(response, "\r\nok", "\r\n{}", 1)
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, http.StatusOK)
			f.call.Address = http1test.Respond(t, response)
			assert.ErrorIs(t, f.send(t, 0, disabledGuards{}), winch.ErrOutcomeUnknown)
		})
	}
}

// TestResponseThatIsResetIsIncomplete guards against a part of a response that is taken for the whole.
func TestResponseThatIsResetIsIncomplete(t *testing.T) {
	f := newFixture(t, http.StatusOK)
	f.call.Address = http1test.RespondAndReset(t, "HTTP/1.1 200 OK\r\n\r\n{}")
	for range 20 {
		assert.ErrorIs(t, f.send(t, 0, disabledGuards{}), winch.ErrOutcomeUnknown)
	}
}
