package bench

import (
	"fmt"
	"math/rand/v2"
	"net"
)

// The ports from which free ones are chosen lie below those that the kernel gives
// to outgoing connections, which would take them until the process listens.
const (
	lowestPort = 19000
	portCount  = 13000
	freeTries  = 200
)

// portCounter gives addresses on the loopback.
type portCounter struct {
	base int
	// given are the addresses that were chosen before.
	given map[string]bool
}

func newPorts(base int) *portCounter { return &portCounter{base: base, given: map[string]bool{}} }

// next returns the next port, or one that the kernel will choose.
func (p *portCounter) next() string {
	if p.base == 0 {
		return anyPort
	}
	p.base++
	return fmt.Sprintf("127.0.0.1:%d", p.base-1)
}

// chosen returns the next port, or one that is free now, for processes whose
// settings name each other's ports.
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
