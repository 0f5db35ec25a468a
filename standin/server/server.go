// Package server runs an HTTP server that can refuse connections for a while, as if its
// process had stopped.
//
// # Usage
//
//	running, err := server.Start("127.0.0.1:0", handler)
//	if err != nil {
//		return err
//	}
//	running.Refuse()  // closes the listener and all connections
//	err = running.Restore()
//
// It uses net/http without a framework, because the stand-ins must use little CPU beside the
// program that they are used to measure.
package server

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"time"
)

const headerTimeout = 10 * time.Second

// Server is a running HTTP server.
type Server struct {
	listener *listener
	http     *http.Server
}

// Start listens at the address, an IP address and port, and serves in the background.
func Start(address string, handler http.Handler) (*Server, error) {
	bound, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	s := &Server{
		listener: newListener(bound),
		http:     &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout},
	}
	go func() { _ = s.http.Serve(s.listener) }()
	return s, nil
}

// Address returns the IP address and port.
func (s *Server) Address() string { return s.listener.address.String() }

// Refuse closes the listener and resets all connections.
func (s *Server) Refuse() { s.listener.refuse() }

// Restore listens again at the same address.
func (s *Server) Restore() error { return s.listener.restore() }

// Stop shuts the server down when its requests have completed, or at the latest when ctx is done.
func (s *Server) Stop(ctx context.Context) error {
	if err := s.http.Shutdown(ctx); err != nil {
		_ = s.http.Close()
		return fmt.Errorf("stop server: %w", err)
	}
	return nil
}
