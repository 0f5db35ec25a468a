package bench

import (
	"fmt"
	"math/rand/v2"
	"net"
)

// Free ports are chosen below the kernel's ephemeral range: an outgoing connection
// could otherwise occupy a chosen port before the process listens on it.
const (
	lowestPort = 19000
	portCount  = 13000
	freeTries  = 200
)

// portCounter allocates addresses on the loopback interface.
type portCounter struct {
	// base is the next port; zero leaves the choice to the kernel.
	base int
	// given holds the addresses that chosen has returned.
	given map[string]bool
}

func newPorts(base int) *portCounter { return &portCounter{base: base, given: map[string]bool{}} }

// next returns the address with the next port. Without a base it returns port 0, for
// which the kernel chooses a port when the process listens.
func (p *portCounter) next() string {
	if p.base == 0 {
		return anyPort
	}
	p.base++
	return fmt.Sprintf("127.0.0.1:%d", p.base-1)
}

// chosen returns the address with the next port. Without a base it returns a port that
// is free now, because hosts need each other's ports in their settings before they start.
func (p *portCounter) chosen() (string, error) {
	if p.base != 0 {
		return p.next(), nil
	}
	for range freeTries {
		listener, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", lowestPort+rand.IntN(portCount)))
		if err != nil {
			continue
		}
		address := listener.Addr().String()
		if err := listener.Close(); err != nil {
			return "", fmt.Errorf("find a free port: %w", err)
		}
		if !p.given[address] {
			p.given[address] = true
			return address, nil
		}
	}
	return "", fmt.Errorf("find a free port: none after %d tries", freeTries)
}
