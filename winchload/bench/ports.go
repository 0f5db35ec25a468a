package bench

import (
	"fmt"
	"math/rand/v2"
	"net"
)

// Free ports are chosen below the kernel's ephemeral range: an outgoing connection
// could otherwise occupy a chosen port before the process listens on it.
const (
	minPort         = 19000
	portCount       = 13000
	maxPortAttempts = 200
)

// portAllocator allocates addresses on the loopback interface.
type portAllocator struct {
	// base is the next port; zero leaves the choice to the kernel.
	base int
	// used holds the addresses that freeAddress has returned.
	used map[string]bool
}

func newPorts(base int) *portAllocator { return &portAllocator{base: base, used: map[string]bool{}} }

// nextAddress returns the address with the next port. Without a base it returns port 0, for
// which the kernel chooses a port when the process listens.
func (p *portAllocator) nextAddress() string {
	if p.base == 0 {
		return anyPortAddress
	}
	p.base++
	return fmt.Sprintf("127.0.0.1:%d", p.base-1)
}

// freeAddress returns the address with the next port. Without a base it returns a port that
// is free now, because hosts need each other's ports in their settings before they start.
func (p *portAllocator) freeAddress() (string, error) {
	if p.base != 0 {
		return p.nextAddress(), nil
	}
	for range maxPortAttempts {
		listener, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", minPort+rand.IntN(portCount)))
		if err != nil {
			continue
		}
		address := listener.Addr().String()
		if err := listener.Close(); err != nil {
			return "", fmt.Errorf("find a free port: %w", err)
		}
		if !p.used[address] {
			p.used[address] = true
			return address, nil
		}
	}
	return "", fmt.Errorf("find a free port: none found after %d attempts", maxPortAttempts)
}
