package caller

import (
	"bytes"
	"encoding/json"
	"fmt"
	"sort"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"github.com/arbutuswinch/winch"
)

const (
	// prefixBytes is the length of the beginning of a prompt that is hashed as its prefix. The
	// dispatcher prefers an endpoint that has this prefix cached.
	prefixBytes = 2 << 10
	// bytesPerToken estimates the number of input tokens from the size of the body.
	bytesPerToken = 4
)

type errorResponse struct {
	Error errorBody `json:"error"`
}

type errorBody struct {
	Message string  `json:"message"`
	Type    string  `json:"type"`
	Code    string  `json:"code"`
	Param   *string `json:"param"`
}

type modelList struct {
	Object string      `json:"object"`
	Data   []modelItem `json:"data"`
}

type modelItem struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	Created int64  `json:"created"`
	OwnedBy string `json:"owned_by"`
}

type streamOptions struct {
	IncludeUsage bool `json:"include_usage"`
}

type resumeField struct {
	Tokens int64           `json:"tokens"`
	Text   json.RawMessage `json:"text"`
}

// refusalBody decodes an endpoint's error response, either in the form of this system's
// own APIs, with Code, or in that of the OpenAI API, with error.
type refusalBody struct {
	Code  string    `json:"Code"`
	Error errorBody `json:"error"`
}

func encodeError(apiErr *apiError) []byte {
	response := errorResponse{Error: errorBody{Message: apiErr.message, Type: apiErr.errorType(), Code: apiErr.code}}
	if apiErr.param != "" {
		response.Error.Param = &apiErr.param
	}
	encoded, err := json.Marshal(response)
	if err != nil {
		return []byte(`{"error":{"message":"internal error","type":"server_error","code":"internal","param":null}}`)
	}
	return encoded
}

func encodeModels(models []winch.ModelID) ([]byte, error) {
	list := modelList{Object: "list", Data: []modelItem{}}
	for _, model := range models {
		list.Data = append(list.Data, modelItem{ID: string(model), Object: "model", OwnedBy: "organisation"})
	}
	encoded, err := json.Marshal(list)
	if err != nil {
		return nil, fmt.Errorf("encode list of models: %w", err)
	}
	return encoded, nil
}

// refusalCode returns the code of an endpoint's error response, or "".
func refusalCode(body []byte) string {
	decoded := refusalBody{}
	if json.Unmarshal(body, &decoded) != nil {
		return ""
	}
	if decoded.Error.Code != "" {
		return decoded.Error.Code
	}
	return decoded.Code
}

// completion is a decoded completion request.
type completion struct {
	model winch.ModelID
	// stream says that the engine is asked for a stream. The caller gets it as a stream unless
	// collectStream is set.
	stream bool
	// wantsUsage says that the caller asked for token counts at the end of the stream.
	wantsUsage bool
	// collectStream says that the caller wants a non-streaming response, which is
	// assembled from a stream.
	collectStream bool
	// multipleChoices says that the caller asked for more than one choice.
	multipleChoices bool
	prefix          winch.PrefixHash
	inputTokens     winch.Tokens
	// deliveredTokens and deliveredText are the output that the caller already has or that
	// was collected so far. deliveredText is escaped as inside a JSON string.
	deliveredTokens winch.Tokens
	deliveredText   []byte
	// body is the request body for the engine, without the field resume.
	body []byte
}

// decodeCompletion decodes the body of a completion request. The fields resume and
// import_handle are refused unless the request comes from a peer: resume carries output that
// was already delivered, and import_handle names prompt state for the engine to import.
func decodeCompletion(body []byte, fromPeer bool) (completion, *apiError) {
	fields := map[string]json.RawMessage{}
	if err := json.Unmarshal(body, &fields); err != nil {
		return completion{}, invalidRequest("body", "the body is not a JSON object")
	}
	for _, name := range []string{"resume", "import_handle"} {
		if _, found := fields[name]; found && !fromPeer {
			return completion{}, invalidRequest(name, "the field is reserved")
		}
	}
	decoded := completion{inputTokens: winch.Tokens(len(body) / bytesPerToken)}
	options, choices := streamOptions{}, 1
	for _, field := range []struct {
		name string
		into any
	}{{"model", &decoded.model}, {"stream", &decoded.stream}, {"stream_options", &options}, {"n", &choices}} {
		if raw, found := fields[field.name]; found && json.Unmarshal(raw, field.into) != nil {
			return completion{}, invalidRequest(field.name, "the field has the wrong type")
		}
	}
	if decoded.model == "" {
		return completion{}, invalidRequest("model", "the field is required")
	}
	decoded.wantsUsage, decoded.multipleChoices = options.IncludeUsage, choices > 1
	decoded.prefix = prefixOf(decoded.model, fields)
	if apiErr := decoded.decodeResume(fields["resume"]); apiErr != nil {
		return completion{}, apiErr
	}
	delete(fields, "resume")
	decoded.collectStream = !decoded.stream && collectable(fields)
	if decoded.collectStream {
		decoded.stream = true
		fields["stream"] = json.RawMessage("true")
	}
	if decoded.stream {
		fields["stream_options"] = withIncludeUsage(fields["stream_options"])
	}
	decoded.body = encodeFields(fields)
	return decoded, nil
}

func (c *completion) decodeResume(raw json.RawMessage) *apiError {
	if raw == nil {
		return nil
	}
	field := resumeField{}
	if err := json.Unmarshal(raw, &field); err != nil || len(field.Text) < 2 || field.Text[0] != '"' {
		return invalidRequest("resume", "the field has the wrong type")
	}
	c.deliveredTokens = winch.Tokens(field.Tokens)
	c.deliveredText = append([]byte(nil), field.Text[1:len(field.Text)-1]...)
	return nil
}

// withIncludeUsage sets include_usage in the stream options. The token counts are needed
// for usage records even if the caller did not ask for them.
func withIncludeUsage(raw json.RawMessage) json.RawMessage {
	options := map[string]json.RawMessage{}
	_ = json.Unmarshal(raw, &options)
	if options == nil {
		options = map[string]json.RawMessage{}
	}
	options["include_usage"] = json.RawMessage("true")
	return encodeFields(options)
}

func encodeFields(fields map[string]json.RawMessage) []byte {
	names := make([]string, 0, len(fields))
	size := 2
	for name, raw := range fields {
		names = append(names, name)
		size += len(name) + len(raw) + 4
	}
	sort.Strings(names)
	out := append(make([]byte, 0, size), '{')
	for i, name := range names {
		if i > 0 {
			out = append(out, ',')
		}
		quoted, _ := json.Marshal(name)
		out = append(append(append(out, quoted...), ':'), fields[name]...)
	}
	return append(out, '}')
}

// withResume adds the field resume, with which an engine continues after the delivered
// output. The text must be escaped as inside a JSON string.
func withResume(body []byte, tokens winch.Tokens, text []byte) []byte {
	out := make([]byte, 0, len(body)+len(text)+64)
	out = append(out, `{"resume":{"tokens":`...)
	out = strconv.AppendInt(out, int64(tokens), 10)
	out = append(append(append(out, `,"text":"`...), text...), `"}`...)
	rest := bytes.TrimSpace(body[1:])
	// A single remaining byte is the closing brace; otherwise there are more fields.
	if len(rest) > 1 {
		out = append(out, ',')
	}
	return append(out, rest...)
}

// prefixOf hashes the model and the beginning of the prompt: the first prefixBytes bytes of
// the first message or of the field prompt.
func prefixOf(model winch.ModelID, fields map[string]json.RawMessage) winch.PrefixHash {
	raw := fields["prompt"]
	messages := []json.RawMessage{}
	if json.Unmarshal(fields["messages"], &messages) == nil && len(messages) > 0 {
		raw = messages[0]
	}
	digest := xxhash.New()
	_, _ = digest.WriteString(string(model))
	_, _ = digest.Write(raw[:min(len(raw), prefixBytes)])
	return winch.PrefixHash(digest.Sum64())
}
