package bench

import "github.com/arbutuswinch/winch/winchload/experiment"

const (
	anyPortAddress = "127.0.0.1:0"
	// eventGap is the share of cache events that the engines drop instead of publishing.
	eventGap = 0.02
)

// standinSettings holds the stand-in settings that an experiment sets. All others
// keep their defaults. Weights is the store of model weights.
type standinSettings struct {
	Seed     uint64
	KeyValue addressSection
	Orders   ordersSection
	Usage    addressSection
	Hosts    hostsSection
	Weights  addressSection
	Control  addressSection
	Engines  []engineSection
	Services []serviceSection
}

type addressSection struct{ Address string }

type ordersSection struct {
	Address     string
	DataCentres []centreSection
	StartDelay  experiment.Duration
	StopNotice  experiment.Duration
	Engine      engineSection
}

type centreSection struct {
	ID            string
	ChecksFencing bool
}

type hostsSection struct {
	Address string
	Lag     experiment.Duration
	Hosts   []hostItem
}

type hostItem struct {
	ID          string
	DataCentre  string
	PeerAddress string
	State       string
}

type engineSection struct {
	ID                     string
	DataCentre             string
	Address                string
	Supply                 string
	Models                 []modelSection
	BatchLimit             int
	WaitLimit              int
	StepBase               experiment.Duration
	StepPerSequence        experiment.Duration
	PrefillTokensPerSecond int
	CacheTokens            int
	ReportLag              experiment.Duration
	EventGap               float64
	ChecksFencing          bool
}

type modelSection struct{ Model string }

type serviceSection struct {
	ID         string
	DataCentre string
	Address    string
	Time       experiment.Duration
	Slots      int
}

// newStandinSettings returns the settings of the stand-ins that simulate the
// experiment's platform, engines and services.
func newStandinSettings(exp experiment.Experiment, seed uint64, ports *portAllocator) standinSettings {
	out := standinSettings{
		Seed:     seed,
		KeyValue: addressSection{ports.nextAddress()},
		Orders: ordersSection{
			Address: ports.nextAddress(), StartDelay: experiment.Duration(engineStartDelay), StopNotice: experiment.Duration(engineStopNotice),
		},
		Usage:   addressSection{ports.nextAddress()},
		Hosts:   hostsSection{Address: ports.nextAddress(), Lag: experiment.Duration(hostListLag)},
		Weights: addressSection{ports.nextAddress()},
		Control: addressSection{ports.nextAddress()},
	}
	for _, centre := range exp.DataCentres {
		out.Orders.DataCentres = append(out.Orders.DataCentres, centreSection{ID: centre.ID, ChecksFencing: centre.ChecksFencing})
	}
	for _, group := range exp.Engines {
		for i := range group.Count {
			engine := newEngineSection(group)
			engine.ID, engine.Address = group.EngineID(i), ports.nextAddress()
			out.Engines = append(out.Engines, engine)
		}
	}
	for _, group := range exp.Services {
		for i := range group.Count {
			out.Services = append(out.Services, serviceSection{
				ID: group.ServiceID(i), DataCentre: group.DataCentre, Address: ports.nextAddress(), Time: group.Time, Slots: group.Slots,
			})
		}
	}
	// The stand-ins have one template for ordered engines, so all of them get the properties
	// of the first group.
	if len(exp.Engines) > 0 {
		out.Orders.Engine = newEngineSection(exp.Engines[0])
	}
	return out
}

func newEngineSection(group experiment.EngineGroup) engineSection {
	return engineSection{
		DataCentre: group.DataCentre, Supply: group.Supply, Models: []modelSection{{group.Model}},
		BatchLimit: group.BatchLimit, WaitLimit: group.WaitLimit, StepBase: group.StepBase, StepPerSequence: group.StepPerSequence,
		PrefillTokensPerSecond: group.PrefillTokensPerSecond, CacheTokens: group.CacheTokens,
		ReportLag: group.ReportLag, EventGap: eventGap, ChecksFencing: group.ChecksFencing,
	}
}
