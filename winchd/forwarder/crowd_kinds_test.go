package forwarder

import (
	"bufio"
	"bytes"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/arbutuswinch/winch/platform/wire"
)

const requestIDField = wire.RequestID

// crowdBody is a body of the largest legal size.
var crowdBody = bytes.Repeat([]byte("x"), crowdBodyLimit)

// inChunks returns the body in chunks of a size, without the chunk that ends it.
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
func sendBody(field string, body []byte) func(net.Conn, crowdPlace, <-chan struct{}) error {
	return func(conn net.Conn, place crowdPlace, _ <-chan struct{}) error {
		if err := write(conn, []byte(place.head(http.MethodPost)+field+"\r\n\r\n")); err != nil {
			return err
		}
		return write(conn, body)
	}
}

func declared(size int) string { return fmt.Sprintf("Content-Length: %d", size) }

const chunked = "Transfer-Encoding: chunked"

// unfinishedBodies stop one byte before their end.
var unfinishedBodies = crowdKind{members: 200, send: sendBody(declared(crowdBodyLimit), crowdBody[1:])}

// TestCrowdOfUnfinishedBodies guards against bodies that are held without progress, and allocated at once by their declared length.
func TestCrowdOfUnfinishedBodies(t *testing.T) { testCrowds(t, crowdPlaces, unfinishedBodies) }

// TestCrowdOfUnfinishedChunkedBodies guards against bodies without a declared length that are held without progress.
func TestCrowdOfUnfinishedChunkedBodies(t *testing.T) {
	testCrowds(t, crowdPlaces, crowdKind{members: 200, send: sendBody(chunked, inChunks(crowdBody[1:], 64<<10))})
}

// TestCrowdOfOneByteChunks guards against bodies whose encoding is several times as long as they are.
func TestCrowdOfOneByteChunks(t *testing.T) {
	testCrowds(t, crowdPlaces, crowdKind{members: 64, send: sendBody(chunked, inChunks(crowdBody[1:], 1))})
}

// TestCrowdOfWholeBodies guards against more complete bodies at once than there is memory for.
func TestCrowdOfWholeBodies(t *testing.T) {
	testCrowds(t, crowdPlaces, crowdKind{members: 200, send: sendBody(declared(crowdBodyLimit), crowdBody)})
}

// overLimit is how many times the legal size a body over the limit has.
const overLimit = 4

// TestCrowdOfDeclaredBodiesOverTheLimit guards against bodies that are read although their declared length is over the limit.
func TestCrowdOfDeclaredBodiesOverTheLimit(t *testing.T) {
	testCrowds(t, crowdPlaces, crowdKind{members: 200, send: sendBody(declared(overLimit*crowdBodyLimit), bytes.Repeat(crowdBody, overLimit))})
}

// TestCrowdOfChunkedBodiesOverTheLimit guards against bodies that are read although they are longer than the limit.
func TestCrowdOfChunkedBodiesOverTheLimit(t *testing.T) {
	testCrowds(t, crowdPlaces, crowdKind{members: 200, send: sendBody(chunked, inChunks(bytes.Repeat(crowdBody, overLimit), 64<<10))})
}

// shortFields returns fields with names that differ, of at most the given number of bytes together.
func shortFields(size int) string {
	const letters = "abcdefghijklmnopqrstuvwxyz0123456789!#$%&'*+-.^_`|~"
	fields := strings.Builder{}
	for number := 0; fields.Len() < size-len("abc:\r\n"); number++ {
		for left := number; ; left /= len(letters) {
			fields.WriteByte(letters[left%len(letters)])
			if left < len(letters) {
				break
			}
		}
		fields.WriteString(":\r\n")
	}
	return fields.String()
}

// crowdedHead sends a request whose head has many short fields, and whose body of two bytes stops one byte short, so that the host
// keeps the head if it waits for the body.
func crowdedHead(size int) func(net.Conn, crowdPlace, <-chan struct{}) error {
	fields := shortFields(size)
	return func(conn net.Conn, place crowdPlace, _ <-chan struct{}) error {
		return write(conn, []byte(place.head(http.MethodPost)+fields+declared(2)+"\r\n\r\nx"))
	}
}

// shortFieldsOfLegalSize leave room for the other fields of the head.
var shortFieldsOfLegalSize = crowdKind{members: 400, send: crowdedHead(crowdHeadLimit - 512)}

// TestCrowdOfShortFields guards against heads of legal size that take many times their size in memory.
func TestCrowdOfShortFields(t *testing.T) { testCrowds(t, crowdPlaces, shortFieldsOfLegalSize) }

// TestCrowdOfSevenThousandFields guards against the same with heads over the legal size, which the server must read before it sees
// that they are.
func TestCrowdOfSevenThousandFields(t *testing.T) {
	testCrowds(t, crowdPlaces, crowdKind{members: 200, send: crowdedHead(42_000)})
}

// pipelinedRequests sends many requests without reading an answer.
var pipelinedRequests = crowdKind{members: 300, send: func(conn net.Conn, place crowdPlace, _ <-chan struct{}) error {
	requests := bytes.Buffer{}
	for range 4_000 {
		requests.WriteString(place.head(http.MethodGet) + "\r\n")
	}
	return write(conn, requests.Bytes())
}}

// TestCrowdOfPipelinedRequests guards against answers and requests that pile up while the caller does not read.
func TestCrowdOfPipelinedRequests(t *testing.T) { testCrowds(t, crowdPlaces, pipelinedRequests) }

// sendSlowly sends one byte of a head at a time, until the crowd leaves.
func sendSlowly(conn net.Conn, place crowdPlace, done <-chan struct{}) error {
	if err := write(conn, []byte(place.head(http.MethodGet)+"X-Slow: ")); err != nil {
		return err
	}
	ticker := time.NewTicker(100 * time.Millisecond)
	defer ticker.Stop()
	for range 20 {
		select {
		case <-done:
			return nil
		case <-ticker.C:
		}
		if err := write(conn, []byte("x")); err != nil {
			return err
		}
	}
	return nil
}

// TestCrowdOfSlowHeads guards against connections that take all descriptors while their heads arrive.
func TestCrowdOfSlowHeads(t *testing.T) {
	testCrowds(t, crowdPlaces, crowdKind{members: 600, send: sendSlowly})
}

// stalledHeads stop half-way in the head.
var stalledHeads = crowdKind{members: 600, send: func(conn net.Conn, place crowdPlace, _ <-chan struct{}) error {
	return write(conn, []byte(place.head(http.MethodGet)+"X-Stall"))
}}

// TestCrowdOfStalledHeads guards against connections that take all descriptors without sending anything more.
func TestCrowdOfStalledHeads(t *testing.T) { testCrowds(t, crowdPlaces, stalledHeads) }

// slowReaders request a large answer and read a few bytes of it. The connection has a small receive buffer, so that the rest stays at
// the host.
var slowReaders = crowdKind{members: 300, send: func(conn net.Conn, place crowdPlace, done <-chan struct{}) error {
	if err := conn.(*net.TCPConn).SetReadBuffer(4 << 10); err != nil {
		return err
	}
	if err := write(conn, []byte(place.head(http.MethodGet)+"\r\n")); err != nil {
		return err
	}
	ticker := time.NewTicker(100 * time.Millisecond)
	defer ticker.Stop()
	answer := bufio.NewReaderSize(conn, 16)
	for range 20 {
		if err := conn.SetReadDeadline(time.Now().Add(crowdBlocked)); err != nil {
			return err
		}
		if _, err := answer.ReadByte(); err != nil {
			return err
		}
		select {
		case <-done:
			return nil
		case <-ticker.C:
		}
	}
	return nil
}}

var oneRoute = map[string]crowdPlace{"route": crowdPlaces["route"]}

var largeAnswers = map[string]crowdPlace{"route": {path: largePath}}

// TestCrowdOfSlowReaders guards against large answers that are kept for callers who hardly read them.
func TestCrowdOfSlowReaders(t *testing.T) { testCrowds(t, largeAnswers, slowReaders) }

// TestCrowdsOfUnfinishedBodiesAndStalledHeads guards against a limit that one kind of crowd uses up for the other.
func TestCrowdsOfUnfinishedBodiesAndStalledHeads(t *testing.T) {
	testCrowds(t, oneRoute, unfinishedBodies, stalledHeads)
}

// TestCrowdsOfShortFieldsAndPipelinedRequests guards against memory of heads and of answers that is bounded only separately.
func TestCrowdsOfShortFieldsAndPipelinedRequests(t *testing.T) {
	testCrowds(t, oneRoute, shortFieldsOfLegalSize, pipelinedRequests)
}

// TestCrowdsOfUnfinishedBodiesAndSlowReaders guards against memory of requests and of answers that is bounded only separately.
func TestCrowdsOfUnfinishedBodiesAndSlowReaders(t *testing.T) {
	testCrowds(t, largeAnswers, unfinishedBodies, slowReaders)
}
