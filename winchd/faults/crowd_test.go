package faults

import (
	"fmt"
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/arbutuswinch/winch/internal/crowdtest"
)

const (
	// crowdMemory is the memory in bytes of a host that meets a crowd. The smallest hosts have 112 MB.
	crowdMemory = 80_000_000
	// crowdRuntimeShare is the share of it that the runtime of the process is told in GOMEMLIMIT.
	crowdRuntimeShare = 0.7
	// crowdDescriptors is the number of files that its process may open.
	crowdDescriptors = 512
	// crowdBodyLimit is Caller.BodyLimit of its settings.
	crowdBodyLimit = 1 << 20
	// overLimit is how many times the legal size a body over the limit has.
	overLimit = 4
	// legalHeads is the number of heads of legal size, and legalFields the size of their short fields, below the default of
	// Caller.HeaderLimit and that of the other ports.
	legalHeads, legalFields = 400, 16384 - 512
)

// crowdHost is a host that meets crowds, the only one of its system.
type crowdHost struct {
	*system
	host *host
}

func newCrowdHost(t *testing.T) crowdHost {
	t.Helper()
	if testing.Short() {
		t.Skip("starts large crowds, and the race detector takes several times the memory")
	}
	t.Setenv("GOMEMLIMIT", strconv.Itoa(crowdRuntimeShare*crowdMemory))
	s := newSystem(t, "a")
	s.addHost("a-1", "a")
	s.hosts[0].descriptors = crowdDescriptors
	s.startHosts(func(_ string, settings jsonObject) {
		settings["Caller"].(jsonObject)["BodyLimit"] = crowdBodyLimit
	})
	s.applyBase()
	return crowdHost{system: s, host: s.hosts[0]}
}

// places returns where crowds are tried, by name.
func (h crowdHost) places() map[string]crowdtest.Place {
	callers := fmt.Sprintf("Authorization: Bearer %s\r\nX-Request-Class: urgent\r\n", callerKey)
	return map[string]crowdtest.Place{
		"callers":                  place(h.host.caller, "/v1/chat/completions", callers),
		"callers, no path":         place(h.host.caller, "/nowhere", callers),
		"operators":                place(h.host.operator, "/operator/notes", "Authorization: Bearer "+operatorSecret+"\r\n"),
		"operators without secret": place(h.host.operator, "/operator/notes", ""),
		"ready":                    place(h.host.operator, "/readyz", ""),
		"peers":                    place(h.host.peer, "/peer/exchange", "Authorization: Bearer "+peerSecret+"\r\n"),
		"peers without secret":     place(h.host.peer, "/peer/exchange", ""),
	}
}

func place(address, path, fields string) crowdtest.Place {
	return crowdtest.Place{Address: address, Path: path, Fields: func() string { return fields }}
}

// allPlaces are those at which a crowd sends whole heads.
var allPlaces = []string{"callers", "callers, no path", "operators", "operators without secret", "ready", "peers", "peers without secret"}

// allPorts has one place for each port, for crowds that do not come so far that the path matters.
var allPorts = []string{"callers", "operators without secret", "peers without secret"}

// bodyPlaces are those at which something reads bodies, and one at which nothing does.
var bodyPlaces = []string{"callers", "operators", "peers", "ready"}

// meetCrowds lets crowds of the kinds come at each place to a new process of the host.
func meetCrowds(t *testing.T, places []string, kinds ...crowdtest.Kind) {
	t.Helper()
	h := newCrowdHost(t)
	client := &http.Client{Timeout: 3 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	serves := func() bool {
		return h.send(client, h.completion(h.host, callerKey, 1, false)).status == http.StatusOK && h.isReady(client)
	}
	for _, name := range places {
		t.Run(name, func(t *testing.T) {
			h.replaceHost(h.host)
			h.waitFor("the host serves", serves)
			met := crowdtest.Process{
				PID: h.host.process.command.Process.Pid, Addresses: []string{h.host.caller, h.host.operator, h.host.peer},
				Limits: crowdtest.Limits{Memory: crowdMemory, Descriptors: crowdDescriptors}, Serves: serves,
			}
			met.Meet(t, h.places()[name], kinds...)
		})
	}
}

func (h crowdHost) isReady(client *http.Client) bool {
	response, err := client.Get("http://" + h.host.operator + "/readyz")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// TestDaemonCrowdOfUnfinishedBodies guards against bodies that are held without progress, or allocated by their declared length.
func TestDaemonCrowdOfUnfinishedBodies(t *testing.T) {
	meetCrowds(t, allPlaces, crowdtest.UnfinishedBodies(crowdBodyLimit))
}

// TestDaemonCrowdOfUnfinishedChunkedBodies guards against bodies without a declared length that are held without progress.
func TestDaemonCrowdOfUnfinishedChunkedBodies(t *testing.T) {
	meetCrowds(t, allPlaces, crowdtest.UnfinishedChunkedBodies(crowdBodyLimit))
}

// TestDaemonCrowdOfOneByteChunks guards against bodies whose encoding is several times as long as they are.
func TestDaemonCrowdOfOneByteChunks(t *testing.T) {
	meetCrowds(t, bodyPlaces, crowdtest.OneByteChunks(crowdBodyLimit))
}

// TestDaemonCrowdOfWholeBodies guards against more complete bodies at once than there is memory for.
func TestDaemonCrowdOfWholeBodies(t *testing.T) {
	meetCrowds(t, allPlaces, crowdtest.WholeBodies(crowdBodyLimit))
}

// TestDaemonCrowdOfDeclaredBodiesOverTheLimit guards against bodies that are read although their declared length is over the limit.
func TestDaemonCrowdOfDeclaredBodiesOverTheLimit(t *testing.T) {
	meetCrowds(t, bodyPlaces, crowdtest.DeclaredBodiesOverTheLimit(overLimit*crowdBodyLimit))
}

// TestDaemonCrowdOfChunkedBodiesOverTheLimit guards against bodies that are read although they are longer than the limit.
func TestDaemonCrowdOfChunkedBodiesOverTheLimit(t *testing.T) {
	meetCrowds(t, bodyPlaces, crowdtest.ChunkedBodiesOverTheLimit(overLimit*crowdBodyLimit))
}

// TestDaemonCrowdOfShortFields guards against heads of legal size that take many times their size in memory.
func TestDaemonCrowdOfShortFields(t *testing.T) {
	meetCrowds(t, allPlaces, crowdtest.ShortFields(legalHeads, legalFields))
}

// TestDaemonCrowdOfPipelinedRequests guards against answers and requests that pile up while the caller does not read.
func TestDaemonCrowdOfPipelinedRequests(t *testing.T) {
	meetCrowds(t, allPlaces, crowdtest.PipelinedRequests())
}

// TestDaemonCrowdOfSlowHeads guards against connections that take all descriptors while their heads arrive.
func TestDaemonCrowdOfSlowHeads(t *testing.T) { meetCrowds(t, allPorts, crowdtest.SlowHeads()) }

// TestDaemonCrowdOfStalledHeads guards against connections that take all descriptors without sending anything more.
func TestDaemonCrowdOfStalledHeads(t *testing.T) { meetCrowds(t, allPorts, crowdtest.StalledHeads()) }

// TestDaemonCrowdOfSlowReaders guards against answers that are kept for readers who hardly read them.
func TestDaemonCrowdOfSlowReaders(t *testing.T) {
	meetCrowds(t, []string{"callers, no path", "ready"}, crowdtest.SlowReaders())
}

// TestDaemonCrowdsOfUnfinishedBodiesAndStalledHeads guards against a limit that one kind of crowd uses up for the other.
func TestDaemonCrowdsOfUnfinishedBodiesAndStalledHeads(t *testing.T) {
	meetCrowds(t, []string{"callers"}, crowdtest.UnfinishedBodies(crowdBodyLimit), crowdtest.StalledHeads())
}
