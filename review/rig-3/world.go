package main

import (
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

// World is one play of a case.
type World struct {
	root, dir string
	trouble   bool
	store     *Store
	hosts     []*Host

	mu     sync.Mutex
	began  time.Time
	record *os.File
	ended  bool
}

func newWorld(folder, root string) *World {
	record, err := os.Create(filepath.Join(folder, "record.txt"))
	check(err)
	dir, err := os.MkdirTemp("", "rig")
	check(err)
	return &World{root: root, dir: dir, trouble: os.Getenv("TROUBLE") != "0", store: NewStore(), began: time.Now(), record: record}
}

// note writes a line to the record.
func (w *World) note(format string, values ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	line := fmt.Sprintf("%7.3f ", time.Since(w.began).Seconds()) + fmt.Sprintf(format, values...)
	fmt.Println(line)
	if !w.ended {
		fmt.Fprintln(w.record, line)
	}
}

// close ends all processes that were started.
func (w *World) close() {
	for _, h := range w.hosts {
		h.kill()
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.ended {
		w.ended = true
		w.record.Close()
		os.RemoveAll(w.dir)
	}
}

// route returns a route of the configuration to the service.
func route(name, kind, service, more string) string {
	return fmt.Sprintf(page(`{"name":"r-%s","host":"a.example","prefix":"/%s/","type":"%s","priority":1,"service":"%s","{exempt}":false%s}`),
		name, name, kind, service, page(more))
}

// configure writes a version of the configuration. The limits are those that the pages show.
func (w *World) configure(version int, services []string, routes ...string) {
	list := []string{}
	for _, s := range services {
		list = append(list, fmt.Sprintf(`{"name":"%s","max_connections":96}`, s))
	}
	w.store.Set(page("{config}"), fmt.Appendf(nil, page(`{"version":%d,"routes":[%s],"services":[%s],`+
		`"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},`+
		`"tenants":[{"name":"t1","{keys}":["k1"],"priority":1}]}`), version, strings.Join(routes, ","), strings.Join(list, ",")))
}

// register writes the entry of a runner, as the runner does.
func (w *World) register(id, service, address string, slots int, engine bool) {
	entry := map[string]any{
		"service": service, "address": address, "zone": "za", "version": "v1", "slots": slots, "state": "ready", "cold_remaining_ms": 0, "seq": 1,
	}
	if engine {
		entry["stage"] = "both"
		entry["models"] = []any{map[string]any{"name": "m", "version": 1, "adapters": []string{}}}
	}
	encoded, _ := json.Marshal(entry)
	w.store.Set(page("{servers}")+id, encoded)
}

// Host is a process of the system.
type Host struct {
	name, front, ready string
	command            *exec.Cmd
	ended              chan struct{}
}

// freeAddress returns an address of the IP address whose port is free.
func freeAddress(ip string) string {
	l, err := net.Listen("tcp", ip+":0")
	check(err)
	defer l.Close()
	return l.Addr().String()
}

// startHosts starts hosts and waits until all are ready. The settings are deploy/winchd.json as it is filled in for the site pbk-router.
func (w *World) startHosts(count int) {
	zones := []string{"za", "zb", "zc"}
	encodedZones, _ := json.Marshal(zones)
	for i := range count {
		ip := fmt.Sprintf("127.0.%d.1", 40+i)
		h := &Host{name: fmt.Sprintf("front-%s-%d", zones[i%3], i+1), front: freeAddress(ip), ready: freeAddress(ip), ended: make(chan struct{})}
		settings := fmt.Sprintf(page(`{"Host":%q,"DataCentre":%q,"DataCentres":%s,"Caller":{"Address":%q,"ReadyAddress":%q,"MetricsAddress":%q},`+
			`"Peer":{"Address":%q},"Store":{"Address":%q},"Duties":{"Address":%q,"Kinds":["{usage}","{scale}"]},`+
			`"Bounds":{"Apply":"2000ms","Revoke":"5000ms","Evacuate":"0ms","Grace":"8s","Lease":"3000ms","RetryShare":0.2,"RetryMinimum":52,`+
			`"RetryWindow":"10s","UsageWindow":"5s","UsageLate":"10s"},"Limits":{"Memory":134000000,"Processors":0.4}}`),
			h.name, zones[i%3], encodedZones, h.front, h.ready, freeAddress(ip), freeAddress(ip), w.store.Serve(ip), serveCloud(ip))
		file := filepath.Join(w.dir, h.name+".json")
		check(os.WriteFile(file, []byte(settings), 0o600))
		log, err := os.Create(filepath.Join(w.dir, h.name+".log"))
		check(err)
		h.command = exec.Command(filepath.Join(w.root, "target/winchd"), "forward")
		h.command.Dir = w.root
		h.command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + w.dir, "ARBUTUSWINCH_SETTINGS=" + file}
		h.command.Stdout, h.command.Stderr = log, log
		check(h.command.Start())
		w.hosts = append(w.hosts, h)
		go func() {
			_ = h.command.Wait()
			close(h.ended)
		}()
	}
	for _, h := range w.hosts {
		w.await(h)
	}
	// A host counts as in touch once it has run for stable_ms.
	time.Sleep(3500 * time.Millisecond)
}

func (w *World) await(h *Host) {
	client := http.Client{Timeout: time.Second}
	for range 100 {
		response, err := client.Get("http://" + h.ready + "/readyz")
		if err == nil {
			response.Body.Close()
			if response.StatusCode == http.StatusOK {
				return
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
	panic(h.name + " does not become ready")
}

func (h *Host) kill() {
	if h.command.Process != nil {
		_ = h.command.Process.Signal(syscall.SIGCONT)
		_ = h.command.Process.Kill()
		<-h.ended
	}
}
