package bench

import (
	"crypto/sha256"
	"encoding/hex"
	"slices"

	"github.com/arbutuswinch/winch/winchload/experiment"
)

// note is the release note that adds the experiment's organisations, classes and
// endpoints to the configuration.
type note struct {
	ID    string
	Added noteItems
}

type noteItems struct {
	Organisations []organisationItem
	Keys          []keyItem
	Classes       []classItem
	Routes        []routeItem `json:",omitempty"`
	Endpoints     []endpointItem
	Pools         []poolItem `json:",omitempty"`
}

type organisationItem struct {
	ID     string
	Weight int
}

type keyItem struct {
	ID           string
	Organisation string
	Hash         string
}

type classItem struct {
	ID               string
	Tier             int
	FirstTokenTarget experiment.Duration
	InterTokenTarget experiment.Duration `json:",omitempty"`
	MaxWait          experiment.Duration
	QueueLimit       int
	Floor            float64
	Models           []string `json:",omitempty"`
}

type routeItem struct {
	ID         string
	Class      string
	Idempotent bool
}

type endpointItem struct {
	ID            string
	DataCentre    string
	Kind          string
	Address       string
	Models        []string `json:",omitempty"`
	Routes        []string `json:",omitempty"`
	Classes       []string
	Supply        string
	Cost          int64
	ChecksFencing bool
	SlotLimit     int
}

type poolItem struct {
	ID            string
	DataCentre    string
	Model         string
	Classes       []string
	Supply        string
	Cost          int64
	Min           int
	Max           int
	ChecksFencing bool
	SlotLimit     int
}

// newNote returns the release note of the experiment. The addresses are keyed as the
// stand-ins print them, such as "engine/ID".
func newNote(exp experiment.Experiment, addresses map[string]string) note {
	out := note{ID: "load-" + exp.Name}
	for _, organisation := range exp.Organisations {
		hash := sha256.Sum256([]byte(organisation.Secret()))
		out.Added.Organisations = append(out.Added.Organisations, organisationItem{ID: organisation.ID, Weight: max(organisation.Weight, 1)})
		out.Added.Keys = append(out.Added.Keys, keyItem{
			ID: "key-" + organisation.ID, Organisation: organisation.ID, Hash: hex.EncodeToString(hash[:]),
		})
	}
	for _, class := range exp.Classes {
		out.Added.Classes = append(out.Added.Classes, newClassItem(class))
		if class.Route != "" {
			out.Added.Routes = append(out.Added.Routes, routeItem{ID: class.Route, Class: class.ID, Idempotent: class.Idempotent})
		}
	}
	out.Added.Pools = poolItems(exp)
	out.Added.Endpoints = append(engineItems(exp, addresses), serviceItems(exp, addresses)...)
	return out
}

func newClassItem(class experiment.Class) classItem {
	item := classItem{
		ID: class.ID, Tier: class.Tier, FirstTokenTarget: class.FirstTokenTarget, InterTokenTarget: class.InterTokenTarget,
		MaxWait: class.MaxWait, QueueLimit: class.QueueLimit, Floor: class.Floor,
	}
	if class.Model != "" {
		item.Models = []string{class.Model}
	}
	return item
}

func engineItems(exp experiment.Experiment, addresses map[string]string) []endpointItem {
	out := []endpointItem{}
	for _, group := range exp.Engines {
		classes := classesOfModel(exp, group.Model)
		for i := range group.Count {
			id := group.EngineID(i)
			out = append(out, endpointItem{
				ID: id, DataCentre: group.DataCentre, Kind: "Engine", Address: addresses["engine/"+id], Models: []string{group.Model},
				Classes: classes, Supply: group.Supply, Cost: group.Cost, ChecksFencing: group.ChecksFencing, SlotLimit: group.BatchLimit,
			})
		}
	}
	return out
}

// poolItems returns the pools of the experiment. Pools are ordered through their data centre's
// order interface, so ChecksFencing is that of the data centre and not of the engine group.
func poolItems(exp experiment.Experiment) []poolItem {
	out := []poolItem{}
	for _, group := range exp.Engines {
		if group.Pool == "" {
			continue
		}
		out = append(out, poolItem{
			ID: group.Pool, DataCentre: group.DataCentre, Model: group.Model, Classes: classesOfModel(exp, group.Model),
			Supply: group.Supply, Cost: group.Cost, Min: group.Min, Max: group.Max,
			ChecksFencing: exp.ChecksFencing(group.DataCentre), SlotLimit: group.BatchLimit,
		})
	}
	return out
}

func classesOfModel(exp experiment.Experiment, model string) []string {
	return classesOf(exp, func(class experiment.Class) bool { return class.Model == model })
}

func serviceItems(exp experiment.Experiment, addresses map[string]string) []endpointItem {
	out := []endpointItem{}
	for _, group := range exp.Services {
		classes := classesOf(exp, func(class experiment.Class) bool { return class.Route == group.Route })
		for i := range group.Count {
			id := group.ServiceID(i)
			out = append(out, endpointItem{
				ID: id, DataCentre: group.DataCentre, Kind: "Service", Address: addresses["service/"+id], Routes: []string{group.Route},
				Classes: classes, Supply: "Steady", Cost: group.Cost, SlotLimit: group.Slots,
			})
		}
	}
	return out
}

func classesOf(exp experiment.Experiment, matches func(experiment.Class) bool) []string {
	out := []string{}
	for _, class := range exp.Classes {
		if matches(class) && !slices.Contains(out, class.ID) {
			out = append(out, class.ID)
		}
	}
	return out
}
