// Package platform reads the list of live and leaving hosts from the platform. The list may
// lag behind.
//
// # Usage
//
//	hosts, err := platform.New(platform.Options{Address: "127.0.0.1:7003"})
//	if err != nil {
//		return err
//	}
//	listed, err := hosts.List(ctx)
package platform

import (
	"context"
	"fmt"
	"time"

	"github.com/arbutuswinch/winch"
	"github.com/arbutuswinch/winch/httpjson"
)

const stateLeaving = "leaving"

// Options are the settings of a Client.
type Options struct {
	// Address is the IP address and port of the platform's host list.
	Address string
	// Timeout is the timeout of a call; zero means two seconds.
	Timeout time.Duration
}

// Client reads the host list from the platform.
type Client struct {
	http *httpjson.Client
}

type hostEntry struct {
	ID          string
	DataCentre  string
	PeerAddress string
	State       string
}

type hostsResponse struct {
	// AsOf is the time of the list. It is not used.
	AsOf  time.Time
	Hosts []hostEntry
}

// New returns a client for the host list at options.Address.
func New(options Options) (*Client, error) {
	client, err := httpjson.NewClient(httpjson.Options{Address: options.Address, Timeout: options.Timeout})
	if err != nil {
		return nil, fmt.Errorf("create host list client: %w", err)
	}
	return &Client{http: client}, nil
}

// List returns the hosts that the platform published last. It returns the errors of httpjson.
func (c *Client) List(ctx context.Context) ([]winch.Host, error) {
	response := hostsResponse{}
	if err := c.http.Fetch(ctx, "/v1/hosts", &response); err != nil {
		return nil, fmt.Errorf("list hosts: %w", err)
	}
	hosts := make([]winch.Host, 0, len(response.Hosts))
	for _, entry := range response.Hosts {
		hosts = append(hosts, winch.Host{
			ID:          winch.HostID(entry.ID),
			DataCentre:  winch.DataCentreID(entry.DataCentre),
			PeerAddress: entry.PeerAddress,
			Leaving:     entry.State == stateLeaving,
		})
	}
	return hosts, nil
}
