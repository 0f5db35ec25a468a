package caller

import (
	"bytes"
	"encoding/json"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"github.com/arbutuswinch/winch/winchload/experiment"
)

// tokenChecker verifies the text of an answer. The stand-in engines derive each token
// from the prompt and the token's index, so that the expected text is known.
type tokenChecker struct {
	// suffix ends every token; it holds four hexadecimal digits of the prompt's hash.
	suffix []byte
	// want is the number of tokens of the answer.
	want int
	// next is the index of the next token.
	next int
	// buffer is reused for the text of the next token.
	buffer []byte
}

// newTokenChecker returns a checker for an answer of want tokens. It hashes the same text as the
// stand-in engines (package standin/engine) do.
func newTokenChecker(prompt experiment.Prompt, want int) *tokenChecker {
	text := "system\n" + prompt.System + "\nuser\n" + prompt.User + "\n"
	const digits = "0123456789abcdef"
	hash := xxhash.Sum64String(text)
	suffix := []byte{'-'}
	for shift := 12; shift >= 0; shift -= 4 {
		suffix = append(suffix, digits[hash>>shift&0xf])
	}
	return &tokenChecker{suffix: append(suffix, ' '), want: want}
}

func (c *tokenChecker) expected() []byte {
	c.buffer = append(c.buffer[:0], 'w')
	c.buffer = strconv.AppendInt(c.buffer, int64(c.next), 10)
	c.buffer = append(c.buffer, c.suffix...)
	return c.buffer
}

// accept reports whether the text consists of exactly the next tokens, without a partial
// one, and advances past those that match.
func (c *tokenChecker) accept(text []byte) bool {
	for len(text) > 0 {
		rest, found := bytes.CutPrefix(text, c.expected())
		if !found {
			return false
		}
		c.next++
		text = rest
	}
	return true
}

func (c *tokenChecker) complete() bool { return c.next == c.want }

// chunk is a streamed chunk of a chat completion, or an error event.
type chunk struct {
	ID      string `json:"id"`
	Choices []struct {
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
	} `json:"choices"`
	Error *errorDetail `json:"error"`
}

type errorDetail struct {
	Code string `json:"code"`
}

// lineResult is the result of checking one data line of a stream.
type lineResult struct {
	// tokens is the number of tokens in the line.
	tokens int
	// code is the code of an error event.
	code string
	// wrong is the code of a failed check.
	wrong string
}

// streamChecker checks the events of one stream.
type streamChecker struct {
	tokens *tokenChecker
	id     string
	// idField is the encoded id of every chunk. content is reused for the encoded content of a
	// chunk that holds only the next token.
	idField []byte
	content []byte
}

func newStreamChecker(id string, tokens *tokenChecker) *streamChecker {
	return &streamChecker{tokens: tokens, id: id, idField: []byte(`"id":"` + id + `"`)}
}

// checkLine checks one data line. The common case, a chunk with only the next token, is
// recognised by comparing bytes and is not decoded.
func (s *streamChecker) checkLine(data []byte) lineResult {
	s.content = append(append(append(s.content[:0], `"content":"`...), s.tokens.expected()...), '"')
	if bytes.Contains(data, s.content) && bytes.Contains(data, s.idField) {
		s.tokens.next++
		return lineResult{tokens: 1}
	}
	return s.checkDecoded(data)
}

// checkDecoded decodes the line and checks its id and tokens.
func (s *streamChecker) checkDecoded(data []byte) lineResult {
	decoded := chunk{}
	if err := json.Unmarshal(data, &decoded); err != nil {
		return lineResult{wrong: "chunk_not_json"}
	}
	if decoded.Error != nil {
		return lineResult{code: decoded.Error.Code}
	}
	if decoded.ID != s.id {
		return lineResult{wrong: "chunk_of_another_request"}
	}
	before := s.tokens.next
	for _, choice := range decoded.Choices {
		if !s.tokens.accept([]byte(choice.Delta.Content)) {
			return lineResult{wrong: "token_order"}
		}
	}
	return lineResult{tokens: s.tokens.next - before}
}
