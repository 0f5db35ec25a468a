package faults

import (
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"time"
)

// longestCall is far above all timeouts of the hosts, so that a call that takes longer was never answered. It
// fails, which is a violation unless the host was killed.
const longestCall = 60 * time.Second

// availability tracks for each host whether callers may call it, and how often it was restarted.
type availability struct {
	mu    sync.Mutex
	hosts map[string]*hostAvailability
}

type hostAvailability struct {
	// sending is read-locked while a request is being written to the host.
	sending sync.RWMutex
	// state is guarded by the mutex of availability.
	state hostState
}

// hostState says whether callers may call a host, and how often its process was restarted and killed.
type hostState struct {
	up       bool
	restarts int
	kills    int
}

func newAvailability(hosts []*host) *availability {
	a := &availability{hosts: map[string]*hostAvailability{}}
	for _, h := range hosts {
		a.hosts[h.id] = &hostAvailability{state: hostState{up: true}}
	}
	return a
}

// markDown waits until callers have written their current requests, and then excludes the host from new calls.
// It waits because a graceful shutdown must complete each request that was sent before the signal.
func (a *availability) markDown(h *host, killed bool) {
	target := a.hosts[h.id]
	target.sending.Lock()
	defer target.sending.Unlock()
	a.mu.Lock()
	defer a.mu.Unlock()
	target.state.up = false
	if killed {
		target.state.kills++
	}
}

func (a *availability) markUp(h *host) {
	a.mu.Lock()
	defer a.mu.Unlock()
	target := a.hosts[h.id]
	target.state.up = true
	target.state.restarts++
}

func (a *availability) state(h *host) hostState {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.hosts[h.id].state
}

// call is a call in progress.
type call struct {
	host *host
	// killsBefore is how often the host was killed before the call.
	killsBefore int
	begun       time.Time
	client      *http.Client
	// sent is called when the request was written, and may be called again.
	sent func()
}

// beginCall begins a call if the host is up. The request must be sent with the call's client.
func (a *availability) beginCall(h *host) (*call, bool) {
	target := a.hosts[h.id]
	target.sending.RLock()
	state := a.state(h)
	if !state.up {
		target.sending.RUnlock()
		return nil, false
	}
	c := &call{host: h, killsBefore: state.kills, begun: time.Now(), sent: sync.OnceFunc(target.sending.RUnlock)}
	c.client = &http.Client{Timeout: longestCall, Transport: &tracingTransport{
		transport: &http.Transport{DisableKeepAlives: true}, sent: c.sent,
	}}
	return c, true
}

// endCall reports whether the host was killed during the call.
func (a *availability) endCall(c *call) (killed bool) {
	c.sent()
	return a.state(c.host).kills > c.killsBefore
}

// tracingTransport calls sent when a request was written.
type tracingTransport struct {
	transport http.RoundTripper
	sent      func()
}

func (t *tracingTransport) RoundTrip(request *http.Request) (*http.Response, error) {
	trace := &httptrace.ClientTrace{WroteRequest: func(httptrace.WroteRequestInfo) { t.sent() }}
	return t.transport.RoundTrip(request.WithContext(httptrace.WithClientTrace(request.Context(), trace)))
}

// acceptsCallers reports whether the host accepts connections of callers.
func (h *host) acceptsCallers() bool {
	conn, err := net.DialTimeout("tcp", h.caller, time.Second)
	if err != nil {
		return false
	}
	_ = conn.Close()
	return true
}
