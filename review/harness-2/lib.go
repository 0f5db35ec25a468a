package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

func check(err error) {
	if err != nil {
		fmt.Fprintln(os.Stderr, "could not run:", err)
		cleanUp()
		os.Exit(2)
	}
}

var (
	started   []*host
	temporary string
	record    *os.File
	recordMu  sync.Mutex
	began     = time.Now()
)

// note writes a line to the record.
func note(format string, arguments ...any) {
	recordMu.Lock()
	defer recordMu.Unlock()
	line := fmt.Sprintf("%8.3f  ", time.Since(began).Seconds()) + fmt.Sprintf(format, arguments...) + "\n"
	if record != nil {
		_, _ = record.WriteString(line)
	}
	if os.Getenv("VERBOSE") != "" {
		fmt.Print(line)
	}
}

func cleanUp() {
	for _, h := range started {
		h.kill()
	}
	if temporary != "" && os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(temporary)
	}
}

// host is a process of the system.
type host struct {
	name, ip, zone string
	ports          [4]int // front, ready, peer, metrics
	settings       string
	cmd            *exec.Cmd
	logFile        string
	ended          chan struct{}
}

func (h *host) front() string { return fmt.Sprintf("%s:%d", h.ip, h.ports[0]) }
func (h *host) ready() string { return fmt.Sprintf("%s:%d", h.ip, h.ports[1]) }

// freePorts returns ports that are free on the address.
func freePorts(ip string, count int) []int {
	ports := []int{}
	for range count {
		l, err := net.Listen("tcp", ip+":0")
		check(err)
		ports = append(ports, l.Addr().(*net.TCPAddr).Port)
		defer l.Close()
	}
	return ports
}

// newHost writes the settings of a host, as the template of the deploy file gives them.
func newHost(name, ip, zone, storeAddress, cloudAddress string, memoryMB int) *host {
	h := &host{name: name, ip: ip, zone: zone}
	copy(h.ports[:], freePorts(ip, 4))
	settings := map[string]any{
		"Host": name, "DataCentre": zone, "DataCentres": []string{"a", "b", "c"},
		"Caller": map[string]any{"Address": h.front(), "ReadyAddress": h.ready(), "MetricsAddress": fmt.Sprintf("%s:%d", ip, h.ports[3])},
		"Peer":   map[string]any{"Address": fmt.Sprintf("%s:%d", ip, h.ports[2])},
		"Store":  map[string]any{"Address": storeAddress},
		"Duties": map[string]any{"Address": cloudAddress, "Kinds": []string{page("{usage}"), page("{scale}")}},
		"Bounds": map[string]any{
			"Apply": "2000ms", "Revoke": "5000ms", "Evacuate": "0ms", "Grace": "8s", "Lease": "3000ms", "RetryShare": 0.2, "RetryMinimum": 56,
			"RetryWindow": "10s", "UsageWindow": "5s", "UsageLate": "10s",
		},
		"Limits": map[string]any{"Memory": memoryMB * 1000000, "Processors": 0.4},
	}
	encoded, err := json.MarshalIndent(settings, "", "  ")
	check(err)
	h.settings = filepath.Join(temporary, name+".json")
	check(os.WriteFile(h.settings, encoded, 0o600))
	h.logFile = filepath.Join(temporary, name+".log")
	started = append(started, h)
	return h
}

// start starts the process with the command of the deploy file.
func (h *host) start() {
	root := os.Getenv("ROOT")
	h.cmd = exec.Command(filepath.Join(root, "target/winchd"), "forward")
	h.cmd.Dir = root
	h.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "ARBUTUSWINCH_SETTINGS=" + h.settings}
	log, err := os.OpenFile(h.logFile, os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	check(err)
	h.cmd.Stdout, h.cmd.Stderr = log, log
	check(h.cmd.Start())
	note("%s started as process %d", h.name, h.cmd.Process.Pid)
	h.ended = make(chan struct{})
	go func(cmd *exec.Cmd, ended chan struct{}) {
		err := cmd.Wait()
		_ = log.Close()
		note("%s ended: %v", h.name, err)
		close(ended)
	}(h.cmd, h.ended)
}

func (h *host) kill() {
	if h.cmd != nil && h.cmd.Process != nil {
		_ = h.cmd.Process.Signal(syscall.SIGCONT)
		_ = h.cmd.Process.Kill()
		<-h.ended
	}
}

func (h *host) signal(s syscall.Signal) { check(h.cmd.Process.Signal(s)) }

// awaitReady waits until the host says that it is ready.
func (h *host) awaitReady() {
	for deadline := time.Now().Add(20 * time.Second); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		response, err := http.Get("http://" + h.ready() + "/readyz")
		if err == nil {
			_ = response.Body.Close()
			if response.StatusCode == 200 {
				return
			}
		}
	}
	check(fmt.Errorf("%s is not ready", h.name))
}

// logs returns the lines of the host's log that contain the text.
func (h *host) logs(text string) []string {
	content, _ := os.ReadFile(h.logFile)
	found := []string{}
	for _, line := range bytes.Split(content, []byte("\n")) {
		if bytes.Contains(line, []byte(text)) {
			found = append(found, string(line))
		}
	}
	return found
}

// cloud is a stand-in of the platform's API.
type cloud struct {
	address string
	mu      sync.Mutex
	calls   []string
}

func newCloud() *cloud {
	c := &cloud{}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	check(err)
	c.address = l.Addr().String()
	go func() {
		_ = http.Serve(l, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			body := bytes.Buffer{}
			_, _ = body.ReadFrom(r.Body)
			note("cloud: %s %s holder %s token %s", r.URL.Path, body.String(), r.Header.Get(page("{holder}")), r.Header.Get(page("{token}")))
			w.WriteHeader(200)
		}))
	}()
	return c
}

// prepare opens the record and makes the temporary folder.
func prepare(folder string) {
	var err error
	temporary, err = os.MkdirTemp("", "review-")
	check(err)
	record, err = os.Create(filepath.Join(folder, "record.txt"))
	check(err)
	began = time.Now()
}

// residentMemory returns the memory of the process as the system tells it.
func (h *host) residentMemory() string {
	content, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", h.cmd.Process.Pid))
	for _, line := range strings.Split(string(content), "\n") {
		if strings.HasPrefix(line, "VmRSS") {
			return strings.Join(strings.Fields(line), " ")
		}
	}
	return "not known"
}
