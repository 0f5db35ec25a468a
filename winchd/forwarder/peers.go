package forwarder

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/arbutuswinch/winch"
	"github.com/arbutuswinch/winch/httpjson"
	members "github.com/arbutuswinch/winch/membership/keyvalue"
	memberpeer "github.com/arbutuswinch/winch/membership/peer"
	origins "github.com/arbutuswinch/winch/origin/peer"
	release "github.com/arbutuswinch/winch/release/source"
)

// secretRetryInterval is the interval between attempts to read the shared secret of the hosts.
const secretRetryInterval = 300 * time.Millisecond

// peers runs the exchange with the other hosts, and the calls about stream origins and the configuration, once the shared secret is known. The secret is read
// from the platform's store, which may be unavailable when the host starts.
type peers struct {
	hosts         *members.Registry
	origins       *origins.Keeper
	configuration *release.Follower
	logger        hclog.Logger
	// build creates the exchange with the secret.
	build func(secret string) (*memberpeer.Exchange, error)
	// authenticated is the handler for other hosts, which requires the secret. It is nil until the secret is known.
	authenticated atomic.Pointer[http.Handler]
}

func newPeers(hosts *members.Registry, keeper *origins.Keeper, configuration *release.Follower, logger hclog.Logger, build func(secret string) (*memberpeer.Exchange, error)) *peers {
	return &peers{hosts: hosts, origins: keeper, configuration: configuration, logger: logger, build: build}
}

// handler serves the other hosts. It rejects their requests until the secret is known.
func (p *peers) handler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		handler := p.authenticated.Load()
		if handler == nil {
			httpjson.WriteError(w, winch.ErrUnavailable)
			return
		}
		(*handler).ServeHTTP(w, r)
	})
}

// run reads the secret and then runs the exchange until ctx is done.
func (p *peers) run(ctx context.Context) error {
	secret, known := p.readSecret(ctx)
	if !known {
		return nil
	}
	exchange, err := p.build(secret)
	if err != nil {
		return err
	}
	mux := http.NewServeMux()
	mux.Handle("/peer/", exchange.Handler())
	mux.Handle(origins.Prefix, p.origins.Handler())
	mux.Handle(release.Prefix, p.configuration.Handler())
	handler := httpjson.RequireSecret(secret, mux)
	p.authenticated.Store(&handler)
	p.origins.Connect(secret)
	p.configuration.Connect(secret)
	return exchange.Run(ctx)
}

// readSecret retries until the secret is known or ctx is done. Only the first failure is logged.
func (p *peers) readSecret(ctx context.Context) (string, bool) {
	ticker := time.NewTicker(secretRetryInterval)
	defer ticker.Stop()
	for attempts := 0; ; attempts++ {
		secret, err := p.hosts.Secret(ctx)
		if err == nil {
			return secret, true
		}
		if attempts == 0 {
			p.logger.Info("shared secret not available yet", "Event", EventSecretUnknown, "Error", err)
		}
		select {
		case <-ctx.Done():
			return "", false
		case <-ticker.C:
		}
	}
}
