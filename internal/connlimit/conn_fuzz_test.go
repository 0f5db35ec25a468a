package connlimit

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/arbutuswinch/winch/internal/memory"
)

// inputConn is a connection whose client sends the input in pieces and reads nothing.
type inputConn struct {
	net.Conn
	input []byte
	piece int
}

func (c *inputConn) Read(p []byte) (int, error) {
	count := copy(p[:min(len(p), c.piece)], c.input)
	c.input = c.input[count:]
	if count == 0 {
		return 0, io.EOF
	}
	return count, nil
}

func (c *inputConn) Write(p []byte) (int, error)        { return len(p), nil }
func (c *inputConn) Close() error                       { return nil }
func (c *inputConn) RemoteAddr() net.Addr               { return &net.TCPAddr{} }
func (c *inputConn) SetWriteDeadline(_ time.Time) error { return nil }

// FuzzHeads guards against heads that cost more memory than was granted.
func FuzzHeads(f *testing.F) {
	f.Add([]byte("GET / HTTP/1.1\r\nHost: a\r\n\r\nGET / HTTP/1.1\r\nHost: a\r\n\r\n"), 7, int64(1<<20))
	f.Add([]byte(headWithFields(3000)), 4096, int64(200<<10))
	f.Fuzz(func(t *testing.T, input []byte, piece int, size int64) {
		budget := memory.NewBudget(ConnectionCost*2 + max(0, size%(1<<20)))
		limiter, err := New(Options{Budget: budget, Rank: memory.RankEssential, Logger: hclog.NewNullLogger()})
		if err != nil {
			t.Fatal(err)
		}
		limited := limiter.admit(&inputConn{input: input, piece: max(1, piece%readerSize)})
		if limited == nil {
			t.Fatal("connection refused")
		}
		c := limited.(*conn)
		reader := bufio.NewReaderSize(limited, readerSize)
		for {
			request, err := http.ReadRequest(reader)
			if err != nil {
				break
			}
			cost := int64(0)
			for name, values := range request.Header {
				for _, value := range values {
					cost += int64(len(name)+len(value)) + fieldCost
				}
			}
			if granted := c.headTaken + includedHead; cost > granted {
				t.Fatalf("a head of %d bytes, %d granted", cost, granted)
			}
			c.begin()
			c.finish()
		}
		_ = limited.Close()
		if used := budget.Usage().Used; used != 0 {
			t.Fatalf("%d not given back", used)
		}
	})
}
