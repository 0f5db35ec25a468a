package httpexchange

import (
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/arbutuswinch/winch"
	"github.com/arbutuswinch/winch/internal/http1test"
)

// TestAnswerThatIsResetDuringAnUploadIsIncomplete guards against a part of a body that is taken for the whole: if the writer of the request is
// told of the reset, the reader only sees the end of the connection.
func TestAnswerThatIsResetDuringAnUploadIsIncomplete(t *testing.T) {
	const answer = "HTTP/1.1 200 OK\r\nX-Id: 1\r\n\r\npart"
	upload := strings.Repeat("x", http1test.UploadSize)
	t.Run("reset", func(t *testing.T) {
		address := http1test.RespondAndReset(t, answer)
		for range 50 {
			body, err := exchangeAt(t, New(Options{}), address, "1", upload)
			assert.Assert(t, err != nil, "%q was taken for a whole body", body)
		}
	})
	t.Run("closed in order", func(t *testing.T) {
		address := http1test.Respond(t, answer)
		for range 10 {
			body, err := exchangeAt(t, New(Options{}), address, "1", upload)
			assert.NilError(t, err)
			assert.Equal(t, body, "part")
		}
	})
}

// TestMalformedAnswerIsNone guards against answers that the protocol does not know: callers would get them, or a body that the server did not send.
func TestMalformedAnswerIsNone(t *testing.T) {
	for name, answer := range http1test.Malformed("X-Id: 1") {
		t.Run(name, func(t *testing.T) {
			body, err := exchangeAt(t, New(Options{}), http1test.Respond(t, answer), "1", "x")
			assert.Assert(t, err != nil, "%q was taken for an answer", body)
		})
	}
}

// TestMalformedBytesAfterAnAnswerEndTheConnection guards against a request that fails because of bytes that came after the answer before.
func TestMalformedBytesAfterAnAnswerEndTheConnection(t *testing.T) {
	for name, more := range map[string]string{"text": "garbage\r\n", "control byte": "\x00", "status": "HTTP/1.1 000 Trouble\r\n\r\n"} {
		t.Run(name, func(t *testing.T) {
			s, client := newServer(t), New(Options{})
			s.addScripts(s.respond(responseFor("1", "a")+more, true), s.respond(responseFor("2", "b"), true))
			assertResponse(t, client, s, "1", "a")
			assertResponse(t, client, s, "2", "b")
			assertConnections(t, s, 2)
		})
	}
}

// TestAnswerToHeadHasNoBody guards against a connection that is taken for one with a body to come.
func TestAnswerToHeadHasNoBody(t *testing.T) {
	s, client := newServer(t), New(Options{})
	s.addScripts(s.respond("HTTP/1.1 200 OK\r\nX-Id: 1\r\nKeep-Alive: timeout=5\r\nContent-Length: 5\r\n\r\n", true), s.respond(responseFor("2", "b"), true))
	response, err := client.Exchange(t.Context(), winch.ExchangeCall{
		Address: s.listener.Addr().String(), Peer: "p", Method: http.MethodHead, Target: "/", Host: "h", Header: http.Header{}, ID: "1", IDHeader: "X-Id",
	})
	assert.NilError(t, err)
	_, err = response.Body.Read(make([]byte, 1))
	assert.ErrorContains(t, err, "EOF")
	assertResponse(t, client, s, "2", "b")
	assertConnections(t, s, 1)
}
