package fenced

import (
	"bufio"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os/exec"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/arbutuswinch/winch/httpjson"
	"github.com/arbutuswinch/winch/internal/linktest"
	"github.com/arbutuswinch/winch/keyvalue/memory"
)

const (
	faultSeed   = 7
	faultRounds = 10
)

// terms returns the number of terms in which orders were accepted.
func (r *receiver) terms() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	seen := map[int64]bool{}
	for _, received := range r.accepted {
		seen[received.Number] = true
	}
	return len(seen)
}

// TestHoldersNeverOverlap guards against orders of a former holder that are accepted after
// orders of its successor. Two processes contend for the lease and send orders
// continuously, while they are stopped at random times, disconnected from the key-value
// service and lose its responses. The link to the receiver is slow, and the receiver ignores
// fencing numbers.
func TestHoldersNeverOverlap(t *testing.T) {
	random := rand.New(rand.NewPCG(faultSeed, faultSeed))
	store := memory.New()
	target := &receiver{}
	receiverLink := linktest.New(t, serve(t, target))
	receiverLink.Slow(t, 20*time.Millisecond)
	storeAddress := storeServer(t, store)
	processes, links := []*exec.Cmd{}, []*linktest.Link{}
	for i := range 2 {
		links = append(links, linktest.New(t, storeAddress))
		settings := holderSettings{
			Name: fmt.Sprintf("host-%d", i), Store: links[i].Address(), Receiver: receiverLink.Address(), Orders: 1 << 20,
		}
		processes = append(processes, settings.start(t))
	}
	for range faultRounds {
		before, _ := target.counts()
		waitFor(t, "orders", func() bool { accepted, _ := target.counts(); return accepted > before })
		i := random.IntN(2)
		store.LoseResponses(random.IntN(3))
		if random.IntN(2) == 0 {
			links[i].Cut(t)
			waitForTakeover(t, target, random)
			links[i].Heal(t)
			continue
		}
		assert.NilError(t, processes[i].Process.Signal(syscall.SIGSTOP))
		waitForTakeover(t, target, random)
		assert.NilError(t, processes[i].Process.Signal(syscall.SIGCONT))
	}
	accepted, violations := target.counts()
	t.Logf("orders %d, terms %d, violations %d", accepted, target.terms(), violations)
	assert.Equal(t, violations, 0)
	assert.Assert(t, target.terms() > 1)
}

// waitForTakeover waits for 1 to 10 more orders, for which the other process may have to
// take over first.
func waitForTakeover(t *testing.T, target *receiver, random *rand.Rand) {
	t.Helper()
	before, _ := target.counts()
	more := 1 + random.IntN(10)
	waitFor(t, "more orders", func() bool { accepted, _ := target.counts(); return accepted >= before+more })
}

// blockedReceiver accepts a connection and reads nothing until read is closed. It has a
// small receive buffer, so that a large request remains in the sender's send queue.
type blockedReceiver struct {
	listener net.Listener
	read     chan struct{}
	received chan bool
}

func newBlockedReceiver(t *testing.T) *blockedReceiver {
	t.Helper()
	config := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) { _ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 4096) })
	}}
	listener, err := config.Listen(t.Context(), "tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	r := &blockedReceiver{listener: listener, read: make(chan struct{}), received: make(chan bool, 1)}
	go r.serve()
	return r
}

// serve reads one request after read is closed, and reports whether it was complete.
func (r *blockedReceiver) serve() {
	conn, err := r.listener.Accept()
	if err != nil {
		return
	}
	defer conn.Close()
	<-r.read
	_ = conn.SetDeadline(time.Now().Add(5 * time.Second))
	r.received <- readsWholeRequest(conn)
}

// TestUndeliveredBytesAreDropped guards against an order that the kernel delivers after the
// term. It stops a holder whose order is still in the kernel's send queue because the
// receiver does not read, and lets the receiver read after the successor's term began.
func TestUndeliveredBytesAreDropped(t *testing.T) {
	// In the names, drain is the wait for the acknowledgement, and abort is TCP_USER_TIMEOUT.
	cases := map[string]struct {
		settings holderSettings
		whole    bool
	}{
		"all guards":              {settings: holderSettings{Stop: stageHeadWritten}},
		"without drain":           {settings: holderSettings{Stop: stageTailWritten, NoAckWait: true}},
		"without drain and abort": {settings: holderSettings{Stop: stageTailWritten, NoAckWait: true, NoAckTimeout: true}, whole: true},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			blocked := newBlockedReceiver(t)
			settings := test.settings
			settings.Name, settings.Orders, settings.Padding = "frozen", 1, 200_000
			settings.Store, settings.Receiver = storeServer(t, memory.New()), blocked.listener.Addr().String()
			process := settings.start(t)
			waitFor(t, "the holder to stop", func() bool { return processState(process.Process.Pid) == "T" })
			successor := settings
			successor.Receiver = serve(t, &receiver{})
			takeOver(t, successor)
			close(blocked.read)
			assert.Equal(t, <-blocked.received, test.whole)
		})
	}
}

func readsWholeRequest(conn net.Conn) bool {
	request, err := readRequest(conn)
	if err != nil {
		return false
	}
	received := order{}
	return httpjson.Decode(nil, request, 8<<20, &received) == nil
}

func readRequest(conn net.Conn) (*http.Request, error) {
	return http.ReadRequest(bufio.NewReader(conn))
}
