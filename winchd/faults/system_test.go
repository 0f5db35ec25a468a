package faults

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"path/filepath"
	"sync"
	"testing"
	"time"

	toxiproxy "github.com/Shopify/toxiproxy/v2"
	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/arbutuswinch/winch/httpjson"
)

const (
	peerSecret     = "faults-peer-secret"
	operatorSecret = "faults-operator-secret"
	model          = "atlas-8b"

	freshnessLimit = 2 * time.Second
	isolationGrace = 6 * time.Second
	usageWindow    = 4 * time.Second
	waitLimit      = 30 * time.Second

	lowestPort = 20000
	portCount  = 12000
)

// jsonObject is settings or a message that a test writes.
type jsonObject map[string]any

// host is one daemon with its addresses.
type host struct {
	id       string
	centre   string
	caller   string
	peer     string
	operator string
	link     *link
	reserved []net.Listener
	config   string
	log      string
	process  *process
	api      *httpjson.Client
}

// system is a platform with three data centres of two hosts each.
type system struct {
	t         *testing.T
	directory string
	addresses map[string]string
	platform  *process
	control   *httpjson.Client
	hosts     []*host
	centres   []string
	// keyValue are the links to the key-value service, one for each data centre.
	keyValue map[string]*toxiproxy.Proxy
}

// startSystem starts everything, beside the systems of other tests; change may alter the settings of the hosts.
func startSystem(t *testing.T, change func(id string, settings jsonObject)) *system {
	t.Helper()
	t.Parallel()
	s := &system{t: t, directory: t.TempDir(), centres: []string{"a", "b", "c"}, keyValue: map[string]*toxiproxy.Proxy{}}
	s.startPlatform()
	for _, centre := range s.centres {
		s.keyValue[centre] = s.newProxy("keyvalue-"+centre, s.addresses["keyvalue"])
		s.addHost(centre+"-1", centre)
		s.addHost(centre+"-2", centre)
	}
	s.publishHosts()
	for _, h := range s.hosts {
		s.writeSettings(h, change)
		s.startHost(h)
	}
	for _, h := range s.hosts {
		s.waitFor("host "+h.id+" answers", func() bool {
			assert.Assert(t, h.process.running(), "host %s ended: %s", h.id, s.logOf(h))
			return s.get(h, "/operator/hosts", nil) == nil
		})
	}
	return s
}

// source is the IP number from which the hosts of a data centre call each other.
func source(centre string) string { return "127.0.1." + fmt.Sprint(centre[0]-'a'+1) }

func (s *system) startPlatform() {
	endpoints := []jsonObject{}
	services := []jsonObject{}
	for _, centre := range s.centres {
		endpoints = append(endpoints, jsonObject{
			"ID": "engine-" + centre, "DataCentre": centre, "Address": "127.0.0.1:0", "Supply": "Steady",
			"Models": []jsonObject{{"Model": model}}, "BatchLimit": 16,
		})
		services = append(services, jsonObject{"ID": "desk-" + centre, "DataCentre": centre, "Address": "127.0.0.1:0", "Supply": "Steady", "Time": "300ms", "Slots": 16})
	}
	centres := []jsonObject{{"ID": "a", "ChecksFencing": true}, {"ID": "b"}, {"ID": "c"}}
	path := s.write("standin.json", jsonObject{
		"Seed": 1, "KeyValue": address(), "Usage": address(), "Weights": address(), "Control": address(),
		"Hosts":   jsonObject{"Address": "127.0.0.1:0", "Lag": "200ms"},
		"Orders":  jsonObject{"Address": "127.0.0.1:0", "DataCentres": centres, "StartDelay": "300ms", "StopNotice": "2s", "Engine": jsonObject{"BatchLimit": 16}},
		"Engines": endpoints, "Services": services,
	})
	log := filepath.Join(s.directory, "standin")
	s.platform = startProcess(s.t, log, program(s.t, "standin"), "--settings", path)
	s.waitFor("addresses of the stand-ins", func() bool {
		content, err := os.ReadFile(log + ".out")
		return err == nil && bytes.Contains(content, []byte("\n")) && json.Unmarshal(content, &s.addresses) == nil
	})
	s.control = s.client(s.addresses["control"], "")
}

func address() jsonObject { return jsonObject{"Address": "127.0.0.1:0"} }

func (s *system) newProxy(name, upstream string) *toxiproxy.Proxy {
	server := toxiproxy.NewServer(toxiproxy.NewMetricsContainer(nil), zerolog.Nop())
	proxy := toxiproxy.NewProxy(server, name, "127.0.0.1:0", upstream)
	assert.NilError(s.t, proxy.Start())
	s.t.Cleanup(proxy.Stop)
	return proxy
}

func (s *system) addHost(id, centre string) {
	h := &host{id: id, centre: centre, config: id + ".json", log: filepath.Join(s.directory, id)}
	for _, address := range []*string{&h.caller, &h.peer, &h.operator} {
		listener := reservePort(s.t)
		h.reserved = append(h.reserved, listener)
		*address = listener.Addr().String()
	}
	h.link = newLink(s.t, h.peer)
	h.api = s.client(h.operator, operatorSecret)
	s.hosts = append(s.hosts, h)
}

// portsTaken are the ports that were reserved by any test of this process. One that a host
// is about to listen on is free for a moment, in which another test must not take it.
var portsTaken sync.Map

// reservePort listens on a free loopback port below those that the system gives to
// outgoing connections, until the host takes its place.
func reservePort(t *testing.T) net.Listener {
	t.Helper()
	for range 100 {
		port := lowestPort + rand.IntN(portCount)
		if _, taken := portsTaken.LoadOrStore(port, true); taken {
			continue
		}
		listener, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port))
		if err == nil {
			t.Cleanup(func() { _ = listener.Close() })
			return listener
		}
	}
	t.Fatal("no free port")
	return nil
}

func (s *system) publishHosts() {
	list := []jsonObject{}
	for _, h := range s.hosts {
		list = append(list, jsonObject{"ID": h.id, "DataCentre": h.centre, "PeerAddress": h.link.address(), "State": "live"})
	}
	err := s.control.Do(context.Background(), "PUT", "/control/hosts", jsonObject{"Hosts": list}, nil)
	assert.NilError(s.t, err)
}

func (s *system) writeSettings(h *host, change func(id string, settings jsonObject)) {
	settings := jsonObject{
		"Host": h.id, "DataCentre": h.centre, "DataCentres": s.centres,
		"Caller":   jsonObject{"Address": h.caller},
		"Peer":     jsonObject{"Address": h.peer, "Advertise": h.link.address(), "Source": source(h.centre), "Secret": peerSecret},
		"Operator": jsonObject{"Address": h.operator, "Secret": operatorSecret},
		"Platform": jsonObject{
			"KeyValue": s.keyValue[h.centre].Listen, "Orders": s.addresses["orders"], "Usage": s.addresses["usage"],
			"Hosts": s.addresses["hosts"], "Timeout": "1s",
		},
		"Endpoints":  jsonObject{"Credential": "faults-endpoint-credential"},
		"Release":    jsonObject{"FreshnessLimit": freshnessLimit.String(), "IsolationGrace": isolationGrace.String()},
		"Charge":     jsonObject{"TTL": "2s", "RenewEvery": "500ms", "InFlight": "500ms"},
		"Usage":      jsonObject{"Window": usageWindow.String(), "Grace": "2s", "Shards": 2},
		"Membership": jsonObject{"ExchangeEvery": "200ms", "DigestEvery": "300ms", "SuspectAfter": "1s"},
		"Shutdown":   jsonObject{"ReadinessDelay": "300ms", "DrainTimeout": "20s"},
	}
	if change != nil {
		change(h.id, settings)
	}
	s.write(h.config, settings)
}

func (s *system) startHost(h *host) {
	for _, listener := range h.reserved {
		_ = listener.Close()
	}
	h.process = startProcess(s.t, h.log, program(s.t, "winchd"), "run", "--settings", filepath.Join(s.directory, h.config))
}

// replaceHost kills the host and starts another one in its place, which knows nothing.
func (s *system) replaceHost(h *host) {
	h.process.kill()
	s.startHost(h)
}

func (s *system) write(name string, content jsonObject) string {
	encoded, err := json.Marshal(content)
	assert.NilError(s.t, err)
	path := filepath.Join(s.directory, name)
	assert.NilError(s.t, os.WriteFile(path, encoded, 0o600))
	return path
}

func (s *system) client(address, secret string) *httpjson.Client {
	client, err := httpjson.NewClient(httpjson.Options{Address: address, Secret: secret, Timeout: 15 * time.Second})
	assert.NilError(s.t, err)
	return client
}

func (s *system) get(h *host, path string, out any) error {
	return h.api.Fetch(context.Background(), path, out)
}

func (s *system) waitFor(what string, condition func() bool) {
	s.t.Helper()
	poll.WaitOn(s.t, func(poll.LogT) poll.Result {
		if condition() {
			return poll.Success()
		}
		return poll.Continue("%s", what)
	}, poll.WithTimeout(waitLimit), poll.WithDelay(20*time.Millisecond))
}

func (s *system) host(id string) *host {
	for _, h := range s.hosts {
		if h.id == id {
			return h
		}
	}
	s.t.Fatalf("no host %s", id)
	return nil
}

// logOf returns the last lines that a host wrote.
func (s *system) logOf(h *host) string {
	text := ""
	for _, suffix := range []string{".err", ".out"} {
		content, err := os.ReadFile(h.log + suffix)
		if err != nil {
			content = []byte(err.Error())
		}
		text += string(content[max(0, len(content)-logTail):])
	}
	return text
}

// logTail is how many bytes of a log are shown.
const logTail = 2000

// keepLogs leaves the settings and logs of all processes in a directory when the test fails.
func (s *system) keepLogs(name string) {
	s.t.Cleanup(func() {
		if !s.t.Failed() {
			return
		}
		kept, err := os.MkdirTemp("", name)
		if err == nil {
			err = os.CopyFS(kept, os.DirFS(s.directory))
		}
		s.t.Logf("logs are kept in %s: %v", kept, err)
	})
}

// isolate sets what becomes of all traffic between the data centre and the others, both ways.
func (s *system) isolate(centre string, state linkState) {
	for _, h := range s.hosts {
		for _, other := range s.centres {
			if (h.centre == centre) != (other == centre) {
				h.link.set(source(other), state)
			}
		}
	}
}

// cutPlatform takes the key-value service away from the data centre's hosts, or gives it back.
func (s *system) cutPlatform(centre string, cut bool) {
	if cut {
		s.keyValue[centre].Stop()
		return
	}
	assert.NilError(s.t, s.keyValue[centre].Start())
}

// fault shows a fault at a stand-in.
func (s *system) fault(target, kind string, fields jsonObject) {
	s.t.Helper()
	call := jsonObject{"Target": target, "Kind": kind}
	for name, value := range fields {
		call[name] = value
	}
	assert.NilError(s.t, s.control.Call(context.Background(), "/control/faults", call, nil))
}

// platformState is what the stand-ins saw, as far as the tests judge by it.
type platformState struct {
	Calls      map[string]map[string]int64
	Executions map[string]struct {
		Total     int64
		ByRequest map[string]int
		ByKey     map[string]int
	}
	// Completions counts what each engine accepted, by request id.
	Completions map[string]map[string]int
	Engines     map[string]struct{ OutputTokens int64 }
	Orders      []struct {
		DataCentre    string
		FencingNumber int64
		Holder        string
		Verdict       string
	}
	Usage []struct {
		Report struct {
			Shard         int
			Window        time.Time
			Reporter      string
			FencingNumber int64
			Figures       []struct {
				Organisation string
				Requests     int64
				OutputTokens int64
			}
		}
		Verdict string
	}
	Secrets map[string][]string
}

func (s *system) state() platformState {
	state := platformState{}
	assert.NilError(s.t, s.control.Fetch(context.Background(), "/control/state", &state))
	return state
}
