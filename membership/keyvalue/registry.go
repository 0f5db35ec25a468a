// Package keyvalue keeps the list of hosts in the key-value service. Each host registers
// itself with a leased entry and reads the entries of the others.
//
// The key-value service also holds the secret with which the hosts authenticate to each other.
// The first host creates it. If the service has lost it, a host that knows it stores it again.
//
// # Usage
//
//	registry, err := keyvalue.New(keyvalue.Options{Store: store, Self: self, Logger: logger})
//	if err != nil {
//		return err
//	}
//	go registry.Run(ctx)
//	hosts, err := registry.List(ctx)
//
// A Registry implements peer.HostLister.
package keyvalue

import (
	"cmp"
	"context"
	"crypto/rand"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/arbutuswinch/winch"
	"github.com/arbutuswinch/winch/internal/dependency"
	"github.com/arbutuswinch/winch/internal/periodic"
)

const (
	hostPrefix = "hosts/"
	secretKey  = "peers/secret"

	defaultTTL = 12 * time.Second
	// renewalsPerTTL is how often the lease of an entry is renewed within its TTL.
	renewalsPerTTL = 4
	// removeTimeout is the timeout for removing the entry when Run ends.
	removeTimeout = time.Second
)

// Options are the settings of a registry. All fields but Eras and TTL are required.
type Options struct {
	Store winch.LeasedKeyValue
	// Eras tells that Store came back from an older copy. If it is nil, it never does.
	Eras winch.EraSource
	Self winch.Host
	// TTL is how long the entry remains after the host has last renewed it; zero means 12 s.
	TTL    time.Duration
	Logger hclog.Logger
}

// Registry registers this host and lists all hosts. Run must be called once.
type Registry struct {
	options Options
	// lease is zero while the host is not registered, and version is that of its entry. Only Run uses them.
	lease   winch.LeaseID
	version winch.Version
	// failures logs failures to register or renew, and the first success after them. Only
	// Run uses it.
	failures *dependency.Dependency

	mu sync.Mutex
	// secret is the shared secret that was stored last as far as this host knows. It is empty before it was read.
	secret string
}

// New returns a registry. It does not register the host before Run is called.
func New(options Options) (*Registry, error) {
	if options.Store == nil || options.Logger == nil || options.Self.ID == "" {
		return nil, fmt.Errorf("create host registry: Store, Self and Logger are required: %w", winch.ErrInvalid)
	}
	options.TTL = cmp.Or(options.TTL, defaultTTL)
	return &Registry{
		options: options, failures: dependency.New("host entry", options.Logger, EventEntryFailed, EventEntryRestored),
	}, nil
}

// Run keeps the host registered until ctx ends, and then removes its entry. It returns nil.
func (r *Registry) Run(ctx context.Context) error {
	// err is always nil: periodic.Run ends only because ctx has ended.
	err := periodic.Run(ctx, r.options.TTL/renewalsPerTTL, r.keepRegistered)
	removeCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), removeTimeout)
	defer cancel()
	if err := r.remove(removeCtx); err != nil {
		r.options.Logger.Info("could not remove host entry, it expires with its lease", "Event", EventEntryFailed, "Error", err)
	}
	return err
}

// remove ends the lease, if it is still this host's.
func (r *Registry) remove(ctx context.Context) error {
	if err := r.confirm(ctx); err != nil || r.lease == 0 {
		return err
	}
	return r.options.Store.End(ctx, r.lease)
}

// keepRegistered calls renewOrRegister and logs its failures and the first success after them.
func (r *Registry) keepRegistered(ctx context.Context) { r.failures.Note(r.renewOrRegister(ctx)) }

// renewOrRegister renews the lease of the entry, or registers the host if there is no entry. If a new era of the store has begun, the
// lease may be lost or another's, which its renewal does not show.
func (r *Registry) renewOrRegister(ctx context.Context) error {
	if err := r.renew(ctx); err != nil {
		return err
	}
	if r.version != 0 && r.options.Eras != nil && r.era() != r.version.Era() {
		if err := r.restoreSecret(ctx); err != nil {
			return err
		}
		if err := r.confirm(ctx); err != nil {
			return err
		}
	}
	if r.lease != 0 {
		return nil
	}
	return r.register(ctx)
}

// restoreSecret stores the secret that this host knows, if none is stored, before a new host creates another one.
func (r *Registry) restoreSecret(ctx context.Context) error {
	r.mu.Lock()
	known := r.secret != ""
	r.mu.Unlock()
	if !known {
		return nil
	}
	_, err := r.Secret(ctx)
	return err
}

// renew renews the lease. It sets it to zero if it has ended.
func (r *Registry) renew(ctx context.Context) error {
	if r.lease == 0 {
		return nil
	}
	err := r.options.Store.Renew(ctx, r.lease)
	if errors.Is(err, winch.ErrNotFound) {
		r.lease = 0
		return nil
	}
	return err
}

// confirm reads the entry of this host. It sets the lease to zero unless the entry is the one that this host wrote: the store then has
// that write, and so the lease, which is older.
func (r *Registry) confirm(ctx context.Context) error {
	if r.lease == 0 {
		return nil
	}
	entry, err := r.options.Store.Get(ctx, r.key())
	if err != nil && !errors.Is(err, winch.ErrNotFound) {
		return err
	}
	if err != nil || entry.Version.Revision() != r.version.Revision() {
		r.lease = 0
		return nil
	}
	r.version = entry.Version
	return nil
}

// era returns the newest era of the store that this host knows, zero if it knows none.
func (r *Registry) era() winch.Era {
	if r.options.Eras == nil {
		return 0
	}
	return r.options.Eras.Newest()
}

func (r *Registry) key() string { return hostPrefix + string(r.options.Self.ID) }

func (r *Registry) register(ctx context.Context) error {
	value, err := encodeHost(r.options.Self)
	if err != nil {
		return err
	}
	lease, err := r.options.Store.Grant(ctx, r.options.TTL)
	if err != nil {
		return err
	}
	granted := r.era()
	version, err := r.options.Store.PutLeased(ctx, r.key(), value, winch.VersionAny, lease)
	if err != nil {
		return err
	}
	if granted != 0 && version.Era() != granted {
		return fmt.Errorf("register host: the store came back from an older copy, and lease %d may be another's: %w", lease, winch.ErrUnavailable)
	}
	r.lease, r.version = lease, version
	r.options.Logger.Info("host registered", "Event", EventRegistered, "Key", r.key(), "Lease", lease)
	return nil
}

// List returns the registered hosts. Entries that cannot be decoded are skipped.
func (r *Registry) List(ctx context.Context) ([]winch.Host, error) {
	entries, _, err := r.options.Store.List(ctx, hostPrefix)
	if err != nil {
		return nil, fmt.Errorf("list hosts: %w", err)
	}
	hosts := make([]winch.Host, 0, len(entries))
	for _, entry := range entries {
		host, err := decodeHost(entry.Value)
		if err != nil {
			r.options.Logger.Warn("invalid host entry skipped", "Event", EventEntrySkipped, "Key", entry.Key, "Error", err)
			continue
		}
		hosts = append(hosts, host)
	}
	return hosts, nil
}

// Secret returns the shared secret of the hosts. If none is stored, it stores the one that this host knows, or a new one.
func (r *Registry) Secret(ctx context.Context) (string, error) {
	r.mu.Lock()
	secret := r.secret
	r.mu.Unlock()
	entry, err := r.options.Store.Get(ctx, secretKey)
	switch {
	case err == nil:
		secret = string(entry.Value)
	case !errors.Is(err, winch.ErrNotFound):
		return "", fmt.Errorf("read shared secret: %w", err)
	default:
		secret = cmp.Or(secret, rand.Text())
		if _, err := r.options.Store.Put(ctx, secretKey, []byte(secret), winch.VersionAbsent); err != nil {
			// Either another host stored a secret first or the response was lost. The next call
			// reads the secret that is stored.
			return "", fmt.Errorf("store shared secret: %w", err)
		}
	}
	r.mu.Lock()
	r.secret = secret
	r.mu.Unlock()
	return secret, nil
}
