package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// runner is a stand-in of a runner.
type runner struct {
	id, service, zone, address string
	engine                     bool
	mu                         sync.Mutex
	ran                        []ranRequest
	// serve answers a request; it returns false to close the connection. If it is nil, the runner answers at once.
	serve    func(r *runner, conn net.Conn, request *http.Request, body []byte) bool
	listener net.Listener
	born     int64
	seq      int
	conns    map[net.Conn]bool
}

type ranRequest struct {
	id, method, target, tenant, body string
	at                               time.Time
	header                           http.Header
}

func newRunner(id, service, zone string) *runner {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	check(err)
	r := &runner{id: id, service: service, zone: zone, address: l.Addr().String(), listener: l, born: time.Now().UnixMilli(), conns: map[net.Conn]bool{}}
	go r.accept()
	return r
}

func (r *runner) accept() {
	for {
		conn, err := r.listener.Accept()
		if err != nil {
			return
		}
		r.mu.Lock()
		r.conns[conn] = true
		r.mu.Unlock()
		go r.handle(conn)
	}
}

func (r *runner) handle(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(request.Body)
		if err != nil {
			return
		}
		if request.URL.Path == "/report" {
			text := fmt.Sprintf(`{"stage":"both","models":[{"name":"m","version":1,"adapters":[]}],"busy":false,"seq":%d,"queued":0,"running":0,"kv_used":0,"kv_total":400000,"handles":0,"born":%d}`, r.seq, r.born)
			fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", len(text), text)
			continue
		}
		if expected := request.Header.Get(page("{expect}")); expected != "" && expected != r.id {
			fmt.Fprintf(conn, page("HTTP/1.1 421 Misdirected Request\r\n{runner}: %s\r\n{notrun}: 1\r\nContent-Length: 0\r\n\r\n"), r.id)
			continue
		}
		if request.URL.Path == "/healthz" {
			fmt.Fprintf(conn, page("HTTP/1.1 200 OK\r\n{runner}: %s\r\nContent-Length: 0\r\n\r\n"), r.id)
			continue
		}
		r.note(request, body)
		if r.serve != nil {
			if !r.serve(r, conn, request, body) {
				return
			}
			continue
		}
		r.answer(conn, request, "the whole answer of "+request.Header.Get(page("{id}")))
	}
}

func (r *runner) note(request *http.Request, body []byte) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ran = append(r.ran, ranRequest{
		id: request.Header.Get(page("{id}")), method: request.Method, target: request.RequestURI, tenant: request.Header.Get("Tenant"), body: string(body),
		at: time.Now(), header: request.Header,
	})
}

// answer sends a whole answer.
func (r *runner) answer(conn net.Conn, request *http.Request, body string) {
	fmt.Fprintf(conn, page("HTTP/1.1 200 OK\r\n{id}: %s\r\n{signature}: s.%s\r\n{load}: 1,0,8\r\nKeep-Alive: timeout=10\r\nContent-Type: text/plain\r\nContent-Length: %d\r\n\r\n%s"),
		request.Header.Get(page("{id}")), request.Header.Get(page("{id}")), len(body), body)
}

// times returns when the requests with the prefix of their ids ran.
func (r *runner) count(prefix string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	count := 0
	for _, each := range r.ran {
		if strings.HasPrefix(each.id, prefix) {
			count++
		}
	}
	return count
}

// entry returns what the runner writes to the store.
func (r *runner) entry(state string) []byte {
	r.seq++
	entry := map[string]any{
		"service": r.service, "address": r.address, "zone": r.zone, "version": "v1", "slots": 8, "state": state, "cold_remaining_ms": 0, "seq": r.seq, "born": r.born,
	}
	if r.engine {
		entry["stage"], entry["models"] = "both", []any{map[string]any{"name": "m", "version": 1, "adapters": []any{}}}
		entry["slots"] = 64
	}
	encoded, _ := json.Marshal(entry)
	return encoded
}

func (r *runner) register(s *store, state string) { s.set(page("{servers}")+r.id, r.entry(state)) }

// beat writes the entry at the interval of the heartbeat until stop is closed.
func (r *runner) beat(s *store, stop chan struct{}) {
	go func() {
		for {
			select {
			case <-stop:
				return
			case <-time.After(1200 * time.Millisecond):
				r.register(s, "ready")
			}
		}
	}()
}

// end ends the runner: it resets its connections and listens no more.
func (r *runner) end() {
	_ = r.listener.Close()
	r.mu.Lock()
	defer r.mu.Unlock()
	for conn := range r.conns {
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = conn.Close()
	}
}
