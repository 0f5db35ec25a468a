package forwarder

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/arbutuswinch/winch"
	"github.com/arbutuswinch/winch/httpjson"
	members "github.com/arbutuswinch/winch/membership/keyvalue"
	memberpeer "github.com/arbutuswinch/winch/membership/peer"
	origins "github.com/arbutuswinch/winch/origin/peer"
	release "github.com/arbutuswinch/winch/release/source"
	"github.com/arbutuswinch/winch/serving/tunnel"
)

const (
	// secretRetryInterval is the interval between attempts to read the shared secret of the hosts.
	secretRetryInterval = 300 * time.Millisecond
	// secretCheckInterval is the shortest time between two checks whether another secret is stored.
	secretCheckInterval = time.Second
	// maxSecrets bounds the secrets that a host accepts: the newest one and former ones, which hosts use until they have read the newest.
	maxSecrets = 4
)

// peers runs the exchange with the other hosts, and the calls about stream origins, the configuration and tunnels, once the shared secret is known. The secret is read
// from the platform's store, which may be unavailable when the host starts. It is read again when a call between hosts is rejected, because a
// store that comes back from an older copy may have lost it and been given another one by a new host: the stored one counts.
type peers struct {
	hosts         *members.Registry
	origins       *origins.Keeper
	configuration *release.Follower
	tunnels       *tunnel.Dialer
	logger        hclog.Logger
	// build creates the exchange with the secret.
	build func(secret string) (*memberpeer.Exchange, error)
	// authenticated is the handler for other hosts, which requires a secret. It is nil until the secret is known.
	authenticated atomic.Pointer[http.Handler]
	// rejected holds an element if a call between hosts was rejected since the secret was last read.
	rejected chan struct{}
}

func newPeers(hosts *members.Registry, keeper *origins.Keeper, configuration *release.Follower, tunnels *tunnel.Dialer, logger hclog.Logger, build func(secret string) (*memberpeer.Exchange, error)) *peers {
	return &peers{hosts: hosts, origins: keeper, configuration: configuration, tunnels: tunnels, logger: logger, build: build, rejected: make(chan struct{}, 1)}
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
	p.connect(exchange, []string{secret})
	checks := sync.WaitGroup{}
	defer checks.Wait()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	checks.Go(func() { p.followSecret(ctx, exchange, secret) })
	return exchange.Run(ctx)
}

// connect uses the first of the secrets for calls of this host, and accepts all of them.
func (p *peers) connect(exchange *memberpeer.Exchange, secrets []string) {
	mux := http.NewServeMux()
	mux.Handle("/peer/", exchange.Handler())
	mux.Handle(origins.Prefix, p.origins.Handler())
	mux.Handle(release.Prefix, p.configuration.Handler())
	mux.Handle(tunnel.Prefix, p.tunnels.Handler())
	handler := httpjson.RequireSecrets(secrets, p.noteRejected, mux)
	p.authenticated.Store(&handler)
	exchange.Connect(secrets[0])
	p.origins.Connect(secrets[0])
	p.configuration.Connect(secrets[0])
	p.tunnels.Connect(secrets[0])
}

// noteRejected makes followSecret read the secret again.
func (p *peers) noteRejected() {
	select {
	case p.rejected <- struct{}{}:
	default:
	}
}

// followSecret reads the secret again after calls between hosts were rejected, and uses it if it is another one, until ctx is done.
func (p *peers) followSecret(ctx context.Context, exchange *memberpeer.Exchange, secret string) {
	secrets := []string{secret}
	ticker := time.NewTicker(secretCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-p.rejected:
		}
		stored, err := p.hosts.Secret(ctx)
		switch {
		case err != nil:
			p.noteRejected()
		case stored != secrets[0]:
			secrets = withNewest(stored, secrets)
			p.logger.Warn("another shared secret is stored", "Event", EventSecretReplaced, "Accepted", len(secrets))
			p.connect(exchange, secrets)
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// withNewest returns the secrets with the newest one in the first place, maxSecrets at most.
func withNewest(newest string, secrets []string) []string {
	kept := []string{newest}
	for _, former := range secrets {
		if former != newest && len(kept) < maxSecrets {
			kept = append(kept, former)
		}
	}
	return kept
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
