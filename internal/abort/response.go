// Package abort ends responses that cannot be completed, so that no client takes what it got for the whole.
//
// A response that ends with its connection needs more: until it is whole, whatever closes the connection has to reset it, the kernel
// included, which closes the connections of a process that is killed.
//
// # Usage
//
//	server := &http.Server{Handler: handler, ConnContext: abort.WithConnection}
//	...
//	abort.ResetOnClose(r.Context()) // The response is about to begin, without a length and chunks.
//	if err := relay(w, body); err != nil {
//		abort.Response(w, r) // Does not return.
//	}
//	if err := http.NewResponseController(w).Flush(); err == nil {
//		abort.CloseInOrder(r.Context()) // All of it is written.
//	}
package abort

import (
	"context"
	"net"
	"net/http"
)

// Response ends the handler of the request and its connection without completing the response. It does not return.
//
// A response with a length or with chunks is visibly incomplete when its connection is closed. One that ends with its connection, as
// clients of HTTP/1.0 get it, would look complete, because net/http closes the connections of aborted handlers in order; it is reset instead.
// Bytes that the client's kernel has not acknowledged are lost with it.
func Response(w http.ResponseWriter, r *http.Request) {
	if endsWithConnection(w, r) {
		reset(w)
	}
	panic(http.ErrAbortHandler)
}

// endsWithConnection reports whether only the end of the connection tells the end of the response.
func endsWithConnection(w http.ResponseWriter, r *http.Request) bool {
	if w.Header().Get("Content-Length") != "" {
		return false
	}
	// net/http uses chunks from HTTP/1.1 on, unless the handler names a coding itself.
	return !r.ProtoAtLeast(1, 1) || w.Header().Get("Transfer-Encoding") != ""
}

// reset resets the connection of the response. Writers that cannot be hijacked are those of tests.
func reset(w http.ResponseWriter) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	if tcp := tcpOf(conn); tcp != nil {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}

// connectionKey is the key of the connection in the contexts of its requests.
type connectionKey struct{}

// WithConnection is the ConnContext of a server whose handlers call ResetOnClose.
func WithConnection(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connectionKey{}, conn)
}

// ResetOnClose makes the kernel reset the connection of the request when it is closed, also at the end of the process. It has no effect without
// WithConnection, or if the connection is not a TCP connection.
func ResetOnClose(ctx context.Context) { setLinger(ctx, 0) }

// CloseInOrder undoes ResetOnClose.
func CloseInOrder(ctx context.Context) { setLinger(ctx, -1) }

func setLinger(ctx context.Context, seconds int) {
	conn, found := ctx.Value(connectionKey{}).(net.Conn)
	if !found {
		return
	}
	if tcp := tcpOf(conn); tcp != nil {
		// It fails only if the connection is closed.
		_ = tcp.SetLinger(seconds)
	}
}

// tcpOf returns the TCP connection below the connection, or nil.
func tcpOf(conn net.Conn) *net.TCPConn {
	for {
		wrapped, found := conn.(interface{ NetConn() net.Conn })
		if !found {
			break
		}
		conn = wrapped.NetConn()
	}
	tcp, _ := conn.(*net.TCPConn)
	return tcp
}
