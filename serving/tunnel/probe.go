package tunnel

import (
	"context"
	"errors"
	"slices"

	"golang.org/x/sys/unix"

	"github.com/arbutuswinch/winch"
)

// Refuses implements winch.ConnectionProber. A refusal counts only if no other host reaches the endpoint: a link that rejects traffic looks
// like an endpoint that has ended. While the endpoint is on a detour, the other hosts are asked first.
func (d *Dialer) Refuses(ctx context.Context, address string) bool {
	limited, cancel := context.WithTimeout(ctx, d.options.DialTimeout)
	defer cancel()
	endpoint, listed := d.endpointAt(address)
	if !listed || d.secret.Load() == nil {
		return d.refusesDirectly(limited, address)
	}
	if d.paths.isDetour(endpoint) {
		if word := d.askOthers(limited, endpoint, address); word != wordNone {
			return word == wordRefuses
		}
	}
	return d.refusesDirectly(limited, address) && d.askOthers(limited, endpoint, address) != wordReached
}

// endpointAt returns the listed endpoint with the address.
func (d *Dialer) endpointAt(address string) (winch.EndpointID, bool) {
	statuses := d.options.Endpoints.Endpoints()
	index := slices.IndexFunc(statuses, func(status winch.EndpointStatus) bool { return status.Endpoint.Address == address })
	if index < 0 {
		return "", false
	}
	return statuses[index].Endpoint.ID, true
}

func (d *Dialer) refusesDirectly(ctx context.Context, address string) bool {
	tcp, err := d.dial(ctx, address)
	if err == nil {
		_ = tcp.Close()
	}
	return errors.Is(err, unix.ECONNREFUSED)
}

// othersWord is what the other hosts report of an endpoint.
type othersWord int

const (
	// wordNone: none of them has got an answer of the endpoint.
	wordNone othersWord = iota
	// wordRefuses: the endpoint refuses connections, and none of them reaches it.
	wordRefuses
	// wordReached: one of them has connected to the endpoint.
	wordReached
)

// askOthers asks other hosts to connect to the endpoint.
func (d *Dialer) askOthers(ctx context.Context, endpoint winch.EndpointID, address string) othersWord {
	call, word := connectCall{Endpoint: string(endpoint), Address: address}, wordNone
	for _, host := range d.hosts.choose(d.now()) {
		connection, err := d.tunnelThrough(ctx, host, call)
		switch {
		case err == nil:
			reset(connection.TCPConn)
			return wordReached
		case errors.Is(err, errEndpointRefused):
			word = wordRefuses
		}
	}
	return word
}
