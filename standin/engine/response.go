package engine

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/google/uuid"

	"github.com/arbutuswinch/winch/standin/wire"
)

func newStreamID() string { return uuid.NewString() }

// completionWriter writes the response to one completion request.
type completionWriter struct {
	sequence *sequence
	request  completionRequest
	chat     bool
	// firstToken is the index of the first token to write; it is above 0 for a resumed stream.
	firstToken int
	id         string
	created    int64
	// head and tail are the bytes of a streamed chunk before and after the text of its token.
	head []byte
	tail []byte
}

func newCompletionWriter(s *sequence, request completionRequest, requestID string, chat bool, firstToken int) *completionWriter {
	if requestID == "" {
		requestID = s.id
	}
	c := &completionWriter{sequence: s, request: request, chat: chat, firstToken: firstToken, id: requestID, created: time.Now().Unix()}
	open, end := `"text":"`, `",`
	if chat {
		open, end = `"delta":{"role":"assistant","content":"`, `"},`
	}
	c.head = append(c.chunkStart(), open...)
	c.tail = []byte(end + `"finish_reason":null}]}` + "\n\n")
	return c
}

// chunkStart returns the beginning of a chunk, up to the field of choices[0] that differs
// between chunks.
func (c *completionWriter) chunkStart() []byte {
	chunk := append([]byte("data: "), c.sharedFields()...)
	return append(chunk, `"choices":[{"index":0,`...)
}

// sharedFields returns the JSON fields that all chunks of the stream share.
func (c *completionWriter) sharedFields() []byte {
	object := "text_completion"
	if c.chat {
		object = "chat.completion.chunk"
	}
	id, _ := json.Marshal(c.id)
	model, _ := json.Marshal(c.request.Model)
	fields := append([]byte(`{"id":`), id...)
	fields = append(fields, `,"object":"`+object+`","created":`...)
	fields = strconv.AppendInt(fields, c.created, 10)
	fields = append(fields, `,"model":`...)
	return append(append(fields, model...), ',')
}

// writeStream writes the tokens as server-sent events. Tokens that are ready at the same time
// are sent with one write.
func (c *completionWriter) writeStream(w http.ResponseWriter, r *http.Request) {
	control := http.NewResponseController(w)
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Cache-Control", "no-store")
	w.WriteHeader(http.StatusOK)
	_ = control.Flush()
	sent := c.firstToken
	buffer := make([]byte, 0, 2*(len(c.head)+len(c.tail)))
	for {
		ended := c.sequence.ended.Load()
		produced := int(c.sequence.produced.Load())
		buffer = buffer[:0]
		for ; sent < produced; sent++ {
			buffer = append(buffer, c.head...)
			buffer = appendToken(buffer, c.sequence.prompt.hash, sent)
			buffer = append(buffer, c.tail...)
		}
		complete := sent >= c.sequence.prompt.outputTokens
		if complete || ended {
			buffer = c.appendEnd(buffer, complete)
		}
		if len(buffer) > 0 {
			if _, err := w.Write(buffer); err != nil {
				return
			}
			_ = control.Flush()
		}
		if complete || ended {
			return
		}
		select {
		case <-c.sequence.wake:
		case <-r.Context().Done():
			return
		}
	}
}

// appendEnd appends the last chunks of the stream. A cancelled stream ends without [DONE].
func (c *completionWriter) appendEnd(buffer []byte, complete bool) []byte {
	finishReason := "cancelled"
	if complete {
		finishReason = c.finishReason()
	}
	buffer = append(buffer, c.chunkStart()...)
	if c.chat {
		buffer = append(buffer, `"delta":{},`...)
	} else {
		buffer = append(buffer, `"text":"",`...)
	}
	buffer = append(buffer, `"finish_reason":"`+finishReason+`"}]}`+"\n\n"...)
	if !complete {
		return buffer
	}
	if c.request.wantsUsage() {
		encoded, _ := json.Marshal(c.usage())
		buffer = append(buffer, "data: "...)
		buffer = append(buffer, c.sharedFields()...)
		buffer = append(buffer, `"choices":[],"usage":`...)
		buffer = append(append(buffer, encoded...), "}\n\n"...)
	}
	return append(buffer, "data: [DONE]\n\n"...)
}

func (c *completionWriter) finishReason() string {
	if c.sequence.prompt.capped {
		return "length"
	}
	return "stop"
}

// usage returns the token counts of the whole completion, including the tokens before a resume.
func (c *completionWriter) usage() usage {
	parsed := c.sequence.prompt
	return usage{
		PromptTokens:     parsed.tokens,
		CompletionTokens: parsed.outputTokens,
		TotalTokens:      parsed.tokens + parsed.outputTokens,
		Details:          usageDetails{CachedTokens: c.sequence.cached},
	}
}

type completionResponse struct {
	ID      string             `json:"id"`
	Object  string             `json:"object"`
	Created int64              `json:"created"`
	Model   string             `json:"model"`
	Choices []completionChoice `json:"choices"`
	Usage   usage              `json:"usage"`
}

type completionChoice struct {
	Index        int                `json:"index"`
	Text         string             `json:"text,omitempty"`
	Message      *completionMessage `json:"message,omitempty"`
	FinishReason string             `json:"finish_reason"`
}

type completionMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// writeJSON writes a single JSON response once all tokens are produced.
func (c *completionWriter) writeJSON(w http.ResponseWriter, r *http.Request) {
	for int(c.sequence.produced.Load()) < c.sequence.prompt.outputTokens {
		if c.sequence.ended.Load() && int(c.sequence.produced.Load()) < c.sequence.prompt.outputTokens {
			writeError(w, http.StatusInternalServerError, "cancelled", "the request was cancelled")
			return
		}
		select {
		case <-c.sequence.wake:
		case <-r.Context().Done():
			return
		}
	}
	text := []byte{}
	for i := c.firstToken; i < c.sequence.prompt.outputTokens; i++ {
		text = appendToken(text, c.sequence.prompt.hash, i)
	}
	choice := completionChoice{Text: string(text), FinishReason: c.finishReason()}
	object := "text_completion"
	if c.chat {
		choice = completionChoice{Message: &completionMessage{Role: "assistant", Content: string(text)}, FinishReason: c.finishReason()}
		object = "chat.completion"
	}
	wire.Write(w, http.StatusOK, completionResponse{
		ID: c.id, Object: object, Created: c.created, Model: c.request.Model,
		Choices: []completionChoice{choice}, Usage: c.usage(),
	})
}
