package tunnel

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/arbutuswinch/winch"
)

const (
	// Prefix is the path prefix of the calls between hosts.
	Prefix      = "/peer/tunnel/"
	connectPath = Prefix + "connect"
	// protocol is the value of the header Upgrade.
	protocol = "winch-tunnel"
	// maxCallBytes bounds the body of a call, and maxHeadBytes the head of its response.
	maxCallBytes = 1 << 10
	maxHeadBytes = 4 << 10
)

// connectCall asks for a tunnel to an endpoint.
type connectCall struct {
	Endpoint string
	// Address is the IP address and port of the endpoint.
	Address string
}

// accepted is the head of the response after which the connection leads to the endpoint.
const accepted = "HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: " + protocol + "\r\n\r\n"

var (
	// errNotReached: the other host does not reach the endpoint.
	errNotReached = errors.New("the other host does not reach the endpoint")
	// errRefused: the other host opens no tunnel, whether or not it reaches the endpoint.
	errRefused = errors.New("the other host opens no tunnel")
)

// requestTunnel asks the host at the other end of the connection for a tunnel. Without an error, the connection leads to the endpoint.
func requestTunnel(ctx context.Context, conn net.Conn, secret string, call connectCall) error {
	deadline, found := ctx.Deadline()
	if found {
		if err := conn.SetDeadline(deadline); err != nil {
			return fmt.Errorf("request tunnel: %w: %w", winch.ErrUnavailable, err)
		}
	}
	defer context.AfterFunc(ctx, func() { _ = conn.SetDeadline(time.Unix(1, 0)) })()
	body, err := json.Marshal(call)
	if err != nil {
		return fmt.Errorf("encode call: %w", err)
	}
	request, err := http.NewRequest(http.MethodPost, "http://"+conn.RemoteAddr().String()+connectPath, bytes.NewReader(body))
	if err != nil {
		return fmt.Errorf("request tunnel: %w", err)
	}
	request.Header.Set("Authorization", "Bearer "+secret)
	request.Header.Set("Connection", "Upgrade")
	request.Header.Set("Upgrade", protocol)
	if err := request.Write(conn); err != nil {
		return fmt.Errorf("request tunnel: %w: %w", winch.ErrUnavailable, err)
	}
	if err := readAccepted(conn); err != nil {
		return fmt.Errorf("request tunnel: %w: %w", winch.ErrUnavailable, err)
	}
	if ctx.Err() != nil {
		return fmt.Errorf("request tunnel: %w: %w", winch.ErrUnavailable, ctx.Err())
	}
	return conn.SetDeadline(time.Time{})
}

// readAccepted reads the head of the response.
func readAccepted(conn net.Conn) error {
	reader := bufio.NewReaderSize(conn, maxHeadBytes)
	response, err := http.ReadResponse(reader, nil)
	switch {
	case err != nil:
		return err
	case response.StatusCode == http.StatusBadGateway:
		return errNotReached
	case response.StatusCode != http.StatusSwitchingProtocols:
		return fmt.Errorf("%w: status %d", errRefused, response.StatusCode)
	case reader.Buffered() > 0:
		// An endpoint does not send anything before it has a request.
		return errNotReached
	}
	return nil
}
