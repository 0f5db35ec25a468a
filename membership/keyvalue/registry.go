// Package keyvalue keeps the list of hosts in the key-value service: each host enters
// itself under a lease, and reads the others.
//
// The hosts also share a secret there, which the first of them creates, and by which they
// authenticate to each other.
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
// A registry is the exchange's peer.HostLister.
package keyvalue

import (
	"cmp"
	"context"
	"crypto/rand"
	"errors"
	"fmt"
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
	// renewalsPerTTL is how often an entry's lease is renewed within its time.
	renewalsPerTTL = 4
	// endTimeout bounds the removal of the entry at the end.
	endTimeout = time.Second
)

// Options are the settings of a registry. The zero value of TTL stands for 12 s.
type Options struct {
	Store winch.LeasedKeyValue
	Self  winch.Host
	// TTL is how long the entry stays when the host no longer renews it.
	TTL    time.Duration
	Logger hclog.Logger
}

// Registry enters the host itself and lists the others. Run must be called once.
type Registry struct {
	options Options
	// lease is zero while the host is not entered. Only Run uses it.
	lease winch.LeaseID
	// entry logs the loss and the return of the entry. Only Run uses it.
	entry *dependency.Dependency
}

// New returns a registry, which enters nothing until Run.
func New(options Options) (*Registry, error) {
	if options.Store == nil || options.Logger == nil || options.Self.ID == "" {
		return nil, fmt.Errorf("create host registry: Store, Self and Logger are needed: %w", winch.ErrInvalid)
	}
	options.TTL = cmp.Or(options.TTL, defaultTTL)
	return &Registry{
		options: options, entry: dependency.New("host entry", options.Logger, EventEntryFailed, EventEntryRegained),
	}, nil
}

// Run keeps the host entered until ctx ends, and then removes the entry. It returns nil.
func (r *Registry) Run(ctx context.Context) error {
	err := periodic.Run(ctx, r.options.TTL/renewalsPerTTL, r.step)
	if r.lease == 0 {
		return err
	}
	last, cancel := context.WithTimeout(context.WithoutCancel(ctx), endTimeout)
	defer cancel()
	if err := r.options.Store.End(last, r.lease); err != nil {
		r.options.Logger.Info("host entry left to lapse", "Event", EventEntryFailed, "Error", err)
	}
	return err
}

// step renews the entry, or enters the host anew.
func (r *Registry) step(ctx context.Context) { r.entry.Note(r.renew(ctx)) }

func (r *Registry) renew(ctx context.Context) error {
	if r.lease != 0 {
		err := r.options.Store.Renew(ctx, r.lease)
		if !errors.Is(err, winch.ErrNotFound) {
			return err
		}
		r.lease = 0
	}
	return r.enter(ctx)
}

func (r *Registry) enter(ctx context.Context) error {
	value, err := encodeHost(r.options.Self)
	if err != nil {
		return err
	}
	lease, err := r.options.Store.Grant(ctx, r.options.TTL)
	if err != nil {
		return err
	}
	key := hostPrefix + string(r.options.Self.ID)
	if _, err := r.options.Store.PutLeased(ctx, key, value, winch.VersionAny, lease); err != nil {
		return err
	}
	r.lease = lease
	r.options.Logger.Info("host entered", "Event", EventEntered, "Key", key, "Lease", lease)
	return nil
}

// List returns the hosts that are entered. Entries that cannot be read are left out.
func (r *Registry) List(ctx context.Context) ([]winch.Host, error) {
	entries, _, err := r.options.Store.List(ctx, hostPrefix)
	if err != nil {
		return nil, fmt.Errorf("list hosts: %w", err)
	}
	hosts := make([]winch.Host, 0, len(entries))
	for _, entry := range entries {
		host, err := decodeHost(entry.Value)
		if err != nil {
			r.options.Logger.Warn("host entry left out", "Event", EventEntryLeftOut, "Key", entry.Key, "Error", err)
			continue
		}
		hosts = append(hosts, host)
	}
	return hosts, nil
}

// Secret returns the secret that the hosts share. The first host creates it.
func (r *Registry) Secret(ctx context.Context) (string, error) {
	entry, err := r.options.Store.Get(ctx, secretKey)
	if err == nil {
		return string(entry.Value), nil
	}
	if !errors.Is(err, winch.ErrNotFound) {
		return "", fmt.Errorf("read shared secret: %w", err)
	}
	created := rand.Text()
	if _, err := r.options.Store.Put(ctx, secretKey, []byte(created), winch.VersionAbsent); err != nil {
		// Another host was first, or the answer was lost: the next call reads what holds.
		return "", fmt.Errorf("create shared secret: %w", err)
	}
	return created, nil
}
