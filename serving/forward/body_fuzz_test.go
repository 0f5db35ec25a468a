package forward

import (
	"bufio"
	"bytes"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/arbutuswinch/winch/internal/memory"
)

// FuzzBodyReader guards against bodies and trailers that hold more than was granted. The input follows the head of a request with
// chunks, so that it reaches the reader of net/http as it is.
func FuzzBodyReader(f *testing.F) {
	f.Add([]byte("5\r\nhello\r\n0\r\n\r\n"), int64(1<<20))
	f.Add([]byte("1\r\nx\r\n0\r\na:\r\nb:\r\n\r\n"), int64(100))
	f.Add([]byte("ffffff\r\n"), int64(1<<20))
	f.Add(bytes.Repeat([]byte("1\r\nx\r\n"), 100), int64(64<<10))
	f.Fuzz(func(t *testing.T, input []byte, size int64) {
		budget := memory.NewBudget(max(0, size%(1<<20)))
		head := []byte("POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n")
		request, err := http.ReadRequest(bufio.NewReader(bytes.NewReader(append(head, input...))))
		if err != nil {
			t.Fatal(err)
		}
		s := &Server{options: Options{Memory: budget}}
		claim := budget.Open(memory.Holder{})
		body, fault := s.readBodyUntil(t.Context(), httptest.NewRecorder(), request, claim, bodyLimits{size: 32 << 10, time: 50 * time.Millisecond})
		held := claim.Held()
		if fault == nil && int64(cap(body))+int64(len(request.Trailer))*trailerFieldSize > held {
			t.Fatalf("%d bytes and %d fields, %d granted", cap(body), len(request.Trailer), held)
		}
		if used := budget.Usage().Used; used != held || used > budget.Usage().Size {
			t.Fatalf("%d used, %d held", used, held)
		}
		claim.Close()
		if used := budget.Usage().Used; used != 0 {
			t.Fatalf("%d not given back", used)
		}
	})
}
