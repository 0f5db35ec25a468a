package release

import (
	"encoding/json"
	"fmt"

	"github.com/arbutuswinch/winch"
)

type noteWire struct {
	ID        winch.NoteID
	Base      winch.Revision `json:",omitempty"`
	Added     *itemsWire     `json:",omitempty"`
	Changed   *itemsWire     `json:",omitempty"`
	Withdrawn *itemIDsWire   `json:",omitempty"`
}

type itemsWire struct {
	Organisations []organisationWire `json:",omitempty"`
	Keys          []keyWire          `json:",omitempty"`
	Classes       []classWire        `json:",omitempty"`
	Routes        []routeWire        `json:",omitempty"`
	Endpoints     []endpointWire     `json:",omitempty"`
	Pools         []poolWire         `json:",omitempty"`
	Evacuations   []evacuationWire   `json:",omitempty"`
}

type itemIDsWire struct {
	Organisations []winch.OrganisationID `json:",omitempty"`
	Keys          []winch.KeyID          `json:",omitempty"`
	Classes       []winch.ClassID        `json:",omitempty"`
	Routes        []winch.RouteID        `json:",omitempty"`
	Endpoints     []winch.EndpointID     `json:",omitempty"`
	Pools         []winch.PoolID         `json:",omitempty"`
	Evacuations   []winch.DataCentreID   `json:",omitempty"`
}

type organisationWire struct {
	ID         winch.OrganisationID
	Weight     int
	StrictKeys bool `json:",omitempty"`
}

type keyWire struct {
	ID           winch.KeyID
	Organisation winch.OrganisationID
	Hash         string
}

type classWire struct {
	ID               winch.ClassID
	Tier             winch.Tier
	FirstTokenTarget string
	InterTokenTarget string `json:",omitempty"`
	MaxWait          string
	QueueLimit       int
	Floor            float64         `json:",omitempty"`
	Models           []winch.ModelID `json:",omitempty"`
	Open             bool            `json:",omitempty"`
}

type routeWire struct {
	ID         winch.RouteID
	Class      winch.ClassID
	Open       bool `json:",omitempty"`
	Idempotent bool `json:",omitempty"`
}

type endpointWire struct {
	ID            winch.EndpointID
	DataCentre    winch.DataCentreID
	Kind          winch.EndpointKind
	Address       string
	Models        []winch.ModelID `json:",omitempty"`
	Routes        []winch.RouteID `json:",omitempty"`
	Classes       []winch.ClassID `json:",omitempty"`
	Supply        winch.Supply
	Cost          winch.Cost
	ChecksFencing bool `json:",omitempty"`
	SlotLimit     int
	Pool          winch.PoolID          `json:",omitempty"`
	Software      winch.SoftwareVersion `json:",omitempty"`
}

type poolWire struct {
	ID            winch.PoolID
	DataCentre    winch.DataCentreID
	Model         winch.ModelID
	Adapter       winch.AdapterID    `json:",omitempty"`
	Version       winch.ModelVersion `json:",omitempty"`
	Classes       []winch.ClassID    `json:",omitempty"`
	Supply        winch.Supply
	Cost          winch.Cost
	Min           int
	Max           int
	ChecksFencing bool `json:",omitempty"`
	SlotLimit     int
}

type evacuationWire struct {
	DataCentre winch.DataCentreID
}

// EncodeNote returns the note as JSON.
func EncodeNote(note winch.Note) ([]byte, error) {
	body, err := json.Marshal(noteToWire(note))
	if err != nil {
		return nil, fmt.Errorf("encode note %s: %w", note.ID, err)
	}
	return body, nil
}

func noteToWire(note winch.Note) noteWire {
	return noteWire{
		ID: note.ID, Base: note.Base,
		Added: itemsToWire(note.Added), Changed: itemsToWire(note.Changed), Withdrawn: itemIDsToWire(note.Withdrawn),
	}
}

func itemIDsToWire(ids winch.ItemIDs) *itemIDsWire {
	wire := itemIDsWire(ids)
	if len(itemIDNames(ids)) == 0 {
		return nil
	}
	return &wire
}

func itemsToWire(items winch.Items) *itemsWire {
	if countItems(items) == 0 {
		return nil
	}
	wire := &itemsWire{}
	for _, item := range items.Organisations {
		wire.Organisations = append(wire.Organisations, organisationWire(item))
	}
	for _, item := range items.Keys {
		wire.Keys = append(wire.Keys, keyWire{ID: item.ID, Organisation: item.Organisation, Hash: item.Hash.String()})
	}
	for _, item := range items.Classes {
		wire.Classes = append(wire.Classes, classToWire(item))
	}
	for _, item := range items.Routes {
		wire.Routes = append(wire.Routes, routeWire(item))
	}
	for _, item := range items.Endpoints {
		wire.Endpoints = append(wire.Endpoints, endpointWire(item))
	}
	for _, item := range items.Pools {
		wire.Pools = append(wire.Pools, poolWire(item))
	}
	for _, item := range items.Evacuations {
		wire.Evacuations = append(wire.Evacuations, evacuationWire(item))
	}
	return wire
}

func classToWire(class winch.Class) classWire {
	wire := classWire{
		ID: class.ID, Tier: class.Tier,
		FirstTokenTarget: class.FirstTokenTarget.String(), MaxWait: class.MaxWait.String(),
		QueueLimit: class.QueueLimit, Floor: class.Floor, Models: class.Models, Open: class.Open,
	}
	if class.InterTokenTarget > 0 {
		wire.InterTokenTarget = class.InterTokenTarget.String()
	}
	return wire
}

func countItems(items winch.Items) int {
	return len(items.Organisations) + len(items.Keys) + len(items.Classes) +
		len(items.Routes) + len(items.Endpoints) + len(items.Pools) + len(items.Evacuations)
}

// recordWire is the JSON form of a committed note.
type recordWire struct {
	Revision winch.Revision
	// Write is the id of the call that committed the note, and Author the incarnation
	// that made it.
	Write  winch.WriteID
	Author winch.Incarnation
	Note   noteWire
}

// EncodeRecord returns the record as JSON.
func EncodeRecord(record winch.ReleaseRecord) ([]byte, error) {
	body, err := json.Marshal(recordWire{
		Revision: record.Revision, Write: record.Write, Author: record.Author, Note: noteToWire(record.Note),
	})
	if err != nil {
		return nil, fmt.Errorf("encode record %d: %w", record.Revision, err)
	}
	return body, nil
}

// DecodeRecord parses a record. The error names the first invalid field.
func DecodeRecord(body []byte) (winch.ReleaseRecord, error) {
	r := &errorRecorder{}
	o := r.parseObject("", body)
	record := winch.ReleaseRecord{
		Revision: winch.Revision(o.integer("Revision")),
		Write:    winch.WriteID(o.requiredName("Write")),
		Author:   winch.Incarnation(o.requiredName("Author")),
	}
	if child, found := o.objectField("Note"); found {
		record.Note = readNote(child, false)
	}
	o.rejectUnknownFields()
	return record, r.err
}

// configurationWire is the JSON form of a configuration.
type configurationWire struct {
	Revision winch.Revision
	Items    *itemsWire
}

// EncodeConfiguration returns the JSON form of a configuration. Items are sorted
// by id, so equal configurations have equal encodings.
func EncodeConfiguration(configuration *winch.Configuration) ([]byte, error) {
	body, err := json.Marshal(configurationWire{Revision: configuration.Revision, Items: itemsToWire(sortedItems(configuration))})
	if err != nil {
		return nil, fmt.Errorf("encode configuration %d: %w", configuration.Revision, err)
	}
	return body, nil
}

// DecodeConfiguration parses a configuration. The error names the first invalid field.
func DecodeConfiguration(body []byte) (*winch.Configuration, error) {
	r := &errorRecorder{}
	o := r.parseObject("", body)
	configuration := Empty()
	configuration.Revision = winch.Revision(o.integer("Revision"))
	if child, found := o.objectField("Items"); found {
		putItems(configuration, readItems(child, false))
	}
	o.rejectUnknownFields()
	return configuration, r.err
}
