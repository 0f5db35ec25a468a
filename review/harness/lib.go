package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

var (
	// scratch is the temporary folder.
	scratch  string
	started  = time.Now()
	recordMu sync.Mutex
	record   io.Writer = os.Stdout
)

// note writes a line with the time to the record.
func note(format string, args ...any) {
	recordMu.Lock()
	defer recordMu.Unlock()
	fmt.Fprintf(record, "%8.3f  %s\n", time.Since(started).Seconds(), fmt.Sprintf(format, args...))
}

// cannotRun ends the script with the status of a case that could not run.
func cannotRun(format string, args ...any) {
	note("cannot run: "+format, args...)
	stopAll()
	if scratch != "" {
		os.RemoveAll(scratch)
	}
	os.Exit(2)
}

var (
	childrenMu sync.Mutex
	children   []*exec.Cmd
)

func keep(c *exec.Cmd) {
	childrenMu.Lock()
	defer childrenMu.Unlock()
	children = append(children, c)
}

// stopAll kills all processes that were started.
func stopAll() {
	childrenMu.Lock()
	defer childrenMu.Unlock()
	for _, c := range children {
		if c.Process != nil {
			_ = c.Process.Signal(syscall.SIGCONT)
			_ = c.Process.Kill()
		}
	}
}

// freePort returns a free port of the address.
func freePort(ip string) string {
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		cannotRun("%v", err)
	}
	defer l.Close()
	return l.Addr().String()
}

func serveHTTP(h http.Handler) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		cannotRun("%v", err)
	}
	go func() { _ = http.Serve(l, h) }()
	return l.Addr().String()
}

// Host is a process of the system.
type Host struct {
	Name, Front, Ready, Peer, Path, Log string
	Settings                            map[string]any
	cmd                                 *exec.Cmd
	exited                              chan struct{}
	exitedAt                            time.Time
}

// newHost writes the settings of a host, as deploy/winchd.json renders them.
func newHost(dir, name, store, duties string, memoryMB int) *Host {
	h := &Host{Name: name, Front: freePort("127.0.0.1"), Ready: freePort("127.0.0.1"), Peer: freePort("127.0.0.1"), Path: filepath.Join(dir, name+".json"), Log: filepath.Join(dir, name+".log")}
	d := map[string]any{"Address": "", "Kinds": []string{}}
	if duties != "" {
		d = map[string]any{"Address": duties, "Kinds": []string{page("{usage}"), page("{scale}")}}
	}
	h.Settings = map[string]any{
		"Host": name, "DataCentre": "zone-a", "DataCentres": []string{"zone-a"},
		"Caller": map[string]any{"Address": h.Front, "ReadyAddress": h.Ready, "MetricsAddress": freePort("127.0.0.1")},
		"Peer":   map[string]any{"Address": h.Peer},
		"Store":  map[string]any{"Address": store},
		"Duties": d,
		"Bounds": map[string]any{"Apply": "2000ms", "Revoke": "5000ms", "Grace": "8s", "Lease": "3000ms", "RetryShare": 0.2, "RetryMinimum": 52, "RetryWindow": "10s", "UsageWindow": "5s", "UsageLate": "10s"},
		"Limits": map[string]any{"Memory": memoryMB * 1000000, "Processors": 0.4},
	}
	h.write()
	return h
}

func (h *Host) write() {
	encoded, _ := json.Marshal(h.Settings)
	if err := os.WriteFile(h.Path, encoded, 0o600); err != nil {
		cannotRun("%v", err)
	}
}

func root() string { return os.Getenv("REPO") }

// start runs the command of the deploy file.
func (h *Host) start() {
	h.cmd = exec.Command("target/winchd", "forward")
	h.cmd.Dir = root()
	h.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "ARBUTUSWINCH_SETTINGS=" + h.Path}
	log, err := os.OpenFile(h.Log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		cannotRun("%v", err)
	}
	h.cmd.Stdout, h.cmd.Stderr = log, log
	if err := h.cmd.Start(); err != nil {
		cannotRun("%v", err)
	}
	keep(h.cmd)
	h.exited = make(chan struct{})
	cmd, exited := h.cmd, h.exited
	note("host %s starts, process %d", h.Name, cmd.Process.Pid)
	go func() {
		err := cmd.Wait()
		h.exitedAt = time.Now()
		note("host %s ended: %v", h.Name, err)
		close(exited)
	}()
}

func (h *Host) signal(s syscall.Signal) {
	note("%s to host %s", s, h.Name)
	_ = h.cmd.Process.Signal(s)
}

func (h *Host) isReady() bool {
	c := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	r, err := c.Get("http://" + h.Ready + "/readyz")
	if err != nil {
		return false
	}
	r.Body.Close()
	return r.StatusCode == 200
}

func (h *Host) waitReady(limit time.Duration) {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if h.isReady() {
			note("host %s is ready", h.Name)
			return
		}
	}
	cannotRun("host %s is not ready", h.Name)
}

// rssMB returns the resident memory of the process.
func (h *Host) rssMB() float64 {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", h.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	for _, line := range strings.Split(string(data), "\n") {
		if f := strings.Fields(line); len(f) > 1 && f[0] == "VmRSS:" {
			n, _ := strconv.Atoi(f[1])
			return float64(n) * 1024 / 1e6
		}
	}
	return 0
}

// Call is what a runner got.
type Call struct {
	Conn   net.Conn
	Reader *bufio.Reader
	Req    *http.Request
	Body   []byte
	ID     string
}

// Runner is a stand-in of a runner.
type Runner struct {
	ID, Service, Addr string
	Handle            func(r *Runner, c *Call) bool // returns whether the connection is kept
	ReadBody          bool
	runs              sync.Map
	listener          net.Listener
	seq               atomic.Int64
}

func newRunner(id, service string, handle func(r *Runner, c *Call) bool) *Runner {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		cannotRun("%v", err)
	}
	r := &Runner{ID: id, Service: service, Addr: l.Addr().String(), Handle: handle, ReadBody: true, listener: l}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go r.serve(c)
		}
	}()
	return r
}

func (r *Runner) serve(c net.Conn) {
	defer c.Close()
	reader := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		call := &Call{Conn: c, Reader: reader, Req: req, ID: req.Header.Get(page("{id}"))}
		if req.URL.Path == "/report" {
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: 2\r\n\r\n{}")
			continue
		}
		if r.ReadBody {
			call.Body, err = io.ReadAll(req.Body)
			if err != nil {
				note("runner %s: body of %s broke off after %d bytes: %v", r.ID, call.ID, len(call.Body), err)
				return
			}
		}
		if e := req.Header.Get(page("{expect}")); e != "" && e != r.ID {
			fmt.Fprintf(c, page("HTTP/1.1 421 Misdirected Request\r\n{id}: %s\r\n{runner}: %s\r\nContent-Length: 0\r\n\r\n"), call.ID, r.ID)
			continue
		}
		if !r.Handle(r, call) {
			return
		}
	}
}

// beat is the runner's entry in the store.
func (r *Runner) beat(store *Store, state string, slots int, engine bool) {
	entry := map[string]any{"service": r.Service, "address": r.Addr, "zone": "zone-a", "version": "v1", "slots": slots, "state": state, "cold_remaining_ms": 0, "seq": r.seq.Add(1)}
	if engine {
		entry["stage"], entry["models"] = "both", []any{map[string]any{"name": "m", "version": 1, "adapters": []any{}}}
	}
	encoded, _ := json.Marshal(entry)
	store.Set(page("{servers}")+r.ID, encoded)
}

// Route is a route of the configuration.
type Route struct {
	Name, Type, Service string
	TimeoutMS, TargetMS int
	Attempts            int
	Exempt, Resume      bool
}

func configuration(version int, routes []Route, keys map[string][]string) []byte {
	list, services, seen := []any{}, []any{}, map[string]bool{}
	for _, r := range routes {
		list = append(list, map[string]any{"name": r.Name, "host": "a.example", "prefix": "/" + r.Name + "/", "type": r.Type, "timeout_ms": r.TimeoutMS, "target_latency_ms": r.TargetMS, "priority": 1, "service": r.Service, "max_attempts": r.Attempts, page("{exempt}"): r.Exempt, page("{sticky}"): r.Type == "streaming", page("{resume}"): r.Resume, "gap_target_ms": 1000})
		if !seen[r.Service] {
			seen[r.Service] = true
			services = append(services, map[string]any{"name": r.Service, "health_path": "/healthz", "max_connections": 360, "protocol": "h1", "tls": false})
		}
	}
	tenants := []any{}
	for name, k := range keys {
		tenants = append(tenants, map[string]any{"name": name, page("{keys}"): k, "priority": 1})
	}
	encoded, _ := json.Marshal(map[string]any{"version": version, "routes": list, "services": services, "limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000}, "tenants": tenants})
	return encoded
}
