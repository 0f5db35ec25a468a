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

// A host that asks for a tunnel with the field says that it reads frames, and one that answers with it sends them. Hosts of former versions
// ignore the field, in both directions. It is no field of connectCall, in which they accept no unknown ones.
const (
	framingHeader = "Winch-Tunnel-Framing"
	// chunkedFraming: what the endpoint sends comes in chunks (RFC 9112, section 7.1), and the last chunk says that the endpoint has closed its
	// connection in order.
	chunkedFraming = "chunked"
)

// endpointRefusedHeader is set in the response of a host whose connection the endpoint has refused. Hosts of former versions neither send nor
// read it.
const endpointRefusedHeader = "Winch-Tunnel-Endpoint-Refused"

// accepted and acceptedFramed are the heads of the responses after which the connection leads to the endpoint.
const (
	acceptedStart  = "HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: " + protocol + "\r\n"
	accepted       = acceptedStart + "\r\n"
	acceptedFramed = acceptedStart + framingHeader + ": " + chunkedFraming + "\r\n\r\n"
)

var (
	// errNotReached: the other host does not reach the endpoint.
	errNotReached = errors.New("the other host does not reach the endpoint")
	// errEndpointRefused: the endpoint has refused the connection of the other host, as it does when no process listens there.
	errEndpointRefused = fmt.Errorf("%w: the endpoint refuses connections", errNotReached)
	// errRefused: the other host opens no tunnel, whether or not it reaches the endpoint.
	errRefused = errors.New("the other host opens no tunnel")
)

// requestTunnel asks the host at the other end of the connection for a tunnel. Without an error, the connection leads to the
// endpoint. It reports whether what the endpoint sends comes in frames.
func requestTunnel(ctx context.Context, conn net.Conn, secret string, call connectCall) (framed bool, err error) {
	deadline, found := ctx.Deadline()
	if found {
		if err := conn.SetDeadline(deadline); err != nil {
			return false, fmt.Errorf("request tunnel: %w: %w", winch.ErrUnavailable, err)
		}
	}
	defer context.AfterFunc(ctx, func() { _ = conn.SetDeadline(time.Unix(1, 0)) })()
	body, err := json.Marshal(call)
	if err != nil {
		return false, fmt.Errorf("encode call: %w", err)
	}
	request, err := http.NewRequest(http.MethodPost, "http://"+conn.RemoteAddr().String()+connectPath, bytes.NewReader(body))
	if err != nil {
		return false, fmt.Errorf("request tunnel: %w", err)
	}
	request.Header.Set("Authorization", "Bearer "+secret)
	request.Header.Set("Connection", "Upgrade")
	request.Header.Set("Upgrade", protocol)
	request.Header.Set(framingHeader, chunkedFraming)
	if err := request.Write(conn); err != nil {
		return false, fmt.Errorf("request tunnel: %w: %w", winch.ErrUnavailable, err)
	}
	if framed, err = readAccepted(conn); err != nil {
		return false, fmt.Errorf("request tunnel: %w: %w", winch.ErrUnavailable, err)
	}
	if ctx.Err() != nil {
		return false, fmt.Errorf("request tunnel: %w: %w", winch.ErrUnavailable, ctx.Err())
	}
	return framed, conn.SetDeadline(time.Time{})
}

// readAccepted reads the head of the response, and reports whether frames follow.
func readAccepted(conn net.Conn) (framed bool, err error) {
	reader := bufio.NewReaderSize(conn, maxHeadBytes)
	response, err := http.ReadResponse(reader, nil)
	switch {
	case err != nil:
		return false, err
	case response.StatusCode == http.StatusBadGateway && response.Header.Get(endpointRefusedHeader) != "":
		return false, errEndpointRefused
	case response.StatusCode == http.StatusBadGateway:
		return false, errNotReached
	case response.StatusCode != http.StatusSwitchingProtocols:
		return false, fmt.Errorf("%w: status %d", errRefused, response.StatusCode)
	case reader.Buffered() > 0:
		// An endpoint does not send anything before it has a request.
		return false, errNotReached
	}
	return isFramed(response.Header), nil
}

func isFramed(header http.Header) bool { return header.Get(framingHeader) == chunkedFraming }
