// Package claim drives the shards of package dedup: it keeps each shard's
// objects in the platform, paces the updates and hands the replies to those who
// wait.
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

// Kinds of the platform's objects that hold shards.
const (
	KindHead    = "claim_heads"
	KindSegment = "claim_segments"
)

const (
	// defaultInterval is the least time between two updates of a shard.
	defaultInterval = 25 * time.Millisecond
	// awayPause is how long a shard refuses claims after the platform failed,
	// before it tries again.
	awayPause = 250 * time.Millisecond
	// freshFor is how long the copy of a shard is good for telling a caller
	// that its request is in progress or unknown.
	freshFor = time.Second
	// forgetInterval is the time between two clean-ups of expired keys.
	forgetInterval = time.Minute
	stepTimeout    = 5 * time.Second
	// limitedTries is how often in a row the rate limit is waited out.
	limitedTries = 4
)

// Runner runs one shard. Name, Get, Put and Delete must be set before the first
// call; Get, Put and Delete make one try each.
type Runner struct {
	Name string
	// Interval is the least time between two updates; 0 takes 25 ms.
	Interval time.Duration
	Get      func(ctx context.Context, kind, name string) (store.Object, error)
	Put      func(ctx context.Context, kind, name string, ifVersion int, value any) (int, error)
	Delete   func(ctx context.Context, kind, name string, ifVersion int) error
	// Now is the clock.
	Now func() time.Time
	// Failed, when set, is called for each failed step.
	Failed func(err error)

	mu        sync.Mutex
	shard     dedup.Shard
	waiters   map[string]chan dedup.Decision
	settling  []chan struct{}
	writing   []chan struct{}
	wake      chan struct{}
	away      time.Time
	forgotten time.Time
	// limited counts the tries in a row that the rate limit refused.
	limited int
	// dropped names the segments that no head refers to any more.
	dropped []string
	tidying bool
}

// NewRunner returns a Runner whose calls go to a client.
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

func (r *Runner) interval() time.Duration {
	if r.Interval > 0 {
		return r.Interval
	}
	return defaultInterval
}

// Claim asks for a claim and waits for the decision. A request that is granted
// may be sent under Decision.Grant; any other must not be.
func (r *Runner) Claim(ctx context.Context, req dedup.Request) dedup.Decision {
	wait, d, settled := r.propose(req)
	if settled {
		return d
	}
	select {
	case d = <-wait:
		return d
	case <-ctx.Done():
		r.Cancel(req)
		return unavailable()
	}
}

func unavailable() dedup.Decision {
	return dedup.Decision{Verdict: dedup.Unavailable, RetryAfter: dedup.UnavailableRetry}
}

func (r *Runner) propose(req dedup.Request) (chan dedup.Decision, dedup.Decision, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.init()
	now := r.Now()
	if now.Before(r.away) {
		return nil, unavailable(), true
	}
	d, settled := r.shard.Propose(now, req)
	if settled && (now.Sub(r.shard.Confirmed()) <= freshFor || !mayChange(d.Verdict)) {
		return nil, d, true
	}
	if settled {
		// Another VM may have written the end of the claim since: ask the
		// platform before the caller is told.
		r.shard.Unsure()
		_, _ = r.shard.Propose(now, req)
	}
	wait := make(chan dedup.Decision, 1)
	r.waiters[req.Grant] = wait
	r.poke()
	return wait, d, false
}

// mayChange reports whether a verdict can be another one a moment later.
func mayChange(v dedup.Verdict) bool { return v == dedup.InProgress || v == dedup.Unknown }

// Cancel withdraws a request that is not going to be sent.
func (r *Runner) Cancel(req dedup.Request) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.init()
	delete(r.waiters, req.Grant)
	r.shard.Cancel(r.Now(), req)
	r.poke()
}

// Settle records how a granted request ended and waits until that is written,
// or ctx ends.
func (r *Runner) Settle(ctx context.Context, req dedup.Request, state wire.ClaimState, answer string) error {
	written := make(chan struct{})
	r.mu.Lock()
	r.init()
	r.shard.Settle(r.Now(), req, state, answer)
	r.settling = append(r.settling, written)
	r.poke()
	r.mu.Unlock()
	select {
	case <-written:
		return nil
	case <-ctx.Done():
		return fmt.Errorf("record the end of claim %s: %w", req.Grant, ctx.Err())
	}
}

// poke wakes the loop. The caller holds r.mu.
func (r *Runner) poke() {
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// Run writes the shard until ctx ends.
func (r *Runner) Run(ctx context.Context) {
	r.mu.Lock()
	r.init()
	r.mu.Unlock()
	for {
		select {
		case <-ctx.Done():
			r.refuse()
			return
		case <-r.wake:
		}
		for r.busy() && ctx.Err() == nil {
			began := r.Now()
			wait := r.interval()
			if err := r.step(ctx); err != nil {
				wait = max(wait, awayPause)
			}
			r.startTidy(ctx)
			if !pause.For(ctx, wait-r.Now().Sub(began)) {
				break
			}
		}
	}
}

func (r *Runner) busy() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.shard.Pending()
}

// step loads the shard when it has to, then writes one batch.
func (r *Runner) step(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, stepTimeout)
	defer cancel()
	err := r.load(ctx)
	if err == nil {
		err = r.write(ctx)
	}
	if store.IsRateLimited(err) && r.limited < limitedTries {
		// The rate limit passes in a moment; those who wait are not refused for
		// it, unless it stays.
		r.limited++
		return err
	}
	r.limited = 0
	if err == nil || store.IsConflict(err) || store.IsResponseLost(err) {
		return nil
	}
	if r.Failed != nil {
		r.Failed(err)
	}
	r.refuse()
	return err
}

// refuse tells all who wait that no claim can be granted now.
func (r *Runner) refuse() {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.Now()
	r.away = now.Add(awayPause)
	r.reply(r.shard.Refuse(now))
}

// reply hands out replies. The caller holds r.mu.
func (r *Runner) reply(replies []dedup.Reply) {
	for _, reply := range replies {
		if wait := r.waiters[reply.Grant]; wait != nil {
			wait <- reply.Decision
			delete(r.waiters, reply.Grant)
		}
	}
}

// load reads the shard when it is not known to be current.
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
		return fmt.Errorf("read shard %s: %w", r.Name, err)
	}
	if err == nil {
		if err := json.Unmarshal(obj.Value, &head); err != nil {
			return fmt.Errorf("decode shard %s: %w", r.Name, err)
		}
	}
	recent, err := dedup.Unpack(head.Recent)
	if err != nil {
		return err
	}
	r.mu.Lock()
	missing := r.shard.Missing(head)
	r.mu.Unlock()
	segments, err := r.readSegments(ctx, missing)
	if err != nil {
		return err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.reply(r.shard.Load(r.Now(), obj.Version, head, recent, segments))
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
	var content wire.ShardClaims
	if err := json.Unmarshal(obj.Value, &content); err != nil {
		return nil, fmt.Errorf("decode segment %s: %w", name, err)
	}
	return dedup.Unpack(content.Packed)
}

// write writes one batch, and merges segments when there are many.
func (r *Runner) write(ctx context.Context) error {
	r.mu.Lock()
	now := r.Now()
	if now.Sub(r.forgotten) > forgetInterval {
		r.forgotten = now
		r.shard.Forget(now)
	}
	if !r.shard.Work() {
		r.mu.Unlock()
		return nil
	}
	if r.shard.Full() {
		r.mu.Unlock()
		return errFull
	}
	batch := r.shard.Next(now)
	r.writing, r.settling = append(r.writing, r.settling...), nil
	r.mu.Unlock()
	return r.commit(ctx, batch)
}

// errFull says that the head can not be sealed.
var errFull = errors.New("the shard's head is full")

func (r *Runner) segmentName() string { return r.Name + "-" + uuid.NewString() }

// commit writes the head.
func (r *Runner) commit(ctx context.Context, b dedup.Batch) error {
	packed, err := dedup.Pack(b.Recent)
	if err != nil {
		r.failed()
		return err
	}
	head := wire.ShardHead{Segments: b.Segments, Recent: packed}
	if head.Segments == nil {
		head.Segments = []wire.ShardSegment{}
	}
	version, err := r.Put(ctx, KindHead, r.Name, b.IfVersion, head)
	if err != nil {
		return r.headFailed(err)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.reply(r.shard.Committed(r.Now(), version))
	for _, written := range r.writing {
		close(written)
	}
	r.writing = nil
	r.dropped = append(r.dropped, b.Drop...)
	return nil
}

func (r *Runner) failed() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.shard.Failed()
}

// headFailed sorts a failed update of the head. Where it may have taken effect,
// or another writer won, the shard is read anew before anything is granted.
func (r *Runner) headFailed(err error) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if store.IsUnavailable(err) || store.IsRateLimited(err) {
		r.shard.Failed()
	} else {
		r.shard.Unsure()
	}
	return fmt.Errorf("write shard %s: %w", r.Name, err)
}
