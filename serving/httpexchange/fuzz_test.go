package httpexchange

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net/http"
	"runtime"
	"strings"
	"testing"
	"testing/iotest"

	"gotest.tools/v3/assert"
)

const (
	// maxHeadKept is the most memory in bytes that the head of a response, or the error about it, may keep.
	maxHeadKept = 8 * maxHeadBytes
	// maxHeadCost is the most memory in bytes that may be allocated together while a head is read, most of it for short: errors of
	// net/http quote a malformed head, four bytes for one, and each error that wraps another copies its text.
	maxHeadCost = 64 * maxHeadBytes
	// maxBodyCost is the most memory in bytes that reading a body may take beside the buffer of its reader. It grows with the read
	// buffer, within which the trailer has to fit, and not with the body.
	maxBodyCost = 64 * readBufferSize
)

// allocated returns the bytes that the call allocates, which it cannot hold more than.
func allocated(call func()) uint64 {
	before, after := runtime.MemStats{}, runtime.MemStats{}
	runtime.ReadMemStats(&before)
	call()
	runtime.ReadMemStats(&after)
	return after.TotalAlloc - before.TotalAlloc
}

// kept returns the number of heap bytes that are in use after the call, including its result.
func kept(call func() any) int64 {
	before, after := runtime.MemStats{}, runtime.MemStats{}
	runtime.GC()
	runtime.ReadMemStats(&before)
	result := call()
	runtime.GC()
	runtime.ReadMemStats(&after)
	runtime.KeepAlive(result)
	return int64(after.HeapAlloc) - int64(before.HeapAlloc)
}

// newReadingConn returns a connection on which the bytes arrive, one at a time if slow is set.
func newReadingConn(received []byte, slow bool) *conn {
	var source io.Reader = bytes.NewReader(received)
	if slow {
		source = iotest.OneByteReader(source)
	}
	limit := &headLimit{source: source}
	return &conn{reader: bufio.NewReaderSize(limit, readBufferSize), headLimit: limit}
}

// differentLines returns so many short header lines with different names.
func differentLines(count int) string {
	lines := strings.Builder{}
	for number := range count {
		fmt.Fprintf(&lines, "a%x:\n", number)
	}
	return lines.String()
}

// costlyHeads are heads that take much memory for their size, of about the given size or without end.
func costlyHeads(size int) map[string]string {
	const ok = "HTTP/1.1 200 OK\r\n"
	letters, unprintable := strings.Repeat("x", size), strings.Repeat("\x80", size)
	return map[string]string{
		"plain":                          ok + "X-Id: 1\r\nContent-Length: 2\r\n\r\nok",
		"one long line":                  ok + "A: " + letters + "\r\n\r\n",
		"one long name":                  ok + letters + ": a\r\n\r\n",
		"long status line":               "HTTP/1.1 200 " + letters + "\r\n\r\n",
		"short lines":                    ok + differentLines(size/len("a1234:\n")) + "\r\n",
		"short lines with the same name": ok + strings.Repeat("a:\n", size/len("a:\n")) + "\r\n",
		"folded lines":                   ok + "A: b\n" + strings.Repeat(" c\n", size/len(" c\n")) + "\r\n",
		"informational responses":        strings.Repeat("HTTP/1.1 100 \n\n", size/len("HTTP/1.1 100 \n\n")),
		"malformed line":                 ok + unprintable + ": b\r\n\r\n",
		"malformed length":               ok + "Content-Length: " + unprintable + "\r\n\r\n",
		"malformed status":               strings.Repeat("\x01", size),
	}
}

// readHead reads the head of a response, and what it costs.
func readHead(received []byte, slow bool) (response *http.Response, cost uint64, err error) {
	c := newReadingConn(received, slow)
	cost = allocated(func() { response, err = c.readResponseHead(http.MethodGet) })
	return response, cost, err
}

func FuzzResponseHeadTakesNoMoreThanItsBound(f *testing.F) {
	// Heads within one read, just within the limit of bytes, and beyond.
	for _, size := range []int{readBufferSize - 64, maxHeadBytes - 64, maxHeadBytes + 64} {
		for _, head := range costlyHeads(size) {
			f.Add([]byte(head), false)
			f.Add([]byte(head), true)
		}
	}
	f.Fuzz(func(t *testing.T, received []byte, slow bool) {
		response, cost, err := readHead(received, slow)
		assert.Assert(t, cost <= maxHeadCost, "took %d bytes for a head of %d", cost, len(received))
		if cost > maxHeadKept {
			left := kept(func() any {
				again, _, err := readHead(received, slow)
				return []any{again, err}
			})
			assert.Assert(t, left <= maxHeadKept, "kept %d bytes of a head of %d", left, len(received))
		}
		if err != nil {
			assert.Assert(t, len(err.Error()) <= 2*maxErrorText, "an error of %d bytes", len(err.Error()))
			return
		}
		assert.Assert(t, response.StatusCode >= http.StatusOK)
		lines := 0
		for _, values := range response.Header {
			lines += len(values)
		}
		// The read that reaches the limit may bring a full buffer, which is not refused since the body may begin in it.
		assert.Assert(t, lines <= maxHeadLines+readBufferSize/len("a:\n"), "%d header lines", lines)
	})
}

// TestResponseHeadWithoutItsLimitTakesMore shows that the cost of a head is seen.
func TestResponseHeadWithoutItsLimitTakesMore(t *testing.T) {
	for _, name := range []string{"short lines", "informational responses"} {
		t.Run(name, func(t *testing.T) {
			reader := bufio.NewReaderSize(strings.NewReader(costlyHeads(32 * maxHeadBytes)[name]), readBufferSize)
			cost := allocated(func() {
				for {
					response, err := http.ReadResponse(reader, nil)
					if err != nil || response.StatusCode >= http.StatusOK {
						return
					}
				}
			})
			assert.Assert(t, cost > maxHeadCost, "took %d bytes", cost)
		})
	}
}

// costlyChunks are bodies in chunks that take much memory for their size, and bodies without end.
func costlyChunks() map[string]string {
	const end = "0\r\n\r\n"
	return map[string]string{
		"plain":                   "2\r\nok\r\n" + end,
		"chunks of one byte":      strings.Repeat("1\r\nx\r\n", 100_000) + end,
		"long chunk":              "100000\r\n" + strings.Repeat("x", 1<<20) + "\r\n" + end,
		"chunk without end":       "7fffffffffffffff\r\n" + strings.Repeat("x", 1<<20),
		"size that overflows":     "fffffffffffffffff\r\nx",
		"extension without end":   "1;" + strings.Repeat("x", 1<<20),
		"extensions":              strings.Repeat("1;"+strings.Repeat("x", 4_000)+"\r\nx\r\n", 100) + end,
		"zeros before the size":   strings.Repeat("0", 1<<20) + "1\r\nx\r\n" + end,
		"trailer without end":     "0\r\n" + differentLines(100_000),
		"trailer that just fits":  "0\r\n" + differentLines(680) + "\r\n",
		"trailer as one line":     "0\r\nA: " + strings.Repeat("x", 1<<20) + "\r\n\r\n",
		"trailer in CR LF lines":  "0\r\n" + strings.Repeat("a:\r\n", 1_000) + "\r\n",
		"trailer with same names": "0\r\n" + strings.Repeat("a:\n", 1_300) + "\r\n\r\n",
	}
}

const chunkedHead = "HTTP/1.1 200 OK\r\nX-Id: 1\r\nTransfer-Encoding: chunked\r\n\r\n"

// readChunks reads a response with the body as read does, and returns what the body costs.
func readChunks(t *testing.T, body []byte, slow bool, read func(response *http.Response) error) (cost uint64, err error) {
	t.Helper()
	c := newReadingConn(append([]byte(chunkedHead), body...), slow)
	response, err := c.readResponseHead(http.MethodGet)
	assert.NilError(t, err)
	cost = allocated(func() { err = read(response) })
	return cost, err
}

func FuzzChunksTakeNoMoreThanTheirBound(f *testing.F) {
	for _, body := range costlyChunks() {
		f.Add([]byte(body), false)
		f.Add([]byte(body), true)
	}
	buffer := make([]byte, readBufferSize)
	f.Fuzz(func(t *testing.T, body []byte, slow bool) {
		decoded := 0
		cost, err := readChunks(t, body, slow, func(response *http.Response) error {
			for {
				count, err := response.Body.Read(buffer)
				decoded += count
				if err != nil {
					return err
				}
			}
		})
		assert.Assert(t, cost <= maxBodyCost, "took %d bytes for a body of %d", cost, len(body))
		assert.Assert(t, decoded <= len(body))
		assert.Assert(t, err != nil)

		cost, _ = readChunks(t, body, slow, skipResponse)
		// io.Discard reads with a buffer of 8 KiB that is kept for others.
		assert.Assert(t, cost <= maxBodyCost, "took %d bytes to skip a body of %d", cost, len(body))
	})
}
