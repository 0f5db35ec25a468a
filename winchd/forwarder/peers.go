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
)

// secretRetry is the interval between attempts to read the shared secret of the hosts.
const secretRetry = 300 * time.Millisecond

// peers runs the exchange with the other hosts once the shared secret is known.
type peers struct {
	hosts  *members.Registry
	logger hclog.Logger
	build  func(secret string) (*memberpeer.Exchange, error)
	// serving is the handler of the exchange, which requires the secret. It is nil until the secret is known.
	serving atomic.Pointer[http.Handler]
}

func newPeers(hosts *members.Registry, logger hclog.Logger, build func(secret string) (*memberpeer.Exchange, error)) *peers {
	return &peers{hosts: hosts, logger: logger, build: build}
}

// handler serves the other hosts. It rejects their requests until the secret is known.
func (p *peers) handler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		serving := p.serving.Load()
		if serving == nil {
			httpjson.WriteError(w, winch.ErrUnavailable)
			return
		}
		(*serving).ServeHTTP(w, r)
	})
}

// run reads the secret and then runs the exchange until ctx is done.
func (p *peers) run(ctx context.Context) error {
	secret, known := p.secret(ctx)
	if !known {
		return nil
	}
	exchange, err := p.build(secret)
	if err != nil {
		return err
	}
	handler := httpjson.RequireSecret(secret, exchange.Handler())
	p.serving.Store(&handler)
	return exchange.Run(ctx)
}

// secret retries until the secret is known or ctx is done.
func (p *peers) secret(ctx context.Context) (string, bool) {
	ticker := time.NewTicker(secretRetry)
	defer ticker.Stop()
	for tries := 0; ; tries++ {
		secret, err := p.hosts.Secret(ctx)
		if err == nil {
			return secret, true
		}
		if tries == 0 {
			p.logger.Info("shared secret not known yet", "Event", EventSecretUnknown, "Error", err)
		}
		select {
		case <-ctx.Done():
			return "", false
		case <-ticker.C:
		}
	}
}
