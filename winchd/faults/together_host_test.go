package faults

import (
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"time"
)

// longestCall is far above every limit of the hosts, so that a call that takes longer is lost.
const longestCall = 60 * time.Second

// lives follows for each host whether callers may be sent to it, and how often it was replaced.
type lives struct {
	mu    sync.Mutex
	hosts map[string]*life
}

type life struct {
	// sending is held for reading while a call is being written to the host.
	sending sync.RWMutex
	// state is guarded by the mutex of lives.
	state lifeState
}

// lifeState counts the processes that stood for a host, and those that were killed.
type lifeState struct {
	up        bool
	processes int
	killed    int
}

func newLives(hosts []*host) *lives {
	l := &lives{hosts: map[string]*life{}}
	for _, h := range hosts {
		l.hosts[h.id] = &life{state: lifeState{up: true}}
	}
	return l
}

// down takes the host away from the callers, after what they are writing to it.
func (l *lives) down(h *host, killed bool) {
	own := l.hosts[h.id]
	own.sending.Lock()
	defer own.sending.Unlock()
	l.mu.Lock()
	defer l.mu.Unlock()
	own.state.up = false
	if killed {
		own.state.killed++
	}
}

func (l *lives) back(h *host) {
	l.mu.Lock()
	defer l.mu.Unlock()
	own := l.hosts[h.id]
	own.state.up = true
	own.state.processes++
}

func (l *lives) look(h *host) lifeState {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.hosts[h.id].state
}

// call is a call to a host that takes callers, from its start to its end.
type call struct {
	host   *host
	killed int
	begun  time.Time
	client *http.Client
	sent   func()
}

// begin starts a call, unless the host takes none. The call must be sent by its client.
func (l *lives) begin(h *host) (*call, bool) {
	own := l.hosts[h.id]
	own.sending.RLock()
	state := l.look(h)
	if !state.up {
		own.sending.RUnlock()
		return nil, false
	}
	c := &call{host: h, killed: state.killed, begun: time.Now(), sent: sync.OnceFunc(own.sending.RUnlock)}
	c.client = &http.Client{Timeout: longestCall, Transport: &tracing{
		transport: &http.Transport{DisableKeepAlives: true}, sent: c.sent,
	}}
	return c, true
}

// end tells whether the host was killed during the call.
func (l *lives) end(c *call) (killed bool) {
	c.sent()
	return l.look(c.host).killed > c.killed
}

// tracing tells when a request was written.
type tracing struct {
	transport http.RoundTripper
	sent      func()
}

func (t *tracing) RoundTrip(request *http.Request) (*http.Response, error) {
	trace := &httptrace.ClientTrace{WroteRequest: func(httptrace.WroteRequestInfo) { t.sent() }}
	return t.transport.RoundTrip(request.WithContext(httptrace.WithClientTrace(request.Context(), trace)))
}

// answers tells whether the host takes connections of callers.
func (h *host) answers() bool {
	conn, err := net.DialTimeout("tcp", h.caller, time.Second)
	if err != nil {
		return false
	}
	_ = conn.Close()
	return true
}
