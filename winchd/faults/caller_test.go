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

const callerKey = "stores-secret-1"

// callResult is the response that a caller received; err is set if the connection failed.
type callResult struct {
	status     int
	code       string
	runState   string
	retryAfter string
	body       []byte
	err        error
}

func keyHash(secret string) string {
	sum := sha256.Sum256([]byte(secret))
	return hex.EncodeToString(sum[:])
}

// baseNote returns a note that adds an organisation with a key, classes, routes, endpoints and pools.
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
		"Keys":          []jsonObject{{"ID": "stores-1", "Organisation": "stores", "Hash": keyHash(callerKey)}},
		"Classes": []jsonObject{
			{"ID": "urgent", "Tier": 1, "FirstTokenTarget": "1s", "MaxWait": "5s", "QueueLimit": 100, "Models": []string{model}},
			{"ID": "batch", "Tier": 3, "FirstTokenTarget": "10s", "MaxWait": "30s", "QueueLimit": 100, "Floor": 0.1, "Models": []string{model}},
			{"ID": "depot", "Tier": 1, "FirstTokenTarget": "2s", "MaxWait": "5s", "QueueLimit": 100},
		},
		"Routes":    []jsonObject{{"ID": "hire", "Class": "depot"}},
		"Endpoints": endpoints, "Pools": pools,
	}}
}

// noteStatus is the response of the operator API about a note.
type noteStatus struct {
	Note      string
	Revision  int64
	Committed bool
	Accepted  bool
	Repeated  bool
	Centres   []struct {
		DataCentre string
		Revision   int64
		// InForce is set if a majority of the data centre's hosts have the revision.
		InForce bool
		// Until is the latest time at which hosts of the data centre may serve by an older revision.
		Until time.Time
	}
}

// apply commits the note. It retries after every error except the refusal of an invalid note.
func (s *system) apply(h *host, note jsonObject) noteStatus {
	s.t.Helper()
	status := noteStatus{}
	s.waitFor("note is committed", func() bool {
		err := h.api.Call(context.Background(), "/operator/notes", note, &status)
		var apiError *httpjson.Error
		if errors.As(err, &apiError) {
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

// waitAccepted waits until the note is accepted, which means that no host serves by an older revision any more.
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

// applyBase applies the base configuration and waits until all hosts serve.
func (s *system) applyBase() {
	s.t.Helper()
	s.apply(s.hosts[0], s.baseNote())
	s.waitAccepted(s.hosts[0], "base")
	for _, h := range s.hosts {
		s.waitFor("host "+h.id+" serves", func() bool { return s.complete(h, callerKey, 1).status == http.StatusOK })
	}
}

func withdrawKeyNote(id string) jsonObject {
	return jsonObject{"ID": id, "Withdrawn": jsonObject{"Keys": []string{"stores-1"}}}
}

// complete requests an unstreamed completion of the given number of tokens.
func (s *system) complete(h *host, key string, tokens int) callResult {
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

// confirm calls the route whose requests must be executed at most once.
func (s *system) confirm(h *host, key, idempotency string) callResult {
	header := http.Header{}
	if idempotency != "" {
		header.Set("Idempotency-Key", idempotency)
	}
	return s.send(http.DefaultClient, s.request(h, "/services/hire/confirm", key, []byte(`{"Hire":1}`), header))
}

func (s *system) request(h *host, path, key string, body []byte, header http.Header) *http.Request {
	request, err := http.NewRequest(http.MethodPost, "http://"+h.caller+path, bytes.NewReader(body))
	assert.NilError(s.t, err)
	request.GetBody = nil // Without it the client does not repeat the request by itself.
	request.Header = header
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("Authorization", "Bearer "+key)
	return request
}

func (s *system) send(client *http.Client, request *http.Request) callResult {
	response, err := client.Do(request)
	if err != nil {
		return callResult{err: err}
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return callResult{
		status: response.StatusCode, code: errorCode(body), runState: response.Header.Get("X-Run-State"),
		retryAfter: response.Header.Get("Retry-After"), body: body, err: err,
	}
}

func errorCode(body []byte) string {
	decoded := struct{ Error struct{ Code string } }{}
	_ = json.Unmarshal(body, &decoded)
	return decoded.Error.Code
}

// streamResult is the result of a stream. Its outcome is "done", the code of an error, or "cut". It is empty
// for an error response without a code.
type streamResult struct {
	outcome  string
	runState string
	text     string
	took     time.Duration
}

// stream reads a streamed completion of the given number of tokens. It calls begun, if set, at the first token.
func (s *system) stream(h *host, key string, tokens int, begun func()) streamResult {
	return readStream(http.DefaultClient, s.completion(h, key, tokens, true), begun)
}

func readStream(client *http.Client, request *http.Request, begun func()) streamResult {
	response, err := client.Do(request)
	if err != nil {
		return streamResult{outcome: "cut"}
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		body, err := io.ReadAll(response.Body)
		if err != nil {
			return streamResult{outcome: "cut"}
		}
		return streamResult{outcome: errorCode(body), runState: response.Header.Get("X-Run-State")}
	}
	started, text := time.Now(), strings.Builder{}
	lines := bufio.NewScanner(response.Body)
	for lines.Scan() {
		data, found := strings.CutPrefix(lines.Text(), "data: ")
		if !found {
			continue
		}
		if data == "[DONE]" {
			return streamResult{outcome: "done", text: text.String(), took: time.Since(started)}
		}
		if code := errorCode([]byte(data)); code != "" {
			return streamResult{outcome: code, text: text.String(), took: time.Since(started)}
		}
		if text.Len() == 0 && begun != nil {
			begun()
		}
		text.WriteString(contentDelta(data))
	}
	return streamResult{outcome: "cut", text: text.String(), took: time.Since(started)}
}

func contentDelta(data string) string {
	decoded := struct {
		Choices []struct{ Delta struct{ Content string } }
	}{}
	if json.Unmarshal([]byte(data), &decoded) != nil || len(decoded.Choices) == 0 {
		return ""
	}
	return decoded.Choices[0].Delta.Content
}

// postNote makes one attempt to commit the note, and returns the status or zero if there was no response.
func (s *system) postNote(h *host, note jsonObject) int {
	err := h.api.Call(context.Background(), "/operator/notes", note, nil)
	if apiError, found := httpjson.StatusOf(err); found {
		return apiError.Status
	}
	if err != nil {
		return 0
	}
	return http.StatusOK
}
