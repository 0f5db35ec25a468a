// Package probe measures how long release notes take to be in force: it adds a key
// and withdraws it again, in turn, and asks each host whether the key works.
//
// # Usage
//
//	prober := probe.New(probe.Options{Hosts: hosts, OperatorSecret: secret, Organisation: "oolong"})
//	seen := prober.Run(ctx)
//
// Times count from the answer to the note's commit, to the last answer of any host by
// the old state. A host that does not answer says nothing.
package probe

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/arbutuswinch/winch/winchload/result"
)

const (
	defaultInterval = 4 * time.Second
	pollInterval    = 50 * time.Millisecond
	// followLimit is how long a note is followed.
	followLimit = 20 * time.Second
	// quiet is how long a withdrawn key must have been refused everywhere.
	quiet       = 2 * time.Second
	callTimeout = 10 * time.Second
)

// Host is an entry host.
type Host struct {
	// Caller and Operator are its ports.
	Caller   string
	Operator string
}

// Options are the settings of a prober.
type Options struct {
	Hosts          []Host
	OperatorSecret string
	// Organisation owns the keys.
	Organisation string
	// Interval is the time between two keys; zero stands for the default.
	Interval time.Duration
}

// Prober applies notes and follows them.
type Prober struct {
	options Options
	http    *http.Client
	seen    result.Notes
}

// New returns a prober.
func New(options Options) *Prober {
	if options.Interval == 0 {
		options.Interval = defaultInterval
	}
	return &Prober{options: options, http: &http.Client{Timeout: callTimeout}}
}

// Run adds and withdraws keys until ctx is over, and returns what was seen.
func (p *Prober) Run(ctx context.Context) result.Notes {
	for number := 1; wait(ctx, p.options.Interval); number++ {
		p.addAndWithdraw(ctx, number)
	}
	return p.seen
}

func wait(ctx context.Context, delay time.Duration) bool {
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

type note struct {
	ID        string
	Added     *addedKeys     `json:",omitempty"`
	Withdrawn *withdrawnKeys `json:",omitempty"`
}

type addedKeys struct{ Keys []key }

type withdrawnKeys struct{ Keys []string }

type key struct {
	ID           string
	Organisation string
	Hash         string
}

// addAndWithdraw adds one key, follows it, withdraws it and follows that.
func (p *Prober) addAndWithdraw(ctx context.Context, number int) {
	id := "probe-" + strconv.Itoa(number)
	secret := "load-secret-" + id
	hash := sha256.Sum256([]byte(secret))
	operator := p.options.Hosts[number%len(p.options.Hosts)].Operator
	added := note{ID: id + "-add", Added: &addedKeys{Keys: []key{{ID: id, Organisation: p.options.Organisation, Hash: hex.EncodeToString(hash[:])}}}}
	if !p.apply(ctx, operator, added) {
		return
	}
	inForce := p.measureAll(ctx, func(ctx context.Context, host Host, since time.Time) time.Duration {
		return p.untilUsed(ctx, host, secret, since)
	})
	p.seen.InForce = append(p.seen.InForce, milliseconds(inForce))
	if !p.apply(ctx, operator, note{ID: id + "-withdraw", Withdrawn: &withdrawnKeys{Keys: []string{id}}}) {
		return
	}
	used := p.measureAll(ctx, func(ctx context.Context, host Host, since time.Time) time.Duration {
		return p.lastUse(ctx, host, secret, since)
	})
	p.seen.UsedAfter = append(p.seen.UsedAfter, milliseconds(used))
}

func milliseconds(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }

// apply commits a note; false means that it was not taken.
func (p *Prober) apply(ctx context.Context, operator string, added note) bool {
	status, err := p.call(ctx, http.MethodPost, "http://"+operator+"/operator/notes", p.options.OperatorSecret, added)
	if ctx.Err() != nil {
		return false
	}
	if err != nil || status != http.StatusOK {
		p.seen.Failed++
		return false
	}
	p.seen.Applied++
	return true
}

// measureAll follows a note at all hosts and returns the longest time.
func (p *Prober) measureAll(ctx context.Context, follow func(context.Context, Host, time.Time) time.Duration) time.Duration {
	ctx, cancel := context.WithTimeout(ctx, followLimit)
	defer cancel()
	since, longest := time.Now(), time.Duration(0)
	mu, group := sync.Mutex{}, sync.WaitGroup{}
	for _, host := range p.options.Hosts {
		group.Go(func() {
			took := follow(ctx, host, since)
			mu.Lock()
			defer mu.Unlock()
			longest = max(longest, took)
		})
	}
	group.Wait()
	return longest
}

// untilUsed returns when the host last refused the key before it took it. A host that
// is down refuses nothing.
func (p *Prober) untilUsed(ctx context.Context, host Host, secret string, since time.Time) time.Duration {
	last := time.Duration(0)
	for {
		status, _ := p.models(ctx, host, secret)
		switch status {
		case http.StatusOK:
			return last
		case http.StatusUnauthorized:
			last = time.Since(since)
		}
		if !wait(ctx, pollInterval) {
			return last
		}
	}
}

// lastUse returns when the host last took the key, once it has refused it for a while.
func (p *Prober) lastUse(ctx context.Context, host Host, secret string, since time.Time) time.Duration {
	last := since
	for time.Since(last) < quiet {
		status, _ := p.models(ctx, host, secret)
		if status == http.StatusOK {
			last = time.Now()
		}
		if !wait(ctx, pollInterval) {
			break
		}
	}
	return last.Sub(since)
}

func (p *Prober) models(ctx context.Context, host Host, secret string) (int, error) {
	return p.call(ctx, http.MethodGet, "http://"+host.Caller+"/v1/models", secret, nil)
}

func (p *Prober) call(ctx context.Context, method, url, secret string, in any) (int, error) {
	request, err := newRequest(ctx, method, url, secret, in)
	if err != nil {
		return 0, err
	}
	response, err := p.http.Do(request)
	if err != nil {
		return 0, fmt.Errorf("call %s: %w", url, err)
	}
	_ = response.Body.Close()
	return response.StatusCode, nil
}
