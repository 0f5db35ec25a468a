package bench

import (
	"time"

	"github.com/arbutuswinch/winch/winchload/control"
	"github.com/arbutuswinch/winch/winchload/experiment"
)

// UsageWindow is the length of the hosts' usage windows.
const UsageWindow = 10 * time.Second

const (
	peerSecret     = "load-peer-secret"
	operatorSecret = "load-operator-secret"
)

// hostSettings holds the winchd settings that an experiment sets. All others keep
// their defaults.
type hostSettings struct {
	Host        string
	DataCentre  string
	DataCentres []string
	Caller      addressSection
	Peer        secretSection
	Operator    secretSection
	Platform    hostPlatform
	Endpoints   endpointsSection
	Dispatch    dispatchSection
	Usage       usageSection
	Shutdown    shutdownSection
	Log         logSection
}

type secretSection struct {
	Address string
	Secret  string
}

type hostPlatform struct {
	KeyValue string
	Orders   string
	Usage    string
	Hosts    string
}

type endpointsSection struct{ Credential string }

type dispatchSection struct {
	Policy string
	Seed   uint64
}

type usageSection struct{ Window experiment.Duration }

type shutdownSection struct {
	ReadinessDelay experiment.Duration
	DrainTimeout   experiment.Duration
}

type logSection struct {
	Level string
	JSON  bool
	File  string `json:",omitempty"`
}

// newHosts returns the settings of all hosts of the experiment.
func newHosts(exp experiment.Experiment, addresses map[string]string, options Options, ports *portAllocator) ([]hostSettings, error) {
	centres, hosts := []string{}, []hostSettings{}
	for _, centre := range exp.DataCentres {
		centres = append(centres, centre.ID)
	}
	for _, centre := range exp.DataCentres {
		for i := range centre.Hosts {
			host := hostSettings{
				Host: centre.HostID(i), DataCentre: centre.ID, DataCentres: centres,
				Platform: hostPlatform{
					KeyValue: addresses["keyvalue"], Orders: addresses["orders"], Usage: addresses["usage"], Hosts: addresses["hosts"],
				},
				Endpoints: endpointsSection{Credential: "load-endpoint-credential"},
				Dispatch:  dispatchSection{Policy: options.Policy, Seed: options.Seed*1000 + uint64(len(hosts)) + 1},
				Usage:     usageSection{Window: experiment.Duration(UsageWindow)},
				Shutdown:  shutdownSection{ReadinessDelay: experiment.Duration(readinessDelay), DrainTimeout: experiment.Duration(drainTimeout)},
				Log:       logSection{Level: options.LogLevel, JSON: true},
			}
			if err := host.setAddresses(ports); err != nil {
				return nil, err
			}
			hosts = append(hosts, host)
		}
	}
	return hosts, nil
}

func (h *hostSettings) setAddresses(ports *portAllocator) error {
	h.Peer.Secret, h.Operator.Secret = peerSecret, operatorSecret
	for _, address := range []*string{&h.Caller.Address, &h.Peer.Address, &h.Operator.Address} {
		allocated, err := ports.freeAddress()
		if err != nil {
			return err
		}
		*address = allocated
	}
	return nil
}

// hostList returns the entries of the platform's host list for the hosts.
func hostList(hosts []hostSettings) []control.Host {
	out := make([]control.Host, 0, len(hosts))
	for _, host := range hosts {
		out = append(out, control.Host{ID: host.Host, DataCentre: host.DataCentre, PeerAddress: host.Peer.Address, State: "live"})
	}
	return out
}
