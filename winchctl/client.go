package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/netip"
	"os"
	"strings"

	"github.com/arbutuswinch/winch"
	"github.com/arbutuswinch/winch/httpjson"
)

// failoverClient is a client for the operators' API that tries one host after another.
type failoverClient struct {
	clients   []*httpjson.Client
	addresses []string
}

func newClient(options options) (*failoverClient, error) {
	secret := options.SecretFromEnvironment
	if options.SecretFile != "" {
		body, err := os.ReadFile(options.SecretFile)
		if err != nil {
			return nil, fmt.Errorf("read --secret: %w: %w", errUsage, err)
		}
		secret = strings.TrimSpace(string(body))
	}
	if secret == "" {
		return nil, fmt.Errorf("--secret or WINCH_SECRET is missing: %w", errUsage)
	}
	if len(options.Address) == 0 {
		return nil, fmt.Errorf("--address or WINCH_ADDRESS is missing: %w", errUsage)
	}
	f := &failoverClient{addresses: options.Address}
	for _, address := range options.Address {
		if _, err := netip.ParseAddrPort(address); err != nil {
			return nil, fmt.Errorf("--address %q is not an IP address and port: %w", address, errUsage)
		}
		client, err := httpjson.NewClient(httpjson.Options{Address: address, Secret: secret, Timeout: options.Timeout})
		if err != nil {
			return nil, err
		}
		f.clients = append(f.clients, client)
	}
	return f, nil
}

// call sends the call to one host after another until one answers. Repeating a call is
// safe: it either only reads, or commits a note with a fixed id.
func (f *failoverClient) call(ctx context.Context, method, path string, in any) (json.RawMessage, error) {
	failures, outcomeUnknown := []error{}, false
	for i, client := range f.clients {
		var response json.RawMessage
		err := client.Do(ctx, method, path, in, &response)
		if err == nil {
			return response, nil
		}
		err = fmt.Errorf("%s: %w", f.addresses[i], err)
		if !retriable(err) {
			return nil, err
		}
		outcomeUnknown = outcomeUnknown || errors.Is(err, winch.ErrOutcomeUnknown)
		failures = append(failures, err)
	}
	err := errors.Join(failures...)
	if outcomeUnknown && method != "GET" {
		return nil, fmt.Errorf("outcome unknown, the note may be committed; repeat the command with the same note id (for a key with --note, and for a generated secret with that secret in --key-file): %w", err)
	}
	return nil, err
}

// retriable reports whether the failed call may succeed at another host or later.
func retriable(err error) bool {
	return errors.Is(err, winch.ErrUnavailable) || errors.Is(err, winch.ErrOutcomeUnknown) || errors.Is(err, winch.ErrRateLimited)
}
