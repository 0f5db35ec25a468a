// Package keyvalue ensures that a call with an idempotency key runs at most once across all
// hosts. It records a claim for each such call in the platform's key-value service.
//
// Claims are spread over shards. The head of a shard is one entry with its newest claims.
// Claims that arrive within a few milliseconds of each other share one compare-and-swap
// write of the head. When the head has grown too large, its finished claims, which never
// change again, are moved to a sealed entry that the head references. A sealed entry is
// deleted when all its claims have expired.
//
// Every claim carries the token of the acquisition that wrote it. If the response to a write
// is lost, the writer reads the head again and recognises its claim by the token. A delayed
// write cannot take effect later, because the next write of the head changes the version
// that it expects. If the outcome of an acquisition stays unknown, its claim is removed in
// the background, and the removal always writes the head.
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
// If the host that holds a claim fails, the claim stays pending until Retention is over, and
// the call is not run again before that.
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
	defaultShards        = 8
	defaultRetention     = 10 * time.Minute
	defaultGroupDelay    = 4 * time.Millisecond
	defaultTimeout       = time.Second
	defaultWriteRate     = 50
	defaultResponseLimit = 4 << 10
	defaultSealSize      = 48 << 10
	defaultHeadLimit     = 512 << 10
	minRetryDelay        = 50 * time.Millisecond
	maxRetryDelay        = 2 * time.Second
)

// Options are the settings of claims. A zero limit is replaced by its default. Shards,
// Retention and Prefix must be the same on all hosts.
type Options struct {
	Store winch.KeyValue
	// Owner identifies this process; its claims carry tokens that start with it.
	Owner  winch.Incarnation
	Logger hclog.Logger
	// Prefix is the prefix of all keys that this package writes.
	Prefix string
	Shards int
	// Retention is how long a claim and its response are kept. It starts at Acquire for a
	// pending claim and anew at Finish.
	Retention time.Duration
	// GroupDelay is how long a write is delayed to collect further operations.
	GroupDelay time.Duration
	// WriteRate is the maximum number of group writes per second of this process, not
	// counting retries. Operations that arrive faster share writes.
	WriteRate int
	// Timeout bounds the execution of a group: reads, write and retries.
	Timeout time.Duration
	// ResponseLimit is the maximum size of a stored response body, in bytes. Of a call with a
	// larger one only the fact that it ran is stored; Acquire then returns a finished claim
	// whose Status is 0.
	ResponseLimit int
	// SealSize is the size of a head, in bytes, above which its finished claims are sealed.
	// HeadLimit is the size above which a head is not written.
	SealSize  int
	HeadLimit int
	// skipWrites grants claims without a write, for a test that shows that the write is
	// needed.
	skipWrites bool
}

// Claims implements winch.Claims. It is safe for concurrent use.
type Claims struct {
	options  Options
	shards   []*shard
	sequence atomic.Int64
	mutex    sync.Mutex
	// held holds the token of each claim that was granted to this process and has not ended.
	held map[claimID]claimToken
}

// claimID is a hash of organisation, route and idempotency key.
type claimID [16]byte

// claimToken identifies one call of Acquire, to recognise the claim that it wrote.
type claimToken string

// New returns claims that are kept in options.Store.
func New(options Options) (*Claims, error) {
	if options.Store == nil || options.Owner == "" || options.Logger == nil {
		return nil, fmt.Errorf("check options of claims: %w: Store, Owner and Logger are required", winch.ErrInvalid)
	}
	options.setDefaults()
	c := &Claims{options: options, held: map[claimID]claimToken{}}
	// The burst lets each shard write once without waiting.
	limiter := rate.NewLimiter(rate.Limit(options.WriteRate), options.Shards)
	for number := range options.Shards {
		c.shards = append(c.shards, newShard(options, limiter, options.Prefix+strconv.Itoa(number)))
	}
	return c, nil
}

func (o *Options) setDefaults() {
	for _, setting := range []struct {
		target       *int
		defaultValue int
	}{
		{&o.Shards, defaultShards}, {&o.WriteRate, defaultWriteRate}, {&o.ResponseLimit, defaultResponseLimit},
		{&o.SealSize, defaultSealSize}, {&o.HeadLimit, defaultHeadLimit},
	} {
		if *setting.target == 0 {
			*setting.target = setting.defaultValue
		}
	}
	for _, setting := range []struct {
		target       *time.Duration
		defaultValue time.Duration
	}{
		{&o.Retention, defaultRetention}, {&o.GroupDelay, defaultGroupDelay}, {&o.Timeout, defaultTimeout},
	} {
		if *setting.target == 0 {
			*setting.target = setting.defaultValue
		}
	}
	if o.Prefix == "" {
		o.Prefix = "claims/"
	}
}

// Acquire claims the request. It ignores the context and waits for the end of its write, so
// that it never leaves a claim behind that this process does not know of. It returns within
// twice Options.Timeout, plus GroupDelay and the wait for WriteRate before each group.
func (c *Claims) Acquire(_ context.Context, now time.Time, request winch.ClaimRequest) (winch.Claim, error) {
	o := c.newOperation(opAcquire, now, request)
	o.token = claimToken(string(c.options.Owner) + "-" + strconv.FormatInt(c.sequence.Add(1), 36))
	c.shardOf(o.id).execute(o)
	if o.err != nil {
		if errors.Is(o.err, winch.ErrOutcomeUnknown) {
			go c.removeUncertain(now, request, o.token)
		}
		return winch.Claim{}, fmt.Errorf("acquire claim: %w", o.err)
	}
	if o.claim.State == winch.ClaimGranted {
		c.setHeld(o.id, o.token)
	}
	return o.claim, nil
}

// Finish stores the response of the call, within ResponseLimit. It retries until the context
// ends.
func (c *Claims) Finish(ctx context.Context, now time.Time, request winch.ClaimRequest, result winch.Claim) error {
	o := c.newOperation(opFinish, now, request)
	o.claim = result
	o.claim.State = winch.ClaimFinished
	if len(result.Body) > c.options.ResponseLimit {
		o.claim = winch.Claim{State: winch.ClaimFinished}
	}
	return c.endClaim(ctx, o)
}

// Abandon removes the claim of a call that was not run. It retries until the context ends.
func (c *Claims) Abandon(ctx context.Context, now time.Time, request winch.ClaimRequest) error {
	return c.endClaim(ctx, c.newOperation(opRemove, now, request))
}

func (c *Claims) endClaim(ctx context.Context, o *operation) error {
	token, found := c.heldToken(o.id)
	if !found {
		return fmt.Errorf("update claim: %w: this process does not hold it", winch.ErrNotFound)
	}
	o.token = token
	defer c.clearHeld(o.id, token)
	return c.executeWithRetry(ctx, o)
}

// executeWithRetry executes the operation, which must be idempotent, until it succeeds, fails
// with ErrConflict, or the context ends.
func (c *Claims) executeWithRetry(ctx context.Context, o *operation) error {
	for delay := minRetryDelay; ; delay = min(2*delay, maxRetryDelay) {
		attempt := o.copyForRetry()
		c.shardOf(o.id).execute(attempt)
		if attempt.err == nil || errors.Is(attempt.err, winch.ErrConflict) {
			return attempt.err
		}
		timer := time.NewTimer(delay)
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return fmt.Errorf("update claim: %w", attempt.err)
		}
	}
}

// removeUncertain removes the claim of an acquisition that failed with an unknown outcome
// and may have written it.
func (c *Claims) removeUncertain(now time.Time, request winch.ClaimRequest, token claimToken) {
	ctx, stop := context.WithTimeout(context.Background(), c.options.Retention)
	defer stop()
	o := c.newOperation(opRemove, now, request)
	o.token = token
	if err := c.executeWithRetry(ctx, o); err != nil {
		c.options.Logger.Warn("could not remove claim of a call that was not run", "Event", EventClaimRemovalFailed, "Error", err)
	}
}

func (c *Claims) newOperation(kind operationKind, now time.Time, request winch.ClaimRequest) *operation {
	return &operation{
		kind: kind, id: claimIDFor(request), hash: request.BodyHash, now: now,
		expires: now.Add(c.options.Retention), done: make(chan struct{}),
	}
}

func claimIDFor(request winch.ClaimRequest) claimID {
	digest := sha256.New()
	fmt.Fprintf(digest, "%q %q %q", request.Organisation, request.Route, request.Key)
	return claimID(digest.Sum(nil)[:len(claimID{})])
}

func (c *Claims) shardOf(id claimID) *shard { return c.shards[int(id[0])%len(c.shards)] }

func (c *Claims) setHeld(id claimID, token claimToken) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.held[id] = token
}

func (c *Claims) heldToken(id claimID) (claimToken, bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	token, found := c.held[id]
	return token, found
}

func (c *Claims) clearHeld(id claimID, token claimToken) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.held[id] == token {
		delete(c.held, id)
	}
}
