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

// answer writes the response to one completion request.
type answer struct {
	sequence *sequence
	call     completionCall
	chat     bool
	// from is the index of the first token to write; it is above 0 for a resumed stream.
	from    int
	id      string
	created int64
	// head and tail are the bytes of a streamed chunk before and after the text of its token.
	head []byte
	tail []byte
}

func newAnswer(s *sequence, call completionCall, request string, chat bool, from int) *answer {
	if request == "" {
		request = s.id
	}
	a := &answer{sequence: s, call: call, chat: chat, from: from, id: request, created: time.Now().Unix()}
	open, end := `"text":"`, `",`
	if chat {
		open, end = `"delta":{"role":"assistant","content":"`, `"},`
	}
	a.head = append(a.chunkStart(), open...)
	a.tail = []byte(end + `"finish_reason":null}]}` + "\n\n")
	return a
}

// chunkStart returns the beginning of a chunk, up to the first variable field of its choice.
func (a *answer) chunkStart() []byte {
	chunk := append([]byte("data: "), a.common()...)
	return append(chunk, `"choices":[{"index":0,`...)
}

// common returns the JSON fields that all chunks of the stream share.
func (a *answer) common() []byte {
	object := "text_completion"
	if a.chat {
		object = "chat.completion.chunk"
	}
	id, _ := json.Marshal(a.id)
	model, _ := json.Marshal(a.call.Model)
	common := append([]byte(`{"id":`), id...)
	common = append(common, `,"object":"`+object+`","created":`...)
	common = strconv.AppendInt(common, a.created, 10)
	common = append(common, `,"model":`...)
	return append(append(common, model...), ',')
}

// stream writes the tokens as server-sent events. Tokens that are ready at the same time
// are sent with one write.
func (a *answer) stream(w http.ResponseWriter, r *http.Request) {
	control := http.NewResponseController(w)
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Cache-Control", "no-store")
	w.WriteHeader(http.StatusOK)
	_ = control.Flush()
	sent := a.from
	buffer := make([]byte, 0, 2*(len(a.head)+len(a.tail)))
	for {
		ended := a.sequence.ended.Load()
		produced := int(a.sequence.produced.Load())
		buffer = buffer[:0]
		for ; sent < produced; sent++ {
			buffer = append(buffer, a.head...)
			buffer = appendToken(buffer, a.sequence.prompt.hash, sent)
			buffer = append(buffer, a.tail...)
		}
		whole := sent >= a.sequence.prompt.length
		if whole || ended {
			buffer = a.appendEnd(buffer, whole)
		}
		if len(buffer) > 0 {
			if _, err := w.Write(buffer); err != nil {
				return
			}
			_ = control.Flush()
		}
		if whole || ended {
			return
		}
		select {
		case <-a.sequence.wake:
		case <-r.Context().Done():
			return
		}
	}
}

// appendEnd appends the last chunks of the stream. A cancelled stream ends without [DONE].
func (a *answer) appendEnd(buffer []byte, whole bool) []byte {
	reason := "cancelled"
	if whole {
		reason = a.reason()
	}
	buffer = append(buffer, a.chunkStart()...)
	if a.chat {
		buffer = append(buffer, `"delta":{},`...)
	} else {
		buffer = append(buffer, `"text":"",`...)
	}
	buffer = append(buffer, `"finish_reason":"`+reason+`"}]}`+"\n\n"...)
	if !whole {
		return buffer
	}
	if a.call.wantsUsage() {
		used, _ := json.Marshal(a.usage())
		buffer = append(buffer, "data: "...)
		buffer = append(buffer, a.common()...)
		buffer = append(buffer, `"choices":[],"usage":`...)
		buffer = append(append(buffer, used...), "}\n\n"...)
	}
	return append(buffer, "data: [DONE]\n\n"...)
}

func (a *answer) reason() string {
	if a.sequence.prompt.capped {
		return "length"
	}
	return "stop"
}

// usage returns the token counts of the whole completion, including the tokens before a resume.
func (a *answer) usage() usage {
	read := a.sequence.prompt
	return usage{
		PromptTokens:     read.tokens,
		CompletionTokens: read.length,
		TotalTokens:      read.tokens + read.length,
		Details:          usageDetails{CachedTokens: a.sequence.cached},
	}
}

type wholeAnswer struct {
	ID      string        `json:"id"`
	Object  string        `json:"object"`
	Created int64         `json:"created"`
	Model   string        `json:"model"`
	Choices []wholeChoice `json:"choices"`
	Usage   usage         `json:"usage"`
}

type wholeChoice struct {
	Index        int           `json:"index"`
	Text         string        `json:"text,omitempty"`
	Message      *wholeMessage `json:"message,omitempty"`
	FinishReason string        `json:"finish_reason"`
}

type wholeMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// whole writes a single JSON response once all tokens are produced.
func (a *answer) whole(w http.ResponseWriter, r *http.Request) {
	for int(a.sequence.produced.Load()) < a.sequence.prompt.length {
		if a.sequence.ended.Load() && int(a.sequence.produced.Load()) < a.sequence.prompt.length {
			writeError(w, http.StatusInternalServerError, "cancelled", "the request was cancelled")
			return
		}
		select {
		case <-a.sequence.wake:
		case <-r.Context().Done():
			return
		}
	}
	text := []byte{}
	for i := a.from; i < a.sequence.prompt.length; i++ {
		text = appendToken(text, a.sequence.prompt.hash, i)
	}
	choice := wholeChoice{Text: string(text), FinishReason: a.reason()}
	object := "text_completion"
	if a.chat {
		choice = wholeChoice{Message: &wholeMessage{Role: "assistant", Content: string(text)}, FinishReason: a.reason()}
		object = "chat.completion"
	}
	wire.Write(w, http.StatusOK, wholeAnswer{
		ID: a.id, Object: object, Created: a.created, Model: a.call.Model,
		Choices: []wholeChoice{choice}, Usage: a.usage(),
	})
}
