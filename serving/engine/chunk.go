package engine

import (
	"fmt"

	"github.com/arbutuswinch/winch"
)

// parseEvent extracts the fields of winch.Chunk from the payload of an event. It returns
// winch.ErrResponseMismatch if the payload does not bear the id of the request and is no error report.
func parseEvent(payload []byte, requestID string) (winch.Chunk, error) {
	s := &jsonScanner{data: payload}
	chunk := winch.Chunk{Data: payload}
	idMatches, hasChoices := false, false
	if !s.consume('{') {
		return chunk, fmt.Errorf("parse event: %w", winch.ErrInvalid)
	}
	for first := true; s.next('}', &first); {
		switch string(s.memberName()) {
		case "id":
			id, _ := s.stringValue()
			idMatches = string(id) == requestID
		case "choices":
			hasChoices = parseChoices(s, &chunk)
		case "usage":
			parseUsage(s, &chunk)
		case "error":
			chunk.Failed = !s.skipNull()
			if chunk.Failed {
				s.skipValue()
			}
		default:
			s.skipValue()
		}
	}
	if s.invalid {
		return chunk, fmt.Errorf("parse event: %w", winch.ErrInvalid)
	}
	if !idMatches && !chunk.Failed {
		return chunk, fmt.Errorf("match event to request: %w", winch.ErrResponseMismatch)
	}
	chunk.UsageOnly = chunk.HasUsage && !hasChoices
	if len(chunk.Text) > 0 || chunk.NonText {
		// Engines send one event for each token.
		chunk.Tokens = 1
	}
	return chunk, nil
}

// parseChoices parses the choices and reports whether there are any. It sets Opaque if the chunk
// carries output other than the text of a single choice with index zero: a stream with such a
// chunk cannot be resumed from its text.
func parseChoices(s *jsonScanner, chunk *winch.Chunk) bool {
	if !s.enter('[') {
		return false
	}
	count := 0
	for first := true; s.next(']', &first); count++ {
		parseChoice(s, chunk)
	}
	if count > 1 {
		chunk.NonText = true
	}
	return count > 0
}

func parseChoice(s *jsonScanner, chunk *winch.Chunk) {
	if !s.enter('{') {
		return
	}
	for first := true; s.next('}', &first); {
		switch string(s.memberName()) {
		case "text":
			chunk.Text, _ = s.stringValue()
		case "delta", "message":
			parseDelta(s, chunk)
		case "index":
			if s.numberValue() != 0 {
				chunk.NonText = true
			}
		case "finish_reason":
			parseFinishReason(s, chunk)
		default:
			s.skipValue()
		}
	}
}

// parseFinishReason reads why the output ended. An engine whose stream was cancelled reports
// that as the reason; its output is incomplete.
func parseFinishReason(s *jsonScanner, chunk *winch.Chunk) {
	if s.skipNull() {
		return
	}
	reason, _ := s.stringValue()
	switch string(reason) {
	case "cancelled", "abort", "error":
		chunk.Failed = true
	default:
		chunk.Finished = true
	}
}

func parseDelta(s *jsonScanner, chunk *winch.Chunk) {
	if !s.enter('{') {
		return
	}
	for first := true; s.next('}', &first); {
		switch string(s.memberName()) {
		case "content":
			chunk.Text, _ = s.stringValue()
		case "role":
			s.skipValue()
		default:
			if !s.skipNull() {
				s.skipValue()
				chunk.NonText = true
			}
		}
	}
}

func parseUsage(s *jsonScanner, chunk *winch.Chunk) {
	if !s.enter('{') {
		return
	}
	chunk.HasUsage = true
	for first := true; s.next('}', &first); {
		switch string(s.memberName()) {
		case "prompt_tokens":
			chunk.InputTokens = s.numberValue()
		case "completion_tokens":
			chunk.OutputTokens = s.numberValue()
		default:
			s.skipValue()
		}
	}
}
