package engine

import (
	"fmt"

	"github.com/arbutuswinch/winch"
)

// parse reads what the serving of a stream needs of an event's payload.
func parse(payload []byte, request string) (winch.Chunk, error) {
	s := &scanner{data: payload}
	chunk := winch.Chunk{Data: payload}
	named, hasChoices := false, false
	if !s.take('{') {
		return chunk, fmt.Errorf("parse event: %w", winch.ErrInvalid)
	}
	for first := true; s.more('}', &first); {
		switch string(s.key()) {
		case "id":
			id, _ := s.text()
			named = string(id) == request
		case "choices":
			hasChoices = choices(s, &chunk)
		case "usage":
			usage(s, &chunk)
		case "error":
			chunk.Failed = !s.null()
			if chunk.Failed {
				s.skip()
			}
		default:
			s.skip()
		}
	}
	if s.bad {
		return chunk, fmt.Errorf("parse event: %w", winch.ErrInvalid)
	}
	if !named && !chunk.Failed {
		return chunk, fmt.Errorf("match event to request: %w", winch.ErrCrossed)
	}
	chunk.UsageOnly = chunk.HasUsage && !hasChoices
	if len(chunk.Text) > 0 || chunk.Opaque {
		chunk.Tokens = 1
	}
	return chunk, nil
}

// choices reports whether there is any choice.
func choices(s *scanner, chunk *winch.Chunk) bool {
	if !s.open('[') {
		return false
	}
	count := 0
	for first := true; s.more(']', &first); count++ {
		choice(s, chunk)
	}
	if count > 1 {
		chunk.Opaque = true
	}
	return count > 0
}

func choice(s *scanner, chunk *winch.Chunk) {
	if !s.open('{') {
		return
	}
	for first := true; s.more('}', &first); {
		switch string(s.key()) {
		case "text":
			chunk.Text, _ = s.text()
		case "delta", "message":
			delta(s, chunk)
		case "index":
			if s.number() != 0 {
				chunk.Opaque = true
			}
		case "finish_reason":
			finish(s, chunk)
		default:
			s.skip()
		}
	}
}

// finish reads the reason for which the output ends. An engine that was told to stop
// names that as the reason; its output is not whole.
func finish(s *scanner, chunk *winch.Chunk) {
	if s.null() {
		return
	}
	reason, _ := s.text()
	switch string(reason) {
	case "cancelled", "abort", "error":
		chunk.Failed = true
	default:
		chunk.Finished = true
	}
}

func delta(s *scanner, chunk *winch.Chunk) {
	if !s.open('{') {
		return
	}
	for first := true; s.more('}', &first); {
		switch string(s.key()) {
		case "content":
			chunk.Text, _ = s.text()
		case "role":
			s.skip()
		default:
			if !s.null() {
				s.skip()
				chunk.Opaque = true
			}
		}
	}
}

func usage(s *scanner, chunk *winch.Chunk) {
	if !s.open('{') {
		return
	}
	chunk.HasUsage = true
	for first := true; s.more('}', &first); {
		switch string(s.key()) {
		case "prompt_tokens":
			chunk.InputTokens = s.number()
		case "completion_tokens":
			chunk.OutputTokens = s.number()
		default:
			s.skip()
		}
	}
}
