package bench

import (
	"fmt"
	"net"
)

// portCounter gives addresses on the loopback.
type portCounter struct{ base int }

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
	listener, err := net.Listen("tcp", anyPort)
	if err != nil {
		return "", fmt.Errorf("find a free port: %w", err)
	}
	address := listener.Addr().String()
	if err := listener.Close(); err != nil {
		return "", fmt.Errorf("find a free port: %w", err)
	}
	return address, nil
}
