// Package claim runs the shards of package dedup. It stores each shard in the
// platform's object store, limits the rate of updates and delivers the
// decisions to the waiting callers.
package claim

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/gravitational/trace"

	"github.com/hibiscuscart/hibiscuscart/dedup"
	"github.com/hibiscuscart/hibiscuscart/pause"
	"github.com/hibiscuscart/hibiscuscart/store"
	"github.com/hibiscuscart/hibiscuscart/wire"
)

// Object kinds in which the platform stores shards.
const (
	KindHead    = "claim_heads"
	KindSegment = "claim_segments"
)

const (
	// defaultWriteInterval is the minimum time between two updates of a shard.
	defaultWriteInterval = 25 * time.Millisecond
	// outageBackoff is how long a shard refuses claims after a call to the
	// platform failed, before the next attempt.
	outageBackoff = 250 * time.Millisecond
	// maxCacheAge is the maximum age of the shard's cached content at which a
	// request is reported as in progress or unknown without reading the shard
	// again.
	maxCacheAge = time.Second
	// evictInterval is the time between two evictions of expired keys.
	evictInterval    = time.Minute
	operationTimeout = 5 * time.Second
	// awaitInterval is the interval between looks at what waits to be written.
	awaitInterval = 5 * time.Millisecond
	// maxRateLimitedAttempts is how many consecutive rate-limited attempts are
	// retried before the waiting requests are refused.
	maxRateLimitedAttempts = 4
)

// Runner loads, writes and maintains one shard. Name, Get, Put, Delete and Now
// must be set before the first call; Get, Put and Delete must not retry.
type Runner struct {
	Name string
	// WriteInterval is the minimum time between two updates; 0 means 25 ms.
	WriteInterval time.Duration
	Get           func(ctx context.Context, kind, name string) (store.Object, error)
	Put           func(ctx context.Context, kind, name string, ifVersion int, value any) (int, error)
	Delete        func(ctx context.Context, kind, name string, ifVersion int) error
	// Now returns the current time.
	Now func() time.Time
	// OnError, when set, is called with each error that makes the Runner refuse
	// claims and with each error of a maintenance task.
	OnError func(err error)

	mu                     sync.Mutex
	shard                  dedup.Shard
	waiters                map[string]chan dedup.Decision
	outcomeWaiters         []chan struct{}
	inFlightOutcomeWaiters []chan struct{}
	wake                   chan struct{}
	unavailableUntil       time.Time
	evictedAt              time.Time
	// rateLimitedAttempts counts consecutive attempts refused by the rate limit.
	rateLimitedAttempts int
	// obsoleteSegments lists segments that the head no longer refers to.
	obsoleteSegments []string
	maintaining      bool
}

// NewRunner returns a Runner that calls the platform through c without
// retries.
func NewRunner(name string, c *store.Client, now func() time.Time) *Runner {
	single := *c
	single.DisableRetries = true
	return &Runner{Name: name, Get: single.Get, Put: single.Put, Delete: single.Delete, Now: now}
}

func (r *Runner) init() {
	if r.wake == nil {
		r.wake = make(chan struct{}, 1)
		r.waiters = make(map[string]chan dedup.Decision)
	}
}

func (r *Runner) writeInterval() time.Duration {
	if r.WriteInterval > 0 {
		return r.WriteInterval
	}
	return defaultWriteInterval
}

// Claim requests a claim and waits for the decision. Only a granted request
// may be sent, under Decision.GrantID.
func (r *Runner) Claim(ctx context.Context, req dedup.Request) dedup.Decision {
	decision, d, decided := r.propose(req)
	if decided {
		return d
	}
	select {
	case d = <-decision:
		return d
	case <-ctx.Done():
		r.Cancel(req)
		return unavailable()
	}
}

func unavailable() dedup.Decision {
	return dedup.Decision{Verdict: dedup.Unavailable, RetryAfter: dedup.UnavailableRetryAfter}
}

func (r *Runner) propose(req dedup.Request) (chan dedup.Decision, dedup.Decision, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.init()
	now := r.Now()
	if now.Before(r.unavailableUntil) {
		return nil, unavailable(), true
	}
	d, decided := r.shard.Propose(now, req)
	if decided && (now.Sub(r.shard.SyncedAt()) <= maxCacheAge || !mayBeStale(d.Verdict)) {
		return nil, d, true
	}
	if decided {
		// Another VM may have recorded the outcome of the claim since the last
		// read. Reload the shard before replying to the caller.
		r.shard.Invalidate()
		_, _ = r.shard.Propose(now, req)
	}
	decision := make(chan dedup.Decision, 1)
	r.waiters[req.GrantID] = decision
	r.signal()
	return decision, d, false
}

// mayBeStale reports whether another VM's update can change the verdict.
func mayBeStale(v dedup.Verdict) bool { return v == dedup.InProgress || v == dedup.Unknown }

// Cancel withdraws a request that will not be sent.
func (r *Runner) Cancel(req dedup.Request) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.init()
	delete(r.waiters, req.GrantID)
	r.shard.Cancel(r.Now(), req)
	r.signal()
}

// RecordOutcome records the outcome of a granted request and returns once it
// is written, or when ctx ends.
func (r *Runner) RecordOutcome(ctx context.Context, req dedup.Request, state wire.ClaimState, response string) error {
	written := make(chan struct{})
	r.mu.Lock()
	r.init()
	r.shard.RecordOutcome(r.Now(), req, state, response)
	r.outcomeWaiters = append(r.outcomeWaiters, written)
	r.signal()
	r.mu.Unlock()
	select {
	case <-written:
		return nil
	case <-ctx.Done():
		return fmt.Errorf("record outcome of claim %s: %w", req.GrantID, ctx.Err())
	}
}

// AwaitWritten returns when nothing waits to be written, or when ctx ends.
func (r *Runner) AwaitWritten(ctx context.Context) {
	for r.pending() && pause.For(ctx, awaitInterval) {
	}
}

// signal wakes the write loop. The caller holds r.mu.
func (r *Runner) signal() {
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// Run loads and writes the shard until ctx ends.
func (r *Runner) Run(ctx context.Context) {
	r.mu.Lock()
	r.init()
	r.mu.Unlock()
	for {
		select {
		case <-ctx.Done():
			r.refuseAll()
			return
		case <-r.wake:
		}
		for r.pending() && ctx.Err() == nil {
			startedAt := r.Now()
			wait := r.writeInterval()
			if err := r.loadAndWrite(ctx); err != nil {
				wait = max(wait, outageBackoff)
			}
			r.startMaintenance(ctx)
			if !pause.For(ctx, wait-r.Now().Sub(startedAt)) {
				break
			}
		}
	}
}

func (r *Runner) pending() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.shard.HasPending()
}

// loadAndWrite loads the shard if its cached content is not current and writes
// one batch.
func (r *Runner) loadAndWrite(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, operationTimeout)
	defer cancel()
	err := r.load(ctx)
	if err == nil {
		err = r.writeBatch(ctx)
	}
	if store.IsRateLimited(err) && r.rateLimitedAttempts < maxRateLimitedAttempts {
		// Rate limiting is usually brief. Waiting requests are refused only if it
		// persists.
		r.rateLimitedAttempts++
		return err
	}
	r.rateLimitedAttempts = 0
	if err == nil || store.IsConflict(err) || store.IsResponseLost(err) {
		return nil
	}
	if r.OnError != nil {
		r.OnError(err)
	}
	r.refuseAll()
	return err
}

// refuseAll replies to all waiting requests that no claim can be granted now.
func (r *Runner) refuseAll() {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.Now()
	r.unavailableUntil = now.Add(outageBackoff)
	r.deliver(r.shard.RefuseAll(now))
}

// deliver sends decisions to the waiting callers. The caller holds r.mu.
func (r *Runner) deliver(replies []dedup.Reply) {
	for _, reply := range replies {
		if waiter := r.waiters[reply.GrantID]; waiter != nil {
			waiter <- reply.Decision
			delete(r.waiters, reply.GrantID)
		}
	}
}

// load reads the shard if its cached content is not current.
func (r *Runner) load(ctx context.Context) error {
	r.mu.Lock()
	loaded := r.shard.Loaded()
	r.mu.Unlock()
	if loaded {
		return nil
	}
	var head wire.ShardHead
	obj, err := r.Get(ctx, KindHead, r.Name)
	if err != nil && !trace.IsNotFound(err) {
		return fmt.Errorf("read head of shard %s: %w", r.Name, err)
	}
	if err == nil {
		if err := json.Unmarshal(obj.Value, &head); err != nil {
			return fmt.Errorf("decode head of shard %s: %w", r.Name, err)
		}
	}
	recent, err := dedup.Unpack(head.Recent)
	if err != nil {
		return err
	}
	r.mu.Lock()
	missing := r.shard.MissingSegments(head)
	r.mu.Unlock()
	segments, err := r.readSegments(ctx, missing)
	if err != nil {
		return err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.deliver(r.shard.Load(r.Now(), obj.Version, head, recent, segments))
	return nil
}

func (r *Runner) readSegments(ctx context.Context, names []string) (map[string][]wire.Claim, error) {
	segments := make(map[string][]wire.Claim, len(names))
	for _, name := range names {
		claims, err := r.readSegment(ctx, name)
		if err != nil {
			return nil, err
		}
		segments[name] = claims
	}
	return segments, nil
}

func (r *Runner) readSegment(ctx context.Context, name string) ([]wire.Claim, error) {
	obj, err := r.Get(ctx, KindSegment, name)
	if err != nil {
		return nil, fmt.Errorf("read segment %s: %w", name, err)
	}
	var stored wire.ShardClaims
	if err := json.Unmarshal(obj.Value, &stored); err != nil {
		return nil, fmt.Errorf("decode segment %s: %w", name, err)
	}
	return dedup.Unpack(stored.Packed)
}

// writeBatch writes one batch of grants and outcomes, if any are waiting.
func (r *Runner) writeBatch(ctx context.Context) error {
	r.mu.Lock()
	now := r.Now()
	if now.Sub(r.evictedAt) > evictInterval {
		r.evictedAt = now
		r.shard.EvictExpired(now)
	}
	if !r.shard.CanWrite() {
		r.mu.Unlock()
		return nil
	}
	if r.shard.HeadFull() {
		r.mu.Unlock()
		return errHeadFull
	}
	batch := r.shard.NextBatch(now)
	r.inFlightOutcomeWaiters, r.outcomeWaiters = append(r.inFlightOutcomeWaiters, r.outcomeWaiters...), nil
	r.mu.Unlock()
	return r.writeHead(ctx, batch)
}

// errHeadFull reports that the head must be sealed before it accepts more
// claims.
var errHeadFull = errors.New("shard head is full and not sealed yet")

func (r *Runner) newSegmentName() string { return r.Name + "-" + uuid.NewString() }

// writeHead writes a batch to the head.
func (r *Runner) writeHead(ctx context.Context, b dedup.Batch) error {
	packed, err := dedup.Pack(b.Recent)
	if err != nil {
		r.requeueBatch()
		return err
	}
	head := wire.ShardHead{Segments: b.Segments, Recent: packed}
	if head.Segments == nil {
		head.Segments = []wire.ShardSegment{}
	}
	version, err := r.Put(ctx, KindHead, r.Name, b.IfVersion, head)
	if err != nil {
		return r.handleHeadError(err)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.deliver(r.shard.BatchCommitted(r.Now(), version))
	for _, written := range r.inFlightOutcomeWaiters {
		close(written)
	}
	r.inFlightOutcomeWaiters = nil
	r.obsoleteSegments = append(r.obsoleteSegments, b.ObsoleteSegments...)
	return nil
}

func (r *Runner) requeueBatch() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.shard.BatchFailed()
}

// handleHeadError handles a failed update of the head. If the update may have
// taken effect, or another writer won, the shard is reloaded before anything
// is granted.
func (r *Runner) handleHeadError(err error) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if store.IsUnavailable(err) || store.IsRateLimited(err) {
		r.shard.BatchFailed()
	} else {
		r.shard.Invalidate()
	}
	return fmt.Errorf("write head of shard %s: %w", r.Name, err)
}
