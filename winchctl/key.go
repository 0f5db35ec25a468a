package main

import (
	"context"
	"crypto/rand"
	"fmt"
	"net/url"
	"os"
	"strings"

	"github.com/google/uuid"

	"github.com/arbutuswinch/winch"
)

type keyCommand struct {
	Add      *addKeyCommand      `arg:"subcommand:add" help:"add a key"`
	Withdraw *withdrawKeyCommand `arg:"subcommand:withdraw" help:"withdraw a key"`
}

func (*keyCommand) run(context.Context, *console) error {
	return fmt.Errorf("key requires the subcommand add or withdraw: %w", errUsage)
}

type addKeyCommand struct {
	waitOptions
	ID           string `arg:"positional,required" help:"id of the key"`
	Organisation string `arg:"positional,required" help:"organisation that the key acts for"`
	KeyFile      string `arg:"--key-file" placeholder:"FILE" help:"file with the caller's secret; without it a secret is generated and printed"`
	Note         string `arg:"--note" placeholder:"ID" help:"id of the note; to repeat a call whose outcome is unknown, pass the same id"`
}

// addKeyRequest is the body of the call. It holds the hash of the secret, and the secret itself
// is never sent.
type addKeyRequest struct {
	Note         winch.NoteID
	ID           winch.KeyID
	Organisation winch.OrganisationID
	Hash         string
}

func (c *addKeyCommand) run(ctx context.Context, console *console) error {
	secret, err := c.secret(console)
	if err != nil {
		return err
	}
	note := noteID(c.Note)
	body := addKeyRequest{
		Note: note, ID: winch.KeyID(c.ID),
		Organisation: winch.OrganisationID(c.Organisation), Hash: winch.HashKey(secret).String(),
	}
	return console.apply(ctx, note, "POST", "/operator/keys", body, c.waitOptions)
}

// secret reads the caller's secret from the key file. Without a key file it generates a
// secret and prints it to standard error, to keep it out of the response on standard output.
func (c *addKeyCommand) secret(console *console) (string, error) {
	if c.KeyFile != "" {
		body, err := os.ReadFile(c.KeyFile)
		secret := strings.TrimSpace(string(body))
		if err != nil || secret == "" {
			return "", fmt.Errorf("read --key-file %s: the file cannot be read or is empty: %w", c.KeyFile, errUsage)
		}
		return secret, nil
	}
	if c.Note != "" {
		return "", fmt.Errorf("--note requires --key-file, because a generated secret would change the note: %w", errUsage)
	}
	secret := rand.Text()
	fmt.Fprintln(console.err, "secret of the new key, shown only once:", secret)
	return secret, nil
}

type withdrawKeyCommand struct {
	waitOptions
	ID   string `arg:"positional,required" help:"id of the key"`
	Note string `arg:"--note" placeholder:"ID" help:"id of the note; to repeat a call whose outcome is unknown, pass the same id"`
}

func (c *withdrawKeyCommand) run(ctx context.Context, console *console) error {
	note := noteID(c.Note)
	path := "/operator/keys/" + url.PathEscape(c.ID) + "?note=" + url.QueryEscape(string(note))
	return console.apply(ctx, note, "DELETE", path, nil, c.waitOptions)
}

// noteID returns the note id, or a new one if it is empty.
func noteID(id string) winch.NoteID {
	if id == "" {
		id = uuid.NewString()
	}
	return winch.NoteID(id)
}
