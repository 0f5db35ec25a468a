package faults

import (
	"bufio"
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strings"
	"time"

	"gotest.tools/v3/assert"

	"github.com/arbutuswinch/winch"
	"github.com/arbutuswinch/winch/httpjson"
)

const secret = "stores-secret-1"

// answer is what a caller got; err is set when the connection broke.
type answer struct {
	status     int
	code       string
	runState   string
	retryAfter string
	body       []byte
	err        error
}

func hashOf(secret string) string {
	sum := sha256.Sum256([]byte(secret))
	return hex.EncodeToString(sum[:])
}

// baseNote adds an organisation with a key, the classes, the routes and the endpoints.
func (s *system) baseNote() jsonObject {
	endpoints := []jsonObject{}
	pools := []jsonObject{}
	for _, centre := range s.centres {
		endpoints = append(endpoints, jsonObject{
			"ID": "engine-" + centre, "DataCentre": centre, "Kind": "Engine", "Address": s.addresses["engine/engine-"+centre],
			"Models": []string{model}, "Classes": []string{"urgent", "batch"}, "Supply": "Steady", "SlotLimit": 16,
		}, jsonObject{
			"ID": "desk-" + centre, "DataCentre": centre, "Kind": "Service", "Address": s.addresses["service/desk-"+centre],
			"Routes": []string{"hire"}, "Classes": []string{"depot"}, "Supply": "Steady", "SlotLimit": 16,
		})
		pools = append(pools, jsonObject{
			"ID": "pool-" + centre, "DataCentre": centre, "Model": model, "Classes": []string{"urgent", "batch"},
			"Supply": "Cheap", "Min": 1, "Max": 2, "SlotLimit": 16, "ChecksFencing": centre == "a",
		})
	}
	return jsonObject{"ID": "base", "Added": jsonObject{
		"Organisations": []jsonObject{{"ID": "stores", "Weight": 1}},
		"Keys":          []jsonObject{{"ID": "stores-1", "Organisation": "stores", "Hash": hashOf(secret)}},
		"Classes": []jsonObject{
			{"ID": "urgent", "Tier": 1, "FirstTokenTarget": "1s", "MaxWait": "5s", "QueueLimit": 100, "Models": []string{model}},
			{"ID": "batch", "Tier": 3, "FirstTokenTarget": "10s", "MaxWait": "30s", "QueueLimit": 100, "Floor": 0.1, "Models": []string{model}},
			{"ID": "depot", "Tier": 1, "FirstTokenTarget": "2s", "MaxWait": "5s", "QueueLimit": 100},
		},
		"Routes":    []jsonObject{{"ID": "hire", "Class": "depot"}},
		"Endpoints": endpoints, "Pools": pools,
	}}
}

// noteStatus is the operators' answer about a note.
type noteStatus struct {
	Note      string
	Revision  int64
	Committed bool
	Accepted  bool
	Repeated  bool
	Centres   []struct {
		DataCentre string
		Revision   int64
		InForce    bool
		Until      time.Time
	}
}

// apply commits the note, coming back while the platform is away.
func (s *system) apply(h *host, note jsonObject) noteStatus {
	s.t.Helper()
	status := noteStatus{}
	s.waitFor("note is committed", func() bool {
		err := h.api.Call(context.Background(), "/operator/notes", note, &status)
		var answer *httpjson.Error
		if errors.As(err, &answer) {
			assert.Assert(s.t, !errors.Is(err, winch.ErrInvalid), "note refused: %v", err)
		}
		return err == nil
	})
	return status
}

func (s *system) noteStatus(h *host, id string) (noteStatus, error) {
	status := noteStatus{}
	err := s.get(h, "/operator/notes/"+id, &status)
	return status, err
}

func (s *system) waitAccepted(h *host, id string) noteStatus {
	s.t.Helper()
	status := noteStatus{}
	s.waitFor("note "+id+" is accepted", func() bool {
		var err error
		status, err = s.noteStatus(h, id)
		return err == nil && status.Accepted
	})
	return status
}

// applyBase brings the sample configuration in force everywhere.
func (s *system) applyBase() {
	s.t.Helper()
	s.apply(s.hosts[0], s.baseNote())
	s.waitAccepted(s.hosts[0], "base")
	for _, h := range s.hosts {
		s.waitFor("host "+h.id+" serves", func() bool { return s.complete(h, secret, 1).status == http.StatusOK })
	}
}

func withdrawal(id string) jsonObject {
	return jsonObject{"ID": id, "Withdrawn": jsonObject{"Keys": []string{"stores-1"}}}
}

// complete asks for a completion of so many tokens, as one answer.
func (s *system) complete(h *host, key string, tokens int) answer {
	return s.send(http.DefaultClient, s.completion(h, key, tokens, false))
}

func (s *system) completion(h *host, key string, tokens int, stream bool) *http.Request {
	body, err := json.Marshal(jsonObject{
		"model": model, "max_tokens": tokens, "stream": stream,
		"messages": []jsonObject{{"role": "user", "content": "plan a window"}},
	})
	assert.NilError(s.t, err)
	return s.request(h, "/v1/chat/completions", key, body, http.Header{"X-Request-Class": {"urgent"}})
}

// confirm calls the route that must not be repeated.
func (s *system) confirm(h *host, key, idempotency string) answer {
	header := http.Header{}
	if idempotency != "" {
		header.Set("Idempotency-Key", idempotency)
	}
	return s.send(http.DefaultClient, s.request(h, "/services/hire/confirm", key, []byte(`{"Hire":1}`), header))
}

func (s *system) request(h *host, path, key string, body []byte, header http.Header) *http.Request {
	request, err := http.NewRequest(http.MethodPost, "http://"+h.caller+path, bytes.NewReader(body))
	assert.NilError(s.t, err)
	request.GetBody = nil
	request.Header = header
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("Authorization", "Bearer "+key)
	return request
}

func (s *system) send(client *http.Client, request *http.Request) answer {
	response, err := client.Do(request)
	if err != nil {
		return answer{err: err}
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return answer{
		status: response.StatusCode, code: errorCode(body), runState: response.Header.Get("X-Run-State"),
		retryAfter: response.Header.Get("Retry-After"), body: body, err: err,
	}
}

func errorCode(body []byte) string {
	decoded := struct{ Error struct{ Code string } }{}
	_ = json.Unmarshal(body, &decoded)
	return decoded.Error.Code
}

// streamEnd tells how a stream ended: "done", the code of its error event, or "cut".
type streamEnd struct {
	how      string
	runState string
	text     string
	took     time.Duration
}

// stream reads a completion of so many tokens to its end; begun is called at the first token.
func (s *system) stream(h *host, key string, tokens int, begun func()) streamEnd {
	return readStream(http.DefaultClient, s.completion(h, key, tokens, true), begun)
}

func readStream(client *http.Client, request *http.Request, begun func()) streamEnd {
	response, err := client.Do(request)
	if err != nil {
		return streamEnd{how: "cut"}
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		body, err := io.ReadAll(response.Body)
		if err != nil {
			return streamEnd{how: "cut"}
		}
		return streamEnd{how: errorCode(body), runState: response.Header.Get("X-Run-State")}
	}
	started, text := time.Now(), strings.Builder{}
	lines := bufio.NewScanner(response.Body)
	for lines.Scan() {
		data, found := strings.CutPrefix(lines.Text(), "data: ")
		if !found {
			continue
		}
		if data == "[DONE]" {
			return streamEnd{how: "done", text: text.String(), took: time.Since(started)}
		}
		if code := errorCode([]byte(data)); code != "" {
			return streamEnd{how: code, text: text.String(), took: time.Since(started)}
		}
		if text.Len() == 0 && begun != nil {
			begun()
		}
		text.WriteString(delta(data))
	}
	return streamEnd{how: "cut", text: text.String(), took: time.Since(started)}
}

func delta(data string) string {
	decoded := struct {
		Choices []struct{ Delta struct{ Content string } }
	}{}
	if json.Unmarshal([]byte(data), &decoded) != nil || len(decoded.Choices) == 0 {
		return ""
	}
	return decoded.Choices[0].Delta.Content
}

// postNote returns the status of one try to commit the note.
func (s *system) postNote(h *host, note jsonObject) int {
	err := h.api.Call(context.Background(), "/operator/notes", note, nil)
	if answer, found := httpjson.StatusOf(err); found {
		return answer.Status
	}
	if err != nil {
		return 0
	}
	return http.StatusOK
}
