package main

import (
	"context"
	"encoding/json"

	"github.com/arbutuswinch/winch"
	"github.com/arbutuswinch/winch/release"
)

type evacuateCommand struct {
	waitOptions
	DataCentre string `arg:"positional,required" placeholder:"DATA-CENTRE" help:"data centre whose endpoints get no more requests"`
	End        bool   `arg:"--end" help:"end the evacuation: its endpoints get requests again"`
	Note       string `arg:"--note" placeholder:"ID" help:"id of the note; to repeat a call whose outcome is unknown, pass the same id"`
}

func (c *evacuateCommand) run(ctx context.Context, console *console) error {
	note, err := release.EncodeNote(c.note())
	if err != nil {
		return err
	}
	// Decoding checks the name of the data centre.
	decoded, err := release.DecodeNote(note)
	if err != nil {
		return err
	}
	return console.apply(ctx, decoded.ID, "POST", "/operator/notes", json.RawMessage(note), c.waitOptions)
}

func (c *evacuateCommand) note() winch.Note {
	note, centre := winch.Note{ID: noteID(c.Note)}, winch.DataCentreID(c.DataCentre)
	if c.End {
		note.Withdrawn.Evacuations = []winch.DataCentreID{centre}
	} else {
		note.Added.Evacuations = []winch.Evacuation{{DataCentre: centre}}
	}
	return note
}
