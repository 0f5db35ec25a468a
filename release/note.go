package release

import (
	"encoding/hex"
	"encoding/json"
	"fmt"
	"strings"

	"github.com/arbutuswinch/winch"
)

// MaxNoteSize is the largest note in bytes of its JSON form.
const MaxNoteSize = 4 << 20

// DecodeNote reads a note. The error names the first bad field.
func DecodeNote(body []byte) (winch.Note, error) {
	return decodeNote(body, false)
}

// DecodeNoteFile reads a note as operators write it: a key may have Secret in
// place of Hash, and the secret is hashed here.
func DecodeNoteFile(body []byte) (winch.Note, error) {
	return decodeNote(body, true)
}

func decodeNote(body []byte, secrets bool) (winch.Note, error) {
	if len(body) > MaxNoteSize {
		return winch.Note{}, fmt.Errorf("note: more than %d bytes: %w", MaxNoteSize, winch.ErrInvalid)
	}
	if !json.Valid(body) {
		return winch.Note{}, fmt.Errorf("note: is not JSON: %w", winch.ErrInvalid)
	}
	r := &reader{}
	note := readNote(r.object("", body), secrets)
	return note, r.fault
}

func readNote(o *object, secrets bool) winch.Note {
	note := winch.Note{
		ID:   winch.NoteID(o.required("ID")),
		Base: winch.Revision(o.integer("Base")),
	}
	if strings.Contains(string(note.ID), "/") || note.ID == "check" {
		o.reader.fail(o.at("ID"), "must hold no slash, nor be \"check\"")
	}
	if note.Base < 0 {
		o.reader.fail(o.at("Base"), "must not be negative")
	}
	if child, found := o.child("Added"); found {
		note.Added = readItems(child, secrets)
	}
	if child, found := o.child("Changed"); found {
		note.Changed = readItems(child, secrets)
	}
	if child, found := o.child("Withdrawn"); found {
		note.Withdrawn = readItemIDs(child)
	}
	o.done()
	return note
}

func (o *object) child(field string) (*object, bool) {
	raw, found := o.take(field)
	if !found {
		return nil, false
	}
	return o.reader.object(o.at(field), raw), true
}

func readItems(o *object, secrets bool) winch.Items {
	items := winch.Items{}
	o.objects("Organisations", func(o *object) { items.Organisations = append(items.Organisations, readOrganisation(o)) })
	o.objects("Keys", func(o *object) { items.Keys = append(items.Keys, readKey(o, secrets)) })
	o.objects("Classes", func(o *object) { items.Classes = append(items.Classes, readClass(o)) })
	o.objects("Routes", func(o *object) { items.Routes = append(items.Routes, readRoute(o)) })
	o.objects("Endpoints", func(o *object) { items.Endpoints = append(items.Endpoints, readEndpoint(o)) })
	o.objects("Pools", func(o *object) { items.Pools = append(items.Pools, readPool(o)) })
	o.done()
	return items
}

func readItemIDs(o *object) winch.ItemIDs {
	ids := winch.ItemIDs{}
	for _, id := range o.texts("Organisations") {
		ids.Organisations = append(ids.Organisations, winch.OrganisationID(id))
	}
	for _, id := range o.texts("Keys") {
		ids.Keys = append(ids.Keys, winch.KeyID(id))
	}
	ids.Classes = readClasses(o, "Classes")
	ids.Routes = readRoutes(o, "Routes")
	for _, id := range o.texts("Endpoints") {
		ids.Endpoints = append(ids.Endpoints, winch.EndpointID(id))
	}
	for _, id := range o.texts("Pools") {
		ids.Pools = append(ids.Pools, winch.PoolID(id))
	}
	o.done()
	return ids
}

func readOrganisation(o *object) winch.Organisation {
	return winch.Organisation{
		ID:         winch.OrganisationID(o.required("ID")),
		Weight:     int(o.integer("Weight")),
		StrictKeys: o.flag("StrictKeys"),
	}
}

func readKey(o *object, secrets bool) winch.Key {
	key := winch.Key{
		ID:           winch.KeyID(o.required("ID")),
		Organisation: winch.OrganisationID(o.required("Organisation")),
	}
	if secrets {
		secret := ""
		if o.decode("Secret", "a string", &secret) {
			if _, both := o.take("Hash"); both || secret == "" {
				o.reader.fail(o.at("Secret"), "must not be empty, nor stand beside Hash")
			}
			key.Hash = winch.HashKey(secret)
			return key
		}
	}
	text := o.required("Hash")
	decoded, err := hex.DecodeString(text)
	if err != nil || len(decoded) != len(key.Hash) {
		o.reader.fail(o.at("Hash"), "must be %d hexadecimal digits", 2*len(key.Hash))
		return key
	}
	copy(key.Hash[:], decoded)
	return key
}

func readClass(o *object) winch.Class {
	return winch.Class{
		ID:               winch.ClassID(o.required("ID")),
		Tier:             winch.Tier(o.integer("Tier")),
		FirstTokenTarget: o.duration("FirstTokenTarget"),
		InterTokenTarget: o.duration("InterTokenTarget"),
		MaxWait:          o.duration("MaxWait"),
		QueueLimit:       int(o.integer("QueueLimit")),
		Floor:            o.number("Floor"),
		Models:           readModels(o),
		Open:             o.flag("Open"),
	}
}

func readRoute(o *object) winch.Route {
	return winch.Route{
		ID:         winch.RouteID(o.required("ID")),
		Class:      winch.ClassID(o.required("Class")),
		Open:       o.flag("Open"),
		Idempotent: o.flag("Idempotent"),
	}
}

func readEndpoint(o *object) winch.Endpoint {
	return winch.Endpoint{
		ID:            winch.EndpointID(o.required("ID")),
		DataCentre:    winch.DataCentreID(o.required("DataCentre")),
		Kind:          winch.EndpointKind(o.required("Kind")),
		Address:       o.required("Address"),
		Models:        readModels(o),
		Routes:        readRoutes(o, "Routes"),
		Classes:       readClasses(o, "Classes"),
		Supply:        winch.Supply(o.required("Supply")),
		Cost:          winch.Cost(o.integer("Cost")),
		ChecksFencing: o.flag("ChecksFencing"),
		SlotLimit:     int(o.integer("SlotLimit")),
		Pool:          winch.PoolID(o.text("Pool")),
	}
}

func readPool(o *object) winch.Pool {
	return winch.Pool{
		ID:            winch.PoolID(o.required("ID")),
		DataCentre:    winch.DataCentreID(o.required("DataCentre")),
		Model:         winch.ModelID(o.required("Model")),
		Adapter:       winch.AdapterID(o.text("Adapter")),
		Version:       winch.ModelVersion(o.text("Version")),
		Classes:       readClasses(o, "Classes"),
		Supply:        winch.Supply(o.required("Supply")),
		Cost:          winch.Cost(o.integer("Cost")),
		Min:           int(o.integer("Min")),
		Max:           int(o.integer("Max")),
		ChecksFencing: o.flag("ChecksFencing"),
		SlotLimit:     int(o.integer("SlotLimit")),
	}
}

func readModels(o *object) []winch.ModelID {
	var ids []winch.ModelID
	for _, id := range o.texts("Models") {
		ids = append(ids, winch.ModelID(id))
	}
	return ids
}

func readClasses(o *object, field string) []winch.ClassID {
	var ids []winch.ClassID
	for _, id := range o.texts(field) {
		ids = append(ids, winch.ClassID(id))
	}
	return ids
}

func readRoutes(o *object, field string) []winch.RouteID {
	var ids []winch.RouteID
	for _, id := range o.texts(field) {
		ids = append(ids, winch.RouteID(id))
	}
	return ids
}
