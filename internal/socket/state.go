package socket

import (
	"syscall"

	"golang.org/x/sys/unix"
)

// TCPState is the state of a TCP connection in the kernel.
type TCPState uint8

// StateCloseWait says that the peer has closed its side in order and that the connection was not reset since.
const StateCloseWait TCPState = 8

// State returns the state of the connection.
func State(conn syscall.Conn) (TCPState, error) {
	var info *unix.TCPInfo
	err := Control(conn, func(fd int) (err error) {
		info, err = unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO)
		return err
	})
	if err != nil {
		return 0, err
	}
	return TCPState(info.State), nil
}
