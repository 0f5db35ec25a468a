package release

import (
	"encoding/hex"
	"encoding/json"
	"fmt"
	"strings"

	"github.com/arbutuswinch/winch"
)

// MaxNoteSize is the maximum size of a note's JSON in bytes.
const MaxNoteSize = 4 << 20

// DecodeNote parses a note. The error names the first invalid field.
func DecodeNote(body []byte) (winch.Note, error) {
	return decodeNote(body, false)
}

// DecodeNoteFile parses a note file on an operator's machine, before the note is sent.
// Unlike in DecodeNote, a key may contain Secret in place of Hash; it is replaced by its
// hash, so that the secret is not sent.
func DecodeNoteFile(body []byte) (winch.Note, error) {
	return decodeNote(body, true)
}

func decodeNote(body []byte, allowSecrets bool) (winch.Note, error) {
	if len(body) > MaxNoteSize {
		return winch.Note{}, fmt.Errorf("note: more than %d bytes: %w", MaxNoteSize, winch.ErrInvalid)
	}
	if !json.Valid(body) {
		return winch.Note{}, fmt.Errorf("note: is not JSON: %w", winch.ErrInvalid)
	}
	r := &errorRecorder{}
	note := readNote(r.parseObject("", body), allowSecrets)
	return note, r.err
}

func readNote(o *object, allowSecrets bool) winch.Note {
	note := winch.Note{
		ID:   winch.NoteID(o.requiredName("ID")),
		Base: winch.Revision(o.integer("Base")),
	}
	// The id is a segment of the operators' path /operator/notes/{id}, and
	// /operator/notes/check is another endpoint.
	if strings.Contains(string(note.ID), "/") || note.ID == "check" {
		o.recorder.fail(o.fieldPath("ID"), "must hold no slash, nor be \"check\"")
	}
	if note.Base < 0 {
		o.recorder.fail(o.fieldPath("Base"), "must not be negative")
	}
	if child, found := o.objectField("Added"); found {
		note.Added = readItems(child, allowSecrets)
	}
	if child, found := o.objectField("Changed"); found {
		note.Changed = readItems(child, allowSecrets)
	}
	if child, found := o.objectField("Withdrawn"); found {
		note.Withdrawn = readItemIDs(child)
	}
	o.rejectUnknownFields()
	return note
}

func (o *object) objectField(field string) (*object, bool) {
	raw, found := o.rawField(field)
	if !found {
		return nil, false
	}
	return o.recorder.parseObject(o.fieldPath(field), raw), true
}

func readItems(o *object, allowSecrets bool) winch.Items {
	items := winch.Items{}
	o.eachObject("Organisations", func(o *object) { items.Organisations = append(items.Organisations, readOrganisation(o)) })
	o.eachObject("Keys", func(o *object) { items.Keys = append(items.Keys, readKey(o, allowSecrets)) })
	o.eachObject("Classes", func(o *object) { items.Classes = append(items.Classes, readClass(o)) })
	o.eachObject("Routes", func(o *object) { items.Routes = append(items.Routes, readRoute(o)) })
	o.eachObject("Endpoints", func(o *object) { items.Endpoints = append(items.Endpoints, readEndpoint(o)) })
	o.eachObject("Pools", func(o *object) { items.Pools = append(items.Pools, readPool(o)) })
	o.eachObject("Evacuations", func(o *object) { items.Evacuations = append(items.Evacuations, readEvacuation(o)) })
	o.rejectUnknownFields()
	return items
}

func readItemIDs(o *object) winch.ItemIDs {
	ids := winch.ItemIDs{}
	for _, id := range o.nameList("Organisations") {
		ids.Organisations = append(ids.Organisations, winch.OrganisationID(id))
	}
	for _, id := range o.nameList("Keys") {
		ids.Keys = append(ids.Keys, winch.KeyID(id))
	}
	ids.Classes = readClasses(o, "Classes")
	ids.Routes = readRoutes(o, "Routes")
	for _, id := range o.nameList("Endpoints") {
		ids.Endpoints = append(ids.Endpoints, winch.EndpointID(id))
	}
	for _, id := range o.nameList("Pools") {
		ids.Pools = append(ids.Pools, winch.PoolID(id))
	}
	for _, centre := range o.nameList("Evacuations") {
		ids.Evacuations = append(ids.Evacuations, winch.DataCentreID(centre))
	}
	o.rejectUnknownFields()
	return ids
}

func readOrganisation(o *object) winch.Organisation {
	return winch.Organisation{
		ID:         winch.OrganisationID(o.requiredName("ID")),
		Weight:     int(o.integer("Weight")),
		StrictKeys: o.boolean("StrictKeys"),
	}
}

func readKey(o *object, allowSecrets bool) winch.Key {
	key := winch.Key{
		ID:           winch.KeyID(o.requiredName("ID")),
		Organisation: winch.OrganisationID(o.requiredName("Organisation")),
	}
	if allowSecrets {
		secret := ""
		if o.decodeField("Secret", "a string", &secret) {
			if _, both := o.rawField("Hash"); both || secret == "" {
				o.recorder.fail(o.fieldPath("Secret"), "must not be empty, and must not be given together with Hash")
			}
			key.Hash = winch.HashKey(secret)
			return key
		}
	}
	text := o.requiredName("Hash")
	decoded, err := hex.DecodeString(text)
	if err != nil || len(decoded) != len(key.Hash) {
		o.recorder.fail(o.fieldPath("Hash"), "must be %d hexadecimal digits", 2*len(key.Hash))
		return key
	}
	copy(key.Hash[:], decoded)
	return key
}

func readClass(o *object) winch.Class {
	return winch.Class{
		ID:               winch.ClassID(o.requiredName("ID")),
		Tier:             winch.Tier(o.integer("Tier")),
		FirstTokenTarget: o.duration("FirstTokenTarget"),
		InterTokenTarget: o.duration("InterTokenTarget"),
		MaxWait:          o.duration("MaxWait"),
		QueueLimit:       int(o.integer("QueueLimit")),
		Floor:            o.number("Floor"),
		Models:           readModels(o),
		Open:             o.boolean("Open"),
	}
}

func readRoute(o *object) winch.Route {
	return winch.Route{
		ID:         winch.RouteID(o.requiredName("ID")),
		Class:      winch.ClassID(o.requiredName("Class")),
		Open:       o.boolean("Open"),
		Idempotent: o.boolean("Idempotent"),
	}
}

func readEndpoint(o *object) winch.Endpoint {
	return winch.Endpoint{
		ID:            winch.EndpointID(o.requiredName("ID")),
		DataCentre:    winch.DataCentreID(o.requiredName("DataCentre")),
		Kind:          winch.EndpointKind(o.requiredName("Kind")),
		Address:       o.requiredName("Address"),
		Models:        readModels(o),
		Routes:        readRoutes(o, "Routes"),
		Classes:       readClasses(o, "Classes"),
		Supply:        winch.Supply(o.requiredName("Supply")),
		Cost:          winch.Cost(o.integer("Cost")),
		ChecksFencing: o.boolean("ChecksFencing"),
		SlotLimit:     int(o.integer("SlotLimit")),
		Pool:          winch.PoolID(o.optionalName("Pool")),
		Software:      winch.SoftwareVersion(o.optionalName("Software")),
	}
}

func readPool(o *object) winch.Pool {
	return winch.Pool{
		ID:            winch.PoolID(o.requiredName("ID")),
		DataCentre:    winch.DataCentreID(o.requiredName("DataCentre")),
		Model:         winch.ModelID(o.requiredName("Model")),
		Adapter:       winch.AdapterID(o.optionalName("Adapter")),
		Version:       winch.ModelVersion(o.optionalName("Version")),
		Classes:       readClasses(o, "Classes"),
		Supply:        winch.Supply(o.requiredName("Supply")),
		Cost:          winch.Cost(o.integer("Cost")),
		Min:           int(o.integer("Min")),
		Max:           int(o.integer("Max")),
		ChecksFencing: o.boolean("ChecksFencing"),
		SlotLimit:     int(o.integer("SlotLimit")),
	}
}

func readEvacuation(o *object) winch.Evacuation {
	return winch.Evacuation{DataCentre: winch.DataCentreID(o.requiredName("DataCentre"))}
}

func readModels(o *object) []winch.ModelID {
	var ids []winch.ModelID
	for _, id := range o.nameList("Models") {
		ids = append(ids, winch.ModelID(id))
	}
	return ids
}

func readClasses(o *object, field string) []winch.ClassID {
	var ids []winch.ClassID
	for _, id := range o.nameList(field) {
		ids = append(ids, winch.ClassID(id))
	}
	return ids
}

func readRoutes(o *object, field string) []winch.RouteID {
	var ids []winch.RouteID
	for _, id := range o.nameList(field) {
		ids = append(ids, winch.RouteID(id))
	}
	return ids
}
