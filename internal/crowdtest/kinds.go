package crowdtest

import (
	"bufio"
	"bytes"
	"fmt"
	"net"
	"net/http"
	"strings"
	"time"
)

// inChunks returns the body in chunked encoding with chunks of the given size, without the final chunk.
func inChunks(body []byte, size int) []byte {
	encoded := bytes.Buffer{}
	for len(body) > 0 {
		count := min(size, len(body))
		fmt.Fprintf(&encoded, "%x\r\n%s\r\n", count, body[:count])
		body = body[count:]
	}
	return encoded.Bytes()
}

// sendBody sends a request with the given field and body.
func sendBody(field string, body []byte) func(net.Conn, Place, <-chan struct{}) error {
	return func(conn net.Conn, place Place, _ <-chan struct{}) error {
		if err := write(conn, []byte(place.head(http.MethodPost)+field+"\r\n\r\n")); err != nil {
			return err
		}
		return write(conn, body)
	}
}

// letters returns the beginning of a JSON string, so that a decoder reads the whole body.
func letters(size int) []byte {
	body := bytes.Repeat([]byte("x"), size)
	body[0] = '"'
	return body
}

func declared(size int) string { return fmt.Sprintf("Content-Length: %d", size) }

const chunked = "Transfer-Encoding: chunked"

// UnfinishedBodies declare a size and stop one byte before their end.
func UnfinishedBodies(size int) Kind {
	return Kind{members: 200, send: sendBody(declared(size), letters(size-1))}
}

// UnfinishedChunkedBodies stop one byte before the given size, in chunks of 64 KiB.
func UnfinishedChunkedBodies(size int) Kind {
	return Kind{members: 200, send: sendBody(chunked, inChunks(letters(size-1), 64<<10))}
}

// OneByteChunks stop one byte before the given size, in chunks of one byte, whose encoding is several times as long.
func OneByteChunks(size int) Kind {
	return Kind{members: 80, send: sendBody(chunked, inChunks(letters(size-1), 1))}
}

// WholeBodies come all at once.
func WholeBodies(size int) Kind {
	return Kind{members: 200, send: sendBody(declared(size), letters(size))}
}

// DeclaredBodiesOverTheLimit declare that they are larger than the limit, and send all they declare.
func DeclaredBodiesOverTheLimit(size int) Kind {
	return Kind{members: 200, send: sendBody(declared(size), letters(size))}
}

// ChunkedBodiesOverTheLimit are larger than the limit without a declared length.
func ChunkedBodiesOverTheLimit(size int) Kind {
	return Kind{members: 200, send: sendBody(chunked, inChunks(letters(size), 64<<10))}
}

// shortFields returns fields with names that differ, of at most the given number of bytes together.
func shortFields(size int) string {
	const characters = "abcdefghijklmnopqrstuvwxyz0123456789!#$%&'*+-.^_`|~"
	fields := strings.Builder{}
	for number := 0; fields.Len() < size-len("abc:\r\n"); number++ {
		for left := number; ; left /= len(characters) {
			fields.WriteByte(characters[left%len(characters)])
			if left < len(characters) {
				break
			}
		}
		fields.WriteString(":\r\n")
	}
	return fields.String()
}

// ShortFields are requests whose head has so many bytes of short fields, and whose body of two bytes stops one byte short, so that
// the process keeps the head if it waits for the body.
func ShortFields(members, size int) Kind {
	fields := shortFields(size)
	return Kind{members: members, send: func(conn net.Conn, place Place, done <-chan struct{}) error {
		return writeAndHold(conn, place.head(http.MethodPost)+fields+declared(2)+"\r\n\r\nx", done)
	}}
}

// PipelinedRequests are many requests on each connection, whose answers are not read.
func PipelinedRequests() Kind {
	return Kind{members: 450, send: func(conn net.Conn, place Place, _ <-chan struct{}) error {
		requests := bytes.Buffer{}
		for range 4_000 {
			requests.WriteString(place.head(http.MethodGet) + "\r\n")
		}
		return write(conn, requests.Bytes())
	}}
}

// SlowHeads arrive one byte at a time.
func SlowHeads() Kind {
	return Kind{members: 600, send: func(conn net.Conn, place Place, done <-chan struct{}) error {
		if err := write(conn, []byte(place.head(http.MethodGet)+"X-Slow: ")); err != nil {
			return err
		}
		return slowly(done, func() error { return write(conn, []byte("x")) })
	}}
}

// StalledHeads stop half-way in the head.
func StalledHeads() Kind {
	return Kind{members: 600, send: func(conn net.Conn, place Place, done <-chan struct{}) error {
		return writeAndHold(conn, place.head(http.MethodGet)+"X-Stall", done)
	}}
}

// SlowReaders request an answer and read a few bytes of it. Their connections have small receive buffers, so that the rest stays at the
// process.
func SlowReaders() Kind {
	return Kind{members: 300, send: func(conn net.Conn, place Place, done <-chan struct{}) error {
		if err := conn.(*net.TCPConn).SetReadBuffer(4 << 10); err != nil {
			return err
		}
		if err := write(conn, []byte(place.head(http.MethodGet)+"\r\n")); err != nil {
			return err
		}
		answer := bufio.NewReaderSize(conn, 16)
		return slowly(done, func() error {
			if err := conn.SetReadDeadline(time.Now().Add(blockedAfter)); err != nil {
				return err
			}
			_, err := answer.ReadByte()
			return err
		})
	}}
}

// slowly calls step every 100 ms for 2 s, or until done is closed.
func slowly(done <-chan struct{}, step func() error) error {
	ticker := time.NewTicker(100 * time.Millisecond)
	defer ticker.Stop()
	for range 20 {
		if err := step(); err != nil {
			return err
		}
		select {
		case <-done:
			return nil
		case <-ticker.C:
		}
	}
	return nil
}

// writeAndHold writes a text and returns after 2 s. The kernel accepts the text before the process has accepted the connection, so
// without the wait the clients would count as settled too early.
func writeAndHold(conn net.Conn, text string, done <-chan struct{}) error {
	if err := write(conn, []byte(text)); err != nil {
		return err
	}
	return slowly(done, func() error { return nil })
}
