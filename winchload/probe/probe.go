// Package probe measures how long release notes take to be in force on all hosts. It
// alternately adds and withdraws a key, and asks each host whether it accepts the key.
//
// # Usage
//
//	prober := probe.New(probe.Options{Hosts: hosts, OperatorSecret: secret, Organisation: "oolong"})
//	notes := prober.Run(ctx)
//
// Each time starts when the commit has been answered. It ends, for an added key, with the
// last refusal by any host and, for a withdrawn key, with the last acceptance. Hosts that
// do not answer are ignored.
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
	// maxMeasureTime is the longest time for which one note is measured.
	maxMeasureTime = 20 * time.Second
	// quietPeriod is the time without an accepted call after which a host is taken to have
	// withdrawn the key.
	quietPeriod = 2 * time.Second
	callTimeout = 10 * time.Second
)

// Host is an entry host.
type Host struct {
	// Caller and Operator are the addresses of its caller and operator ports.
	Caller   string
	Operator string
}

// Options are the settings of a prober.
type Options struct {
	Hosts          []Host
	OperatorSecret string
	// Organisation is the id of the organisation that owns the keys.
	Organisation string
	// Interval is the pause between two keys; zero means the default of four seconds.
	Interval time.Duration
}

// Prober commits release notes and measures when they take effect.
type Prober struct {
	options  Options
	http     *http.Client
	measured result.Notes
}

// New returns a prober.
func New(options Options) *Prober {
	if options.Interval == 0 {
		options.Interval = defaultInterval
	}
	return &Prober{options: options, http: &http.Client{Timeout: callTimeout}}
}

// Run adds and withdraws keys until ctx is done, and returns the measured times.
func (p *Prober) Run(ctx context.Context) result.Notes {
	for number := 1; sleep(ctx, p.options.Interval); number++ {
		p.addAndWithdraw(ctx, number)
	}
	return p.measured
}

func sleep(ctx context.Context, delay time.Duration) bool {
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

// addAndWithdraw adds one key, measures when it works, withdraws it, and measures when
// it no longer works.
func (p *Prober) addAndWithdraw(ctx context.Context, number int) {
	id := "probe-" + strconv.Itoa(number)
	secret := "load-secret-" + id
	hash := sha256.Sum256([]byte(secret))
	operator := p.options.Hosts[number%len(p.options.Hosts)].Operator
	added := note{ID: id + "-add", Added: &addedKeys{Keys: []key{{ID: id, Organisation: p.options.Organisation, Hash: hex.EncodeToString(hash[:])}}}}
	if !p.commit(ctx, operator, added) {
		return
	}
	lastRefused := p.measureAll(ctx, func(ctx context.Context, host Host, since time.Time) time.Duration {
		return p.lastRefusal(ctx, host, secret, since)
	})
	p.measured.InForce = append(p.measured.InForce, milliseconds(lastRefused))
	if !p.commit(ctx, operator, note{ID: id + "-withdraw", Withdrawn: &withdrawnKeys{Keys: []string{id}}}) {
		return
	}
	lastAccepted := p.measureAll(ctx, func(ctx context.Context, host Host, since time.Time) time.Duration {
		return p.lastAcceptance(ctx, host, secret, since)
	})
	p.measured.UsedAfter = append(p.measured.UsedAfter, milliseconds(lastAccepted))
}

func milliseconds(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }

// commit commits a note. It returns false if the note was not committed.
func (p *Prober) commit(ctx context.Context, operator string, change note) bool {
	status, err := p.call(ctx, http.MethodPost, "http://"+operator+"/operator/notes", p.options.OperatorSecret, change)
	if ctx.Err() != nil {
		return false
	}
	if err != nil || status != http.StatusOK {
		p.measured.Failed++
		return false
	}
	p.measured.Applied++
	return true
}

// measureAll measures a note on all hosts at once and returns the longest time.
func (p *Prober) measureAll(ctx context.Context, measureHost func(context.Context, Host, time.Time) time.Duration) time.Duration {
	ctx, cancel := context.WithTimeout(ctx, maxMeasureTime)
	defer cancel()
	since, longest := time.Now(), time.Duration(0)
	mu, group := sync.Mutex{}, sync.WaitGroup{}
	for _, host := range p.options.Hosts {
		group.Go(func() {
			took := measureHost(ctx, host, since)
			mu.Lock()
			defer mu.Unlock()
			longest = max(longest, took)
		})
	}
	group.Wait()
	return longest
}

// lastRefusal polls until the host accepts the key and returns the time from since to the host's
// last refusal, or zero if it never refused the key. Failed calls do not count as refusals. If ctx
// ends first, the returned time is a lower bound.
func (p *Prober) lastRefusal(ctx context.Context, host Host, secret string, since time.Time) time.Duration {
	last := time.Duration(0)
	for {
		status, _ := p.tryKey(ctx, host, secret)
		switch status {
		case http.StatusOK:
			return last
		case http.StatusUnauthorized:
			last = time.Since(since)
		}
		if !sleep(ctx, pollInterval) {
			return last
		}
	}
}

// lastAcceptance polls until the host has not accepted the key for quietPeriod. It returns the time
// from since to the last acceptance, or zero if the host never accepted the key.
func (p *Prober) lastAcceptance(ctx context.Context, host Host, secret string, since time.Time) time.Duration {
	last := since
	for time.Since(last) < quietPeriod {
		status, _ := p.tryKey(ctx, host, secret)
		if status == http.StatusOK {
			last = time.Now()
		}
		if !sleep(ctx, pollInterval) {
			break
		}
	}
	return last.Sub(since)
}

func (p *Prober) tryKey(ctx context.Context, host Host, secret string) (int, error) {
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
