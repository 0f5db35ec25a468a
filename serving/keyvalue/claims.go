// Package keyvalue makes keyed calls run at most once over all hosts, by claims in
// the platform's key-value service.
//
// Claims live in shards. The head of a shard is one entry that holds its newest
// claims; claims that arrive within a few milliseconds of each other share one
// compare-and-swap write of it. A head that grows is relieved by moving its finished
// claims, which never change again, into a sealed entry that the head names. Sealed
// entries are deleted whole when the retention of all their claims is over.
//
// Every claim carries a token of the attempt to write it. A writer whose answer was
// lost reads the head back and recognises its claim; a write that is still on its way
// can do no harm, since the next write of the head makes its expected version old.
//
// # Usage
//
//	claims, err := keyvalue.New(keyvalue.Options{Store: store, Owner: incarnation, Logger: logger})
//	if err != nil {
//		return err
//	}
//	claim, err := claims.Acquire(ctx, clock.Now(), request)
//	if err == nil && claim.State == winch.ClaimGranted {
//		// Run the call, then Finish or Abandon.
//	}
//
// A claim whose holder died stays pending until Retention is over: the call is never
// run again in that time.
package keyvalue

import (
	"context"
	"crypto/sha256"
	"errors"
	"fmt"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"golang.org/x/time/rate"

	"github.com/arbutuswinch/winch"
)

const (
	defaultShards      = 8
	defaultRetention   = 10 * time.Minute
	defaultGroupDelay  = 4 * time.Millisecond
	defaultTimeout     = time.Second
	defaultWriteRate   = 50
	defaultAnswerLimit = 4 << 10
	defaultSealSize    = 48 << 10
	defaultHeadLimit   = 512 << 10
	firstPause         = 50 * time.Millisecond
	longestPause       = 2 * time.Second
)

// Options are the settings of claims. The zero value of a limit stands for its
// default. Shards, Retention and Prefix must be the same on all hosts.
type Options struct {
	Store winch.KeyValue
	// Owner tells this process's claims from those of others.
	Owner  winch.Incarnation
	Logger hclog.Logger
	// Prefix is the beginning of the keys.
	Prefix string
	Shards int
	// Retention is how long a claim and its answer are kept.
	Retention time.Duration
	// GroupDelay is how long a write waits for further claims.
	GroupDelay time.Duration
	// WriteRate is the most writes that this process makes a second, before repeats.
	// Claims that come faster share writes.
	WriteRate int
	// Timeout bounds the write of a group.
	Timeout time.Duration
	// AnswerLimit is the largest answer that is kept, in bytes.
	AnswerLimit int
	// SealSize is the size of a head in bytes from which finished claims are sealed,
	// HeadLimit the size at which no further claims are taken.
	SealSize  int
	HeadLimit int
	// unguarded lets a claim be granted without a write, as if it were the only host.
	unguarded bool
}

// Claims implements winch.Claims. It is safe for concurrent use.
type Claims struct {
	options  Options
	shards   []*shard
	sequence atomic.Int64
	mutex    sync.Mutex
	// held maps the claims that this process holds to their tokens.
	held map[claimID]token
}

// claimID identifies a claim by a hash over what it is bound to.
type claimID [16]byte

// token names one attempt to write a claim.
type token string

// New returns claims over the store.
func New(options Options) (*Claims, error) {
	if options.Store == nil || options.Owner == "" || options.Logger == nil {
		return nil, fmt.Errorf("check options of claims: %w: Store, Owner and Logger are required", winch.ErrInvalid)
	}
	options.fill()
	c := &Claims{options: options, held: map[claimID]token{}}
	limiter := rate.NewLimiter(rate.Limit(options.WriteRate), options.Shards)
	for number := range options.Shards {
		c.shards = append(c.shards, newShard(options, limiter, options.Prefix+strconv.Itoa(number)))
	}
	return c, nil
}

func (o *Options) fill() {
	for _, number := range []struct {
		into     *int
		standard int
	}{
		{&o.Shards, defaultShards}, {&o.WriteRate, defaultWriteRate}, {&o.AnswerLimit, defaultAnswerLimit},
		{&o.SealSize, defaultSealSize}, {&o.HeadLimit, defaultHeadLimit},
	} {
		if *number.into == 0 {
			*number.into = number.standard
		}
	}
	for _, duration := range []struct {
		into     *time.Duration
		standard time.Duration
	}{
		{&o.Retention, defaultRetention}, {&o.GroupDelay, defaultGroupDelay}, {&o.Timeout, defaultTimeout},
	} {
		if *duration.into == 0 {
			*duration.into = duration.standard
		}
	}
	if o.Prefix == "" {
		o.Prefix = "claims/"
	}
}

// Acquire claims the request. It returns within twice the timeout, and not before
// its write has ended when the context does, so that it never leaves a claim behind
// that nobody knows of.
func (c *Claims) Acquire(_ context.Context, now time.Time, request winch.ClaimRequest) (winch.Claim, error) {
	o := c.operation(acquire, now, request)
	o.token = token(string(c.options.Owner) + "-" + strconv.FormatInt(c.sequence.Add(1), 36))
	c.shardOf(o.id).do(o)
	if o.err != nil {
		if errors.Is(o.err, winch.ErrOutcomeUnknown) {
			go c.forget(now, request, o.token)
		}
		return winch.Claim{}, fmt.Errorf("acquire claim: %w", o.err)
	}
	if o.claim.State == winch.ClaimGranted {
		c.hold(o.id, o.token)
	}
	return o.claim, nil
}

// Finish keeps the answer. It tries until the context ends.
func (c *Claims) Finish(ctx context.Context, now time.Time, request winch.ClaimRequest, answer winch.Claim) error {
	o := c.operation(finish, now, request)
	o.claim = answer
	o.claim.State = winch.ClaimFinished
	if len(answer.Body) > c.options.AnswerLimit {
		o.claim = winch.Claim{State: winch.ClaimFinished}
	}
	return c.conclude(ctx, o)
}

// Abandon gives the claim back. It tries until the context ends.
func (c *Claims) Abandon(ctx context.Context, now time.Time, request winch.ClaimRequest) error {
	return c.conclude(ctx, c.operation(forget, now, request))
}

func (c *Claims) conclude(ctx context.Context, o *operation) error {
	held, found := c.holds(o.id)
	if !found {
		return fmt.Errorf("conclude claim: %w", winch.ErrNotFound)
	}
	o.token = held
	defer c.unhold(o.id, held)
	return c.doUntilKnown(ctx, o)
}

// doUntilKnown repeats the operation, which is idempotent, until it succeeded or the context ends.
func (c *Claims) doUntilKnown(ctx context.Context, o *operation) error {
	for pause := firstPause; ; pause = min(2*pause, longestPause) {
		try := o.retryCopy()
		c.shardOf(o.id).do(try)
		if try.err == nil || errors.Is(try.err, winch.ErrConflict) {
			return try.err
		}
		timer := time.NewTimer(pause)
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return fmt.Errorf("conclude claim: %w", try.err)
		}
	}
}

// forget removes a claim that may have been written although its acquisition failed.
func (c *Claims) forget(now time.Time, request winch.ClaimRequest, written token) {
	ctx, stop := context.WithTimeout(context.Background(), c.options.Retention)
	defer stop()
	o := c.operation(forget, now, request)
	o.token = written
	if err := c.doUntilKnown(ctx, o); err != nil {
		c.options.Logger.Warn("claim not forgotten", "Event", EventClaimNotForgotten, "Error", err)
	}
}

func (c *Claims) operation(kind operationKind, now time.Time, request winch.ClaimRequest) *operation {
	return &operation{
		kind: kind, id: identify(request), hash: request.BodyHash, now: now,
		expires: now.Add(c.options.Retention), done: make(chan struct{}),
	}
}

func identify(request winch.ClaimRequest) claimID {
	digest := sha256.New()
	fmt.Fprintf(digest, "%q %q %q", request.Organisation, request.Route, request.Key)
	return claimID(digest.Sum(nil)[:len(claimID{})])
}

func (c *Claims) shardOf(id claimID) *shard { return c.shards[int(id[0])%len(c.shards)] }

func (c *Claims) hold(id claimID, held token) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.held[id] = held
}

func (c *Claims) holds(id claimID) (token, bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	held, found := c.held[id]
	return held, found
}

func (c *Claims) unhold(id claimID, held token) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.held[id] == held {
		delete(c.held, id)
	}
}
