package httpjson

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
)

// Traffic counts the bytes sent and received on its connections, including headers.
type Traffic struct {
	sent     atomic.Int64
	received atomic.Int64
}

// Sent returns the number of bytes written so far.
func (t *Traffic) Sent() int64 { return t.sent.Load() }

// Received returns the number of bytes read so far.
func (t *Traffic) Received() int64 { return t.received.Load() }

// Transport returns a transport whose connections are counted. Connections use
// source as local IP address, unless it is empty.
func (t *Traffic) Transport(source string) *http.Transport {
	transport := newTransport(source)
	dial := transport.DialContext
	transport.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &countedConn{Conn: conn, traffic: t}, nil
	}
	return transport
}

// Listener returns a listener whose connections are counted.
func (t *Traffic) Listener(listener net.Listener) net.Listener {
	return &countedListener{Listener: listener, traffic: t}
}

type countedListener struct {
	net.Listener
	traffic *Traffic
}

// NetListener returns the listener whose connections are counted.
func (l *countedListener) NetListener() net.Listener { return l.Listener }

func (l *countedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &countedConn{Conn: conn, traffic: l.traffic}, nil
}

type countedConn struct {
	net.Conn
	traffic *Traffic
}

// NetConn returns the connection whose bytes are counted.
func (c *countedConn) NetConn() net.Conn { return c.Conn }

func (c *countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.traffic.received.Add(int64(n))
	return n, err
}

func (c *countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.traffic.sent.Add(int64(n))
	return n, err
}
