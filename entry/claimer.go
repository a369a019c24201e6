package entry

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"

	"github.com/hibiscuscart/hibiscuscart/claim"
	"github.com/hibiscuscart/hibiscuscart/dedup"
	"github.com/hibiscuscart/hibiscuscart/link"
	"github.com/hibiscuscart/hibiscuscart/spans"
	"github.com/hibiscuscart/hibiscuscart/wire"
)

const (
	defaultClaimShards = 4
	// claimCallTimeout bounds a call to a shard's owner.
	claimCallTimeout = 2 * time.Second
	// withdrawTimeout bounds the withdrawal of a claim whose result is unknown.
	withdrawTimeout = 5 * time.Second
	// linkDialTimeout bounds the opening of a link for a call.
	linkDialTimeout = 300 * time.Millisecond
)

// claimer makes claims through the VM that owns the key's shard. Ownership
// follows from the list of live VMs and matters only for speed: any VM may
// write any shard, and the version of the shard's object decides.
type claimer struct {
	d       *Daemon
	shards  int
	baseCtx context.Context
	// call sends a call to another VM and waits for its reply.
	call func(ctx context.Context, vm string, call *wire.ClaimCall) (*wire.ClaimReply, error)

	mu      sync.Mutex
	runners map[int]*claim.Runner
	jobs    sync.WaitGroup
	// stopped is set once no further runner is started.
	stopped bool
}

func newClaimer(d *Daemon) *claimer {
	shards := d.config.ClaimShards
	if shards == 0 {
		shards = defaultClaimShards
	}
	return &claimer{d: d, shards: shards, call: d.peers.callClaim, runners: make(map[int]*claim.Runner)}
}

// claims returns the functions that claimStage calls.
func (c *claimer) claims() Claims {
	return Claims{Claim: c.claim, Finish: c.finish, Release: c.release}
}

func (c *claimer) shardOf(key string) int { return int(xxhash.Sum64String(key) % uint64(c.shards)) }

// owner returns the live VM that owns a shard, by rendezvous hashing.
func (c *claimer) owner(shard int) string {
	owner, maxWeight := "", uint64(0)
	for _, node := range c.d.peers.activeVMs() {
		if weight := xxhash.Sum64String(node + "/" + strconv.Itoa(shard)); owner == "" || weight > maxWeight {
			owner, maxWeight = node, weight
		}
	}
	return owner
}

// runner returns the runner of a shard and starts it at the first use, unless this VM has stopped: it then records nothing.
func (c *claimer) runner(shard int) *claim.Runner {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := c.runners[shard]
	if r != nil {
		return r
	}
	r = claim.NewRunner(fmt.Sprintf("shard-%d", shard), c.d.store, c.d.now)
	r.WriteInterval = c.d.config.ClaimInterval
	r.OnError = func(err error) {
		c.d.meter.AddCounter("claim.shard_failed", 1)
		c.d.log.Warn().Err(err).Int("shard", shard).Msg("failed to write claim shard")
	}
	c.runners[shard] = r
	if !c.stopped {
		c.jobs.Go(func() { r.Run(c.baseCtx) })
	}
	return r
}

// waitForWrites returns when the runners have written what they were asked to, or when ctx ends.
func (c *claimer) waitForWrites(ctx context.Context) {
	c.mu.Lock()
	runners := slices.Collect(maps.Values(c.runners))
	c.mu.Unlock()
	for _, r := range runners {
		r.AwaitWritten(ctx)
	}
}

// wait returns when the runners have ended, after baseCtx has.
func (c *claimer) wait() {
	c.mu.Lock()
	c.stopped = true
	c.mu.Unlock()
	c.jobs.Wait()
}

// claim requests a claim from the shard's owner. When the owner cannot be
// reached or does not reply, this VM writes the shard itself.
func (c *claimer) claim(ctx context.Context, _ time.Time, r dedup.Request) (dedup.Decision, error) {
	shard := c.shardOf(r.StoredKey())
	owner := c.owner(shard)
	if owner == c.d.config.Name {
		return c.runner(shard).Claim(ctx, r), nil
	}
	reply, err := c.call(ctx, owner, newClaimCall(wire.ClaimCallOperationClaim, r, ""))
	if err == nil {
		return decisionOf(r, reply), nil
	}
	c.d.meter.AddCounter("claim.owner_failed", 1)
	if !errors.Is(err, errNotSent) {
		// The owner may still grant the claim. This VM does not send the
		// request under that grant, so it may withdraw it. The VM continues
		// with a new grant, which the withdrawal does not affect.
		go c.withdraw(owner, shard, r)
		r.GrantID = uuid.NewString()
	}
	return c.runner(shard).Claim(ctx, r), nil
}

// withdraw withdraws a grant under which no request was sent.
func (c *claimer) withdraw(owner string, shard int, r dedup.Request) {
	c.runner(shard).Cancel(r)
	ctx, cancel := context.WithTimeout(c.baseCtx, withdrawTimeout)
	defer cancel()
	_, _ = c.call(ctx, owner, newClaimCall(wire.ClaimCallOperationRelease, r, ""))
}

// finish records the outcome of a granted request.
func (c *claimer) finish(ctx context.Context, _ time.Time, r dedup.Request, _ dedup.Decision, state wire.ClaimState, response string) error {
	shard := c.shardOf(r.StoredKey())
	operation := wire.ClaimCallOperationDone
	if state == wire.ClaimStateUnknown {
		operation = wire.ClaimCallOperationUnknown
	}
	if c.ownerAccepts(ctx, shard, newClaimCall(operation, r, response)) {
		return nil
	}
	return c.runner(shard).RecordOutcome(ctx, r, state, response)
}

// release withdraws the claim of a request that was not sent.
func (c *claimer) release(ctx context.Context, r dedup.Request, _ dedup.Decision) error {
	shard := c.shardOf(r.StoredKey())
	if c.ownerAccepts(ctx, shard, newClaimCall(wire.ClaimCallOperationRelease, r, "")) {
		return nil
	}
	c.runner(shard).Cancel(r)
	return nil
}

// ownerAccepts sends a call to the owner of a shard, if that is another VM, and
// reports whether the owner has carried it out.
func (c *claimer) ownerAccepts(ctx context.Context, shard int, call *wire.ClaimCall) bool {
	owner := c.owner(shard)
	if owner == c.d.config.Name {
		return false
	}
	reply, err := c.call(ctx, owner, call)
	return err == nil && reply.Verdict != wire.ClaimReplyVerdictUnavailable
}

// handleCall replies to a peer that considers this VM the owner of a shard. It
// returns nil when this VM has stopped and writes no shard any more: the link
// then closes without a reply, and the peer writes the shard itself.
func (c *claimer) handleCall(ctx context.Context, call *wire.ClaimCall) *wire.ClaimReply {
	if c.baseCtx.Err() != nil {
		return nil
	}
	ctx, span := spans.Start(ctx, "claim owner")
	defer span.End()
	r := dedup.Request{
		Digest: call.Key, BodyHash: call.BodyHash, GrantID: call.Grant,
		InProgressTimeout: time.Duration(call.BusyMs) * time.Millisecond, Retention: time.Duration(call.RetainMs) * time.Millisecond,
	}
	runner := c.runner(c.shardOf(call.Key))
	reply := &wire.ClaimReply{Call: call.Call, Verdict: wire.ClaimReplyVerdictGranted}
	ctx, cancel := context.WithTimeout(ctx, claimCallTimeout)
	defer cancel()
	switch call.Operation {
	case wire.ClaimCallOperationClaim:
		d := runner.Claim(ctx, r)
		reply.Verdict = wire.ClaimReplyVerdict(d.Verdict.String())
		reply.Answer, reply.RetryAfterMs = d.Response, int(d.RetryAfter.Milliseconds())
	case wire.ClaimCallOperationDone, wire.ClaimCallOperationUnknown:
		if err := runner.RecordOutcome(ctx, r, wire.ClaimState(call.Operation), call.Answer); err != nil {
			reply.Verdict = wire.ClaimReplyVerdictUnavailable
		}
	case wire.ClaimCallOperationRelease:
		runner.Cancel(r)
	}
	if reply.Verdict == wire.ClaimReplyVerdictUnavailable && c.baseCtx.Err() != nil {
		return nil // The VM stopped while the call waited.
	}
	return reply
}

func newClaimCall(operation wire.ClaimCallOperation, r dedup.Request, response string) *wire.ClaimCall {
	return &wire.ClaimCall{
		Operation: operation, Key: r.StoredKey(), BodyHash: r.BodyHash, Grant: r.GrantID, Answer: response,
		BusyMs: int(r.InProgressTimeout.Milliseconds()), RetainMs: int(r.Retention.Milliseconds()),
	}
}

func decisionOf(r dedup.Request, reply *wire.ClaimReply) dedup.Decision {
	d := dedup.Decision{Response: reply.Answer, RetryAfter: time.Duration(reply.RetryAfterMs) * time.Millisecond}
	d.Verdict = dedup.ParseVerdict(string(reply.Verdict))
	if d.Verdict == dedup.Granted {
		d.GrantID = r.GrantID
	}
	return d
}

var (
	// errNotSent means that a call certainly did not leave this VM.
	errNotSent    = errors.New("no link to the VM; the call was not sent")
	errLinkBroken = errors.New("the link closed before the reply")
)

// pendingCalls matches the replies of claim calls with the goroutines that wait
// for them.
type pendingCalls struct {
	mu      sync.Mutex
	lastID  int
	pending map[int]pendingCall
}

// pendingCall is a call that waits for its reply, which is nil when the link
// closes first.
type pendingCall struct {
	conn  *link.Conn
	reply chan *wire.ClaimReply
}

func (c *pendingCalls) add(conn *link.Conn) (int, chan *wire.ClaimReply) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.pending == nil {
		c.pending = make(map[int]pendingCall)
	}
	c.lastID++
	reply := make(chan *wire.ClaimReply, 1)
	c.pending[c.lastID] = pendingCall{conn: conn, reply: reply}
	return c.lastID, reply
}

// linkClosed fails the calls over a link that has closed.
func (c *pendingCalls) linkClosed(conn *link.Conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for callID, call := range c.pending {
		if call.conn == conn {
			call.reply <- nil
			delete(c.pending, callID)
		}
	}
}

func (c *pendingCalls) remove(callID int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.pending, callID)
}

func (c *pendingCalls) deliver(r *wire.ClaimReply) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if call, ok := c.pending[r.Call]; ok {
		call.reply <- r
		delete(c.pending, r.Call)
	}
}

// callClaim sends a claim call to a VM over the link that this VM opened to it.
func (p *peers) callClaim(ctx context.Context, node string, call *wire.ClaimCall) (*wire.ClaimReply, error) {
	conn := p.linkTo(ctx, node)
	if conn == nil {
		return nil, errNotSent
	}
	ctx, cancel := context.WithTimeout(ctx, claimCallTimeout)
	defer cancel()
	callID, replies := p.claimCalls.add(conn)
	defer p.claimCalls.remove(callID)
	call.Call = callID
	if err := conn.Send(ctx, &wire.Message{Traceparent: spans.Inject(ctx), ClaimCall: call}); err != nil {
		return nil, fmt.Errorf("claim call to %s: %w", node, errors.Join(errLinkBroken, err))
	}
	select {
	case reply := <-replies:
		if reply == nil {
			return nil, fmt.Errorf("claim call to %s: %w", node, errLinkBroken)
		}
		return reply, nil
	case <-ctx.Done():
		return nil, fmt.Errorf("claim call to %s: %w", node, ctx.Err())
	}
}
