package engine

import (
	"bytes"

	"github.com/arbutuswinch/winch"
)

// jsonScanner scans JSON without building values. An error that keeps it from going on sets
// invalid, after which all methods return at once. It is no validator: the syntax of skipped
// values and what follows the outermost value are not checked.
type jsonScanner struct {
	data    []byte
	pos     int
	invalid bool
}

func (s *jsonScanner) skipSpace() {
	for s.pos < len(s.data) {
		switch s.data[s.pos] {
		case ' ', '\t', '\n', '\r':
			s.pos++
		default:
			return
		}
	}
}

func (s *jsonScanner) peek() byte {
	s.skipSpace()
	if s.invalid || s.pos >= len(s.data) {
		s.invalid = true
		return 0
	}
	return s.data[s.pos]
}

func (s *jsonScanner) consume(want byte) bool {
	if s.peek() != want {
		return false
	}
	s.pos++
	return true
}

// enter consumes the opening bracket of an object or array. A value of another kind is skipped.
func (s *jsonScanner) enter(bracket byte) bool {
	if s.consume(bracket) {
		return true
	}
	s.skipValue()
	return false
}

// next reports whether another member or element follows, and consumes the comma before it
// or the closing bracket. Before the first call, first must be true: the first member has no
// comma before it. next then sets it to false.
func (s *jsonScanner) next(closing byte, first *bool) bool {
	if s.consume(closing) {
		return false
	}
	if s.invalid {
		return false
	}
	if !*first && !s.consume(',') {
		s.invalid = true
		return false
	}
	*first = false
	return true
}

// memberName reads the name of an object member and the colon after it.
func (s *jsonScanner) memberName() []byte {
	name, found := s.stringValue()
	if !found || !s.consume(':') {
		s.invalid = true
	}
	return name
}

// stringValue reads a string and returns its content with all escape sequences unchanged. A
// value of another kind is skipped.
func (s *jsonScanner) stringValue() ([]byte, bool) {
	if !s.consume('"') {
		s.skipValue()
		return nil, false
	}
	start := s.pos
	for {
		offset := bytes.IndexByte(s.data[s.pos:], '"')
		if offset < 0 {
			s.invalid = true
			return nil, false
		}
		s.pos += offset + 1
		if !endsInEscape(s.data[start : s.pos-1]) {
			return s.data[start : s.pos-1], true
		}
	}
}

// endsInEscape reports whether the text ends with an odd number of backslashes, so that the
// next character is escaped.
func endsInEscape(text []byte) bool {
	count := 0
	for i := len(text) - 1; i >= 0 && text[i] == '\\'; i-- {
		count++
	}
	return count%2 == 1
}

// numberValue reads a non-negative integer. A value that does not start with a digit is skipped
// and counts as zero. The rest of a fraction, of an exponent or of a number that is too large is
// not skipped, which makes the payload invalid.
func (s *jsonScanner) numberValue() winch.Tokens {
	if c := s.peek(); c < '0' || c > '9' {
		s.skipValue()
		return 0
	}
	value := winch.Tokens(0)
	// The limit avoids an overflow.
	for s.pos < len(s.data) && s.data[s.pos] >= '0' && s.data[s.pos] <= '9' && value < 1<<40 {
		value = value*10 + winch.Tokens(s.data[s.pos]-'0')
		s.pos++
	}
	return value
}

// skipValue skips one value.
func (s *jsonScanner) skipValue() {
	depth := 0
	for !s.invalid {
		switch s.peek() {
		case '"':
			s.stringValue()
		case '{', '[':
			depth++
			s.pos++
		case '}', ']':
			depth--
			s.pos++
		case ',', ':':
			s.pos++
		default:
			s.skipLiteral()
		}
		if depth <= 0 {
			return
		}
	}
}

// skipLiteral skips a number, true, false or null.
func (s *jsonScanner) skipLiteral() {
	start := s.pos
	for s.pos < len(s.data) && !endsLiteral(s.data[s.pos]) {
		s.pos++
	}
	if s.pos == start {
		s.invalid = true
	}
}

// endsLiteral reports whether the byte ends a literal.
func endsLiteral(c byte) bool {
	switch c {
	case ' ', '\t', '\r', '\n', ',', ':', '{', '}', '[', ']', '"':
		return true
	}
	return false
}

// skipNull reports whether the next value is null, and skips it if so.
func (s *jsonScanner) skipNull() bool {
	if s.peek() != 'n' {
		return false
	}
	s.skipValue()
	return true
}
