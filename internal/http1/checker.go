package http1

import (
	"bytes"
	"math"
	"net/http"
	"strconv"
	"strings"
)

// position is the part of a response to which the next byte belongs.
type position int

const (
	inStatusLine position = iota
	inFields
	inBody
	inChunkSize
	inChunk
	inChunkEnd
	inTrailer
	// inBodyUntilClose is a body without a length and without chunks. It ends when the server closes the connection.
	inBodyUntilClose
)

// maxKeptBytes is the number of bytes that are kept of a line. The parts that are interpreted are much shorter.
const maxKeptBytes = 128

// checker checks the responses on a connection one after the other. It reads nothing itself, and keeps no more than a part of a line.
type checker struct {
	// withoutBody says that the next response has no body, as the request was made with the method HEAD.
	withoutBody bool

	position position
	line     line
	head     head
	// left is the number of bytes of the body or of the chunk that are to come.
	left int64
}

// line is what has come of a line.
type line struct {
	kept   [maxKeptBytes]byte
	length int
	// name is the length of the field's name; zero before its colon.
	name     int
	returned bool // the last byte was CR
}

func (l *line) text() string { return string(l.kept[:min(l.length, maxKeptBytes)]) }

// truncated reports whether a part of the line was not kept.
func (l *line) truncated() bool { return l.length > maxKeptBytes }

func (l *line) add(b byte) {
	if l.length < maxKeptBytes {
		l.kept[l.length] = b
	}
	l.length++
}

// head is what the head of a response says about its body.
type head struct {
	status int
	// minor is the minor version of HTTP/1.
	minor     int
	length    int64 // -1 without a Content-Length
	codings   int   // number of fields Transfer-Encoding
	isChunked bool
}

// endsWithConnection reports whether only the end of the connection tells the end of the response.
func (c *checker) endsWithConnection() bool { return c.position == inBodyUntilClose }

// check returns how many of the next bytes keep to the protocol, and the error if these are not all. The byte that completes a malformed line or
// head is not among them, so that no reader takes it for complete.
func (c *checker) check(p []byte) (int, error) {
	for at := 0; at < len(p); {
		switch c.position {
		case inBodyUntilClose:
			return len(p), nil
		case inBody, inChunk:
			count := int(min(c.left, int64(len(p)-at)))
			at += count
			c.left -= int64(count)
			c.finishBytes()
		default:
			if err := c.add(p[at]); err != nil {
				return at, err
			}
			at++
		}
	}
	return len(p), nil
}

// finishBytes goes on after the last byte of a body or of a chunk.
func (c *checker) finishBytes() {
	switch {
	case c.left > 0:
	case c.position == inChunk:
		c.position = inChunkEnd
	default:
		c.position = inStatusLine
	}
}

// add adds a byte of a line.
func (c *checker) add(b byte) error {
	switch {
	case b == '\n':
		return c.endLine()
	case c.line.returned:
		return malformed("CR within a line")
	case b == '\r':
		c.line.returned = true
		return nil
	case c.position == inChunkEnd:
		return malformed("chunk is longer than its size")
	}
	if err := c.checkByte(b); err != nil {
		return err
	}
	c.line.add(b)
	return nil
}

// checkByte checks a byte of a line that is not its end.
func (c *checker) checkByte(b byte) error {
	isField := c.position == inFields || c.position == inTrailer
	switch {
	case !isField || c.line.name > 0:
		if !isTextByte(b) {
			return malformed("control byte %#02x in a line", b)
		}
	case b == ':' && c.line.length > 0:
		c.line.name = c.line.length
	case !isTokenByte(b):
		return malformed("byte %#02x in the name of a field", b)
	}
	return nil
}

// endLine interprets the line.
func (c *checker) endLine() error {
	ended := c.line
	c.line.length, c.line.name, c.line.returned = 0, 0, false
	switch c.position {
	case inStatusLine:
		return c.parseStatusLine(&ended)
	case inFields:
		if ended.length > 0 {
			return c.head.addField(&ended)
		}
		return c.endHead()
	case inChunkSize:
		return c.parseChunkSize(&ended)
	case inChunkEnd:
		if !ended.returned {
			return malformed("chunk does not end with CRLF")
		}
		c.position = inChunkSize
		return nil
	}
	if ended.length == 0 {
		// The end of the trailer.
		c.position = inStatusLine
		return nil
	}
	return checkTrailerField(&ended)
}

// parseStatusLine checks a status line and starts the head: the version, a blank, a status with three digits, and a reason after another blank.
func (c *checker) parseStatusLine(l *line) error {
	text := l.text()
	version, rest, found := strings.Cut(text, " ")
	if !found || len(version) != len("HTTP/1.1") || !strings.HasPrefix(version, "HTTP/1.") || !isDigit(version[len(version)-1]) {
		return malformed("status line %q", shorten(text))
	}
	if len(rest) < 3 || len(rest) > 3 && rest[3] != ' ' {
		return malformed("status line %q", shorten(text))
	}
	for _, digit := range []byte(rest[:3]) {
		if !isDigit(digit) {
			return malformed("status line %q", shorten(text))
		}
	}
	status, _ := strconv.Atoi(rest[:3])
	// No request here asks for another protocol.
	if status < minStatus || status > maxStatus || status == http.StatusSwitchingProtocols {
		return malformed("status %s", rest[:3])
	}
	c.head = head{status: status, minor: int(version[len(version)-1] - '0'), length: -1}
	c.position = inFields
	return nil
}

// minStatus and maxStatus bound the status codes that a server may send.
const (
	minStatus = 100
	maxStatus = 599
)

// addField interprets the fields that say where the body ends.
func (h *head) addField(l *line) error {
	if l.name == 0 {
		return malformed("field without a colon")
	}
	name, value := l.field()
	switch {
	case strings.EqualFold(name, "Content-Length"):
		return h.addLength(value, l.truncated())
	case strings.EqualFold(name, "Transfer-Encoding"):
		h.codings++
		h.isChunked = strings.EqualFold(value, "chunked") && !l.truncated()
	}
	return nil
}

// field returns the name and the value of a field, as far as they are kept.
func (l *line) field() (name, value string) {
	text := l.text()
	if l.name >= len(text) {
		return text, ""
	}
	return text[:l.name], strings.Trim(text[l.name+1:], " \t")
}

// addLength adds a Content-Length. Equal ones may be repeated.
func (h *head) addLength(value string, truncated bool) error {
	length, err := strconv.ParseUint(value, 10, 63)
	if err != nil || truncated {
		return malformed("Content-Length %q", shorten(value))
	}
	if h.length >= 0 && h.length != int64(length) {
		return malformed("two different lengths")
	}
	h.length = int64(length)
	return nil
}

// endHead determines from the whole head how the end of the body is recognized.
func (c *checker) endHead() error {
	h := &c.head
	informational, bodiless := h.status < http.StatusOK, h.status == http.StatusNoContent
	switch {
	case h.codings > 1 || h.codings == 1 && !h.isChunked:
		return malformed("unknown transfer coding")
	case h.codings > 0 && h.minor == 0:
		return malformed("transfer coding with HTTP/1.0")
	case h.codings > 0 && h.length >= 0:
		return malformed("both a length and a transfer coding")
	case (informational || bodiless) && (h.codings > 0 || h.length > 0):
		return malformed("body with status %d", h.status)
	}
	c.left = h.length
	switch {
	case informational, bodiless, h.status == http.StatusNotModified, c.withoutBody, h.length == 0:
		c.position = inStatusLine
	case h.codings > 0:
		c.position = inChunkSize
	case h.length > 0:
		c.position = inBody
	default:
		c.position = inBodyUntilClose
	}
	return nil
}

// parseChunkSize interprets a chunk's size, which extensions may follow.
func (c *checker) parseChunkSize(l *line) error {
	if !l.returned {
		return malformed("size of a chunk does not end with CRLF")
	}
	text := l.text()
	digits, _, _ := strings.Cut(text, ";")
	size, err := strconv.ParseUint(strings.TrimRight(digits, " \t"), 16, 64)
	if err != nil || size > math.MaxInt64 {
		return malformed("size of a chunk %q", shorten(text))
	}
	c.left, c.position = int64(size), inChunk
	if size == 0 {
		c.position = inTrailer
	}
	return nil
}

// checkTrailerField refuses the fields that say where a body ends: they are too late there.
func checkTrailerField(l *line) error {
	if l.name == 0 {
		return malformed("field without a colon in a trailer")
	}
	name, _ := l.field()
	if strings.EqualFold(name, "Content-Length") || strings.EqualFold(name, "Transfer-Encoding") {
		return malformed("field %s in a trailer", name)
	}
	return nil
}

// maxQuotedBytes is the number of bytes of a malformed line that an error quotes.
const maxQuotedBytes = 48

func shorten(text string) string { return text[:min(len(text), maxQuotedBytes)] }

func isDigit(b byte) bool { return b >= '0' && b <= '9' }

// isTokenByte reports whether the byte may be part of the name of a field or of a method.
func isTokenByte(b byte) bool {
	return isDigit(b) || b >= 'a' && b <= 'z' || b >= 'A' && b <= 'Z' || bytes.IndexByte([]byte("!#$%&'*+-.^_`|~"), b) >= 0
}

// isTextByte reports whether the byte may be part of the value of a field or of the reason phrase in a status line.
func isTextByte(b byte) bool { return b == '\t' || b >= ' ' && b != 0x7f }
