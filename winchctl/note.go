package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/url"
	"os"
	"strings"
	"time"

	"github.com/arbutuswinch/winch"
	"github.com/arbutuswinch/winch/release"
)

const (
	pollPeriod = time.Second
)

type noteCommand struct {
	Check  *checkCommand  `arg:"subcommand:check" help:"check a note file against the configuration in force without committing it"`
	Apply  *applyCommand  `arg:"subcommand:apply" help:"commit a note"`
	Status *statusCommand `arg:"subcommand:status" help:"show the status of a note"`
}

func (*noteCommand) run(context.Context, *console) error {
	return fmt.Errorf("note requires the subcommand check, apply or status: %w", errUsage)
}

type checkCommand struct {
	File string `arg:"positional,required" help:"note file, or - for standard input; a key may contain Secret instead of Hash, and the secret is hashed before it is sent"`
}

func (c *checkCommand) run(ctx context.Context, console *console) error {
	_, encoded, err := console.readNote(c.File)
	if err != nil {
		return err
	}
	response, err := console.client.call(ctx, "POST", "/operator/notes/check", encoded)
	if err != nil {
		return err
	}
	return console.show(response)
}

type waitOptions struct {
	Wait    bool          `arg:"--wait" help:"wait until the note is accepted and print its progress"`
	WaitFor time.Duration `arg:"--wait-for" default:"10m" help:"maximum time to wait"`
}

type applyCommand struct {
	waitOptions
	File string `arg:"positional,required" help:"note file, or - for standard input; a key may contain Secret instead of Hash, and the secret is hashed before it is sent"`
}

func (c *applyCommand) run(ctx context.Context, console *console) error {
	note, encoded, err := console.readNote(c.File)
	if err != nil {
		return err
	}
	return console.apply(ctx, note.ID, "POST", "/operator/notes", encoded, c.waitOptions)
}

type statusCommand struct {
	waitOptions
	ID string `arg:"positional,required" help:"id of the note"`
}

func (c *statusCommand) run(ctx context.Context, console *console) error {
	if c.Wait {
		return console.waitUntilAccepted(ctx, winch.NoteID(c.ID), c.WaitFor)
	}
	response, err := console.client.call(ctx, "GET", notePath(winch.NoteID(c.ID)), nil)
	if err != nil {
		return err
	}
	return console.show(response)
}

func notePath(id winch.NoteID) string { return "/operator/notes/" + url.PathEscape(string(id)) }

// readNote reads a note file. The returned note and its encoded form hold hashes in place
// of secrets, so that no secret leaves this machine.
func (c *console) readNote(file string) (winch.Note, json.RawMessage, error) {
	var body []byte
	var err error
	if file == "-" {
		// One byte more than allowed, so that DecodeNoteFile rejects a longer note instead of
		// reading a truncated one.
		body, err = io.ReadAll(io.LimitReader(c.in, release.MaxNoteSize+1))
	} else {
		body, err = os.ReadFile(file)
	}
	if err != nil {
		return winch.Note{}, nil, fmt.Errorf("read note: %w: %w", winch.ErrInvalid, err)
	}
	note, err := release.DecodeNoteFile(body)
	if err != nil {
		return note, nil, err
	}
	encoded, err := release.EncodeNote(note)
	return note, encoded, err
}

// apply commits a note and prints the response or, with --wait, waits until it is
// accepted.
func (c *console) apply(ctx context.Context, id winch.NoteID, method, path string, in any, wait waitOptions) error {
	response, err := c.client.call(ctx, method, path, in)
	if err != nil {
		return fmt.Errorf("note %s: %w", id, err)
	}
	if wait.Wait {
		return c.waitUntilAccepted(ctx, id, wait.WaitFor)
	}
	return c.show(response)
}

// noteStatus is the operators' API's response to a query for a note's status. A note that has a status
// is committed. It then comes into force in each data centre, and is accepted once no host may still
// accept keys by an older revision.
type noteStatus struct {
	Revision winch.Revision
	Accepted bool
	Centres  []centreStatus
}

// centreStatus is the status of a note in one data centre.
type centreStatus struct {
	DataCentre winch.DataCentreID
	// InForce is set if a majority of the data centre's hosts hold the note's revision.
	InForce bool
	// Behind are some of the hosts that are not known to hold the revision of their hub.
	Behind []winch.HostID
	// Until is the end of the time in which hosts of the data centre may still accept keys by an
	// older revision. It is zero if that is not known.
	Until time.Time
}

// progressLine describes the note's progress in one line.
func (s noteStatus) progressLine() string {
	if s.Accepted {
		return fmt.Sprintf("revision %d: accepted", s.Revision)
	}
	inForce, pending := 0, []string{}
	for _, centre := range s.Centres {
		if centre.InForce {
			inForce++
			continue
		}
		wait := string(centre.DataCentre)
		if !centre.Until.IsZero() {
			wait += " until " + centre.Until.Local().Format(time.TimeOnly)
		}
		pending = append(pending, wait)
	}
	line := fmt.Sprintf("revision %d: committed, in force in %d of %d data centres", s.Revision, inForce, len(s.Centres))
	if len(s.Centres) == 0 {
		line = fmt.Sprintf("revision %d: committed", s.Revision)
	}
	if len(pending) > 0 {
		line += ", waiting for " + strings.Join(pending, ", ")
	}
	return line
}

// waitUntilAccepted polls the note's status and prints its changes until the note is accepted. It
// keeps polling after errors that may go away. If the timeout passes or the command is interrupted, the
// error is winch.ErrOutcomeUnknown, because the note may still be accepted.
func (c *console) waitUntilAccepted(ctx context.Context, id winch.NoteID, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	shown := ""
	for {
		response, err := c.client.call(ctx, "GET", notePath(id), nil)
		status := noteStatus{}
		if err == nil {
			err = json.Unmarshal(response, &status)
		}
		if err != nil && !retriable(err) {
			return err
		}
		line := status.progressLine()
		if err != nil {
			line = "status not known, trying again"
		}
		if line != shown && !c.options.JSON {
			fmt.Fprintln(c.out, line)
			shown = line
		}
		if status.Accepted {
			if c.options.JSON {
				return c.show(response)
			}
			return nil
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("note %s: stopped waiting before it was accepted: %w", id, winch.ErrOutcomeUnknown)
		case <-time.After(pollPeriod):
		}
	}
}
