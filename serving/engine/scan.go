package engine

import (
	"bytes"

	"github.com/arbutuswinch/winch"
)

// scanner walks over JSON without building values. After a syntax error bad is
// set and every further step ends at once.
type scanner struct {
	data []byte
	pos  int
	bad  bool
}

func (s *scanner) space() {
	for s.pos < len(s.data) {
		switch s.data[s.pos] {
		case ' ', '\t', '\n', '\r':
			s.pos++
		default:
			return
		}
	}
}

func (s *scanner) peek() byte {
	s.space()
	if s.bad || s.pos >= len(s.data) {
		s.bad = true
		return 0
	}
	return s.data[s.pos]
}

func (s *scanner) take(want byte) bool {
	if s.peek() != want {
		return false
	}
	s.pos++
	return true
}

// open enters an object or an array; a value of another kind is skipped.
func (s *scanner) open(bracket byte) bool {
	if s.take(bracket) {
		return true
	}
	s.skip()
	return false
}

// more reports whether another member or element follows.
func (s *scanner) more(closing byte, first *bool) bool {
	if s.take(closing) {
		return false
	}
	if s.bad {
		return false
	}
	if !*first && !s.take(',') {
		s.bad = true
		return false
	}
	*first = false
	return true
}

// key reads a member's name and the colon after it.
func (s *scanner) key() []byte {
	name, found := s.text()
	if !found || !s.take(':') {
		s.bad = true
	}
	return name
}

// text reads a string and returns its inside with escapes kept. A value of
// another kind is skipped.
func (s *scanner) text() ([]byte, bool) {
	if !s.take('"') {
		s.skip()
		return nil, false
	}
	start := s.pos
	for {
		offset := bytes.IndexByte(s.data[s.pos:], '"')
		if offset < 0 {
			s.bad = true
			return nil, false
		}
		s.pos += offset + 1
		if !escaped(s.data[start : s.pos-1]) {
			return s.data[start : s.pos-1], true
		}
	}
}

// escaped reports whether what follows text is preceded by an odd number of backslashes.
func escaped(text []byte) bool {
	count := 0
	for i := len(text) - 1; i >= 0 && text[i] == '\\'; i-- {
		count++
	}
	return count%2 == 1
}

// number reads a number that is not negative; a value of another kind counts as zero.
func (s *scanner) number() winch.Tokens {
	if c := s.peek(); c < '0' || c > '9' {
		s.skip()
		return 0
	}
	value := winch.Tokens(0)
	for s.pos < len(s.data) && s.data[s.pos] >= '0' && s.data[s.pos] <= '9' && value < 1<<40 {
		value = value*10 + winch.Tokens(s.data[s.pos]-'0')
		s.pos++
	}
	return value
}

// skip passes over one value.
func (s *scanner) skip() {
	depth := 0
	for !s.bad {
		switch s.peek() {
		case '"':
			s.text()
		case '{', '[':
			depth++
			s.pos++
		case '}', ']':
			depth--
			s.pos++
		case ',', ':':
			s.pos++
		default:
			s.literal()
		}
		if depth <= 0 {
			return
		}
	}
}

// literal passes over a number, true, false or null.
func (s *scanner) literal() {
	start := s.pos
	for s.pos < len(s.data) && !ends(s.data[s.pos]) {
		s.pos++
	}
	if s.pos == start {
		s.bad = true
	}
}

// ends reports whether the byte ends a literal.
func ends(c byte) bool {
	switch c {
	case ' ', '\t', '\r', '\n', ',', ':', '{', '}', '[', ']', '"':
		return true
	}
	return false
}

// null reports whether the next value is null, and passes over it if it is.
func (s *scanner) null() bool {
	if s.peek() != 'n' {
		return false
	}
	s.skip()
	return true
}
