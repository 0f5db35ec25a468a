package bench

import "github.com/arbutuswinch/winch/winchload/experiment"

const (
	anyPortAddress = "127.0.0.1:0"
	// eventGap is the share of cache events that the engines drop instead of publishing.
	eventGap = 0.02
)

// platformSettings holds the stand-in settings that an experiment sets. All others
// keep their defaults. Weights is the store of model weights.
type platformSettings struct {
	Seed     uint64
	KeyValue section
	Orders   ordersSection
	Usage    section
	Hosts    hostsSection
	Weights  section
	Control  section
	Engines  []engineSection
	Services []serviceSection
}

type section struct{ Address string }

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

// newPlatformSettings returns the settings of the stand-ins that simulate the
// experiment's platform, engines and services.
func newPlatformSettings(exp experiment.Experiment, seed uint64, ports *portAllocator) platformSettings {
	out := platformSettings{
		Seed:     seed,
		KeyValue: section{ports.nextAddress()},
		Orders: ordersSection{
			Address: ports.nextAddress(), StartDelay: experiment.Duration(startDelay), StopNotice: experiment.Duration(stopNotice),
		},
		Usage:   section{ports.nextAddress()},
		Hosts:   hostsSection{Address: ports.nextAddress(), Lag: experiment.Duration(hostListLag)},
		Weights: section{ports.nextAddress()},
		Control: section{ports.nextAddress()},
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
