// Package server runs a stand-in's HTTP server so that it can refuse connections
// for a while, as a stopped process would.
//
// # Usage
//
//	running, err := server.Start("127.0.0.1:0", handler)
//	if err != nil {
//		return err
//	}
//	running.Refuse()  // listener and connections are closed
//	err = running.Restore()
//
// The net/http server is used without a framework, since the stand-ins must cost
// little beside what they are used to measure.
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

// Start listens at the address, an IP number and port, and serves.
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

// Address returns the IP number and port.
func (s *Server) Address() string { return s.listener.address.String() }

// Refuse closes the listener and all connections at once.
func (s *Server) Refuse() { s.listener.refuse() }

// Restore listens again at the same address.
func (s *Server) Restore() error { return s.listener.restore() }

// Stop ends the server once its calls are answered, or when ctx is over.
func (s *Server) Stop(ctx context.Context) error {
	if err := s.http.Shutdown(ctx); err != nil {
		_ = s.http.Close()
		return fmt.Errorf("stop server: %w", err)
	}
	return nil
}
