package faults

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"testing"
	"time"

	toxiproxy "github.com/Shopify/toxiproxy/v2"
	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/arbutuswinch/winch/httpjson"
	"github.com/arbutuswinch/winch/internal/crowdtest"
	"github.com/arbutuswinch/winch/internal/porttest"
)

const (
	peerSecret     = "faults-peer-secret"
	operatorSecret = "faults-operator-secret"
	model          = "atlas-8b"

	// The settings Release.FreshnessLimit, Release.IsolationGrace and Usage.Window of all hosts.
	freshnessLimit = 2 * time.Second
	isolationGrace = 6 * time.Second
	usageWindow    = 4 * time.Second
	// waitLimit is how long the tests wait for a condition.
	waitLimit = 30 * time.Second
)

// jsonObject is the content of a settings file or of a request.
type jsonObject map[string]any

// host is a winchd host with its current process. caller, peer and operator are the addresses that it
// listens on, config is the name of its settings file, and log the path of its logs without their suffix.
type host struct {
	id       string
	centre   string
	caller   string
	peer     string
	operator string
	link     *link
	config   string
	log      string
	process  *process
	api      *httpjson.Client
	// descriptors is the number of files that the process may open; zero sets no limit.
	descriptors int
}

// system is a simulated platform and three data centres with two hosts each.
type system struct {
	t         *testing.T
	directory string
	addresses map[string]string
	platform  *process
	control   *httpjson.Client
	hosts     []*host
	centres   []string
	// keyValue holds the proxy to the key-value service for each data centre.
	keyValue map[string]*toxiproxy.Proxy
}

// startSystem starts the platform and all hosts, in parallel with the systems of other tests. change may
// modify the settings of each host and may be nil.
func startSystem(t *testing.T, change func(id string, settings jsonObject)) *system {
	t.Helper()
	t.Parallel()
	s := newSystem(t, "a", "b", "c")
	for _, centre := range s.centres {
		s.addHost(centre+"-1", centre)
		s.addHost(centre+"-2", centre)
	}
	s.startHosts(change)
	return s
}

// newSystem starts the platform for the data centres, without hosts.
func newSystem(t *testing.T, centres ...string) *system {
	t.Helper()
	s := &system{t: t, directory: t.TempDir(), centres: centres, keyValue: map[string]*toxiproxy.Proxy{}}
	s.startPlatform()
	for _, centre := range s.centres {
		s.keyValue[centre] = s.newProxy("keyvalue-"+centre, s.addresses["keyvalue"])
	}
	return s
}

// startHosts starts the hosts that were added. change is that of startSystem.
func (s *system) startHosts(change func(id string, settings jsonObject)) {
	s.t.Helper()
	s.publishHosts()
	for _, h := range s.hosts {
		s.writeSettings(h, change)
		s.startHost(h)
	}
	for _, h := range s.hosts {
		s.waitFor("host "+h.id+" responds", func() bool {
			assert.Assert(s.t, h.process.running(), "host %s ended: %s", h.id, s.logTail(h))
			return s.get(h, "/operator/hosts", nil) == nil
		})
	}
}

// sourceIP returns the local IP address from which the hosts of a data centre call other hosts.
func sourceIP(centre string) string { return "127.0.1." + fmt.Sprint(centre[0]-'a'+1) }

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
		"Seed": 1, "KeyValue": loopbackAddress(), "Usage": loopbackAddress(), "Weights": loopbackAddress(), "Control": loopbackAddress(),
		"Hosts":   jsonObject{"Address": "127.0.0.1:0", "Lag": "200ms"},
		"Orders":  jsonObject{"Address": "127.0.0.1:0", "DataCentres": centres, "StartDelay": "300ms", "StopNotice": "2s", "Engine": jsonObject{"BatchLimit": 16}},
		"Engines": endpoints, "Services": services,
	})
	log := filepath.Join(s.directory, "standin")
	s.platform = startProcess(s.t, log, program(s.t, "standin"), "--settings", path)
	s.waitFor("the addresses of the stand-ins", func() bool {
		content, err := os.ReadFile(log + ".out")
		return err == nil && bytes.Contains(content, []byte("\n")) && json.Unmarshal(content, &s.addresses) == nil
	})
	s.control = s.client(s.addresses["control"], "")
}

func loopbackAddress() jsonObject { return jsonObject{"Address": "127.0.0.1:0"} }

func (s *system) newProxy(name, upstream string) *toxiproxy.Proxy {
	server := toxiproxy.NewServer(toxiproxy.NewMetricsContainer(nil), zerolog.Nop())
	proxy := toxiproxy.NewProxy(server, name, "127.0.0.1:0", upstream)
	assert.NilError(s.t, proxy.Start())
	s.t.Cleanup(proxy.Stop)
	return proxy
}

func (s *system) addHost(id, centre string) {
	h := &host{id: id, centre: centre, config: id + ".json", log: filepath.Join(s.directory, id)}
	ports := porttest.Free(s.t, 3)
	h.caller, h.peer, h.operator = ports[0], ports[1], ports[2]
	h.link = newLink(s.t, h.peer)
	h.api = s.client(h.operator, operatorSecret)
	s.hosts = append(s.hosts, h)
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
		"Peer":     jsonObject{"Address": h.peer, "Advertise": h.link.address(), "Source": sourceIP(h.centre), "Secret": peerSecret},
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
	path, arguments := program(s.t, "winchd"), []string{"run", "--settings", filepath.Join(s.directory, h.config)}
	if h.descriptors > 0 {
		command := crowdtest.LimitedCommand(h.descriptors, path, arguments...)
		path, arguments = command.Path, command.Args[1:]
	}
	h.process = startProcess(s.t, h.log, path, arguments...)
}

// replaceHost kills the host's process and starts a new one, without the state of the old one.
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
		return poll.Continue("still waiting for: %s", what)
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

// logTail returns the end of the logs of a host.
func (s *system) logTail(h *host) string {
	text := ""
	for _, suffix := range []string{".err", ".out"} {
		content, err := os.ReadFile(h.log + suffix)
		if err != nil {
			content = []byte(err.Error())
		}
		text += string(content[max(0, len(content)-logTailBytes):])
	}
	return text
}

// logTailBytes is the number of bytes that are shown of a log.
const logTailBytes = 2000

// keepLogs copies the settings and logs of all processes to a temporary directory if the test fails.
func (s *system) keepLogs(name string) {
	s.t.Cleanup(func() {
		if !s.t.Failed() {
			return
		}
		kept, err := os.MkdirTemp("", name)
		if err == nil {
			err = os.CopyFS(kept, os.DirFS(s.directory))
		}
		s.t.Logf("logs were copied to %s: %v", kept, err)
	})
}

// setLinks sets the state of the links between the data centre and the others, in both directions.
func (s *system) setLinks(centre string, state linkState) {
	for _, h := range s.hosts {
		for _, other := range s.centres {
			if (h.centre == centre) != (other == centre) {
				h.link.setState(sourceIP(other), state)
			}
		}
	}
}

// cutKeyValue disconnects the data centre's hosts from the key-value service, or reconnects them.
func (s *system) cutKeyValue(centre string, cut bool) {
	if cut {
		s.keyValue[centre].Stop()
		return
	}
	assert.NilError(s.t, s.keyValue[centre].Start())
}

// injectFault injects a fault at a stand-in.
func (s *system) injectFault(target, kind string, fields jsonObject) {
	s.t.Helper()
	call := jsonObject{"Target": target, "Kind": kind}
	for name, value := range fields {
		call[name] = value
	}
	assert.NilError(s.t, s.control.Call(context.Background(), "/control/faults", call, nil))
}

// platformState is the part of the stand-ins' recorded state that the tests check.
type platformState struct {
	Calls      map[string]map[string]int64
	Executions map[string]struct {
		Total     int64
		ByRequest map[string]int
		ByKey     map[string]int
	}
	// Completions counts how often each engine accepted each request, by engine and request ID.
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
