package entry

import (
	"context"
	"errors"
	"fmt"
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
	defaultShards = 4
	// claimCallTimeout bounds a call of a shard's owner.
	claimCallTimeout = 2 * time.Second
	// abandonTimeout bounds the withdrawal of a claim whose fate is not known.
	abandonTimeout = 5 * time.Second
	// linkTimeout bounds the opening of a link for a call.
	linkTimeout = 300 * time.Millisecond
)

// claimer makes claims with the VM that owns the key's shard. Who owns a shard
// follows from who is alive and matters only for speed: any VM may write any
// shard, and the version of the shard's object decides.
type claimer struct {
	d      *Daemon
	shards int
	base   context.Context

	mu      sync.Mutex
	runners map[int]*claim.Runner
	jobs    sync.WaitGroup
}

func newClaimer(d *Daemon) *claimer {
	shards := d.config.ClaimShards
	if shards == 0 {
		shards = defaultShards
	}
	return &claimer{d: d, shards: shards, runners: make(map[int]*claim.Runner)}
}

// claims returns the claimer as the stage uses it.
func (c *claimer) claims() Claims {
	return Claims{Claim: c.claim, Finish: c.finish, Release: c.release}
}

func (c *claimer) shardOf(key string) int { return int(xxhash.Sum64String(key) % uint64(c.shards)) }

// owner returns the live VM that owns a shard, by rendezvous hashing.
func (c *claimer) owner(shard int) string {
	best, most := "", uint64(0)
	for _, node := range c.d.peers.liveNodes() {
		if w := xxhash.Sum64String(node + "/" + strconv.Itoa(shard)); best == "" || w > most {
			best, most = node, w
		}
	}
	return best
}

// runner returns the runner of a shard, started when it is first needed.
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
		c.d.log.Warn().Err(err).Int("shard", shard).Msg("claims are not granted")
	}
	c.runners[shard] = r
	c.jobs.Go(func() { r.Run(c.base) })
	return r
}

// claim asks the shard's owner for a claim. When the owner can not be asked, or
// does not answer, this VM writes the shard itself.
func (c *claimer) claim(ctx context.Context, _ time.Time, r dedup.Request) (dedup.Decision, error) {
	shard := c.shardOf(r.StoredKey())
	owner := c.owner(shard)
	if owner == c.d.config.Name {
		return c.runner(shard).Claim(ctx, r), nil
	}
	reply, err := c.d.peers.callClaim(ctx, owner, newClaimCall(wire.ClaimCallOperationClaim, r, ""))
	if err == nil {
		return decisionOf(r, reply), nil
	}
	c.d.meter.AddCounter("claim.owner_failed", 1)
	if !errors.Is(err, errNotSent) {
		// The owner may grant the claim yet. This VM will not send the request
		// under that grant, and so may withdraw it; it goes on under another,
		// so that the withdrawal can not undo what is granted here.
		go c.abandon(owner, shard, r)
		r.GrantID = uuid.NewString()
	}
	return c.runner(shard).Claim(ctx, r), nil
}

// abandon withdraws a grant under which nothing was sent.
func (c *claimer) abandon(owner string, shard int, r dedup.Request) {
	c.runner(shard).Cancel(r)
	ctx, cancel := context.WithTimeout(c.base, abandonTimeout)
	defer cancel()
	_, _ = c.d.peers.callClaim(ctx, owner, newClaimCall(wire.ClaimCallOperationRelease, r, ""))
}

// finish records how a granted request ended.
func (c *claimer) finish(ctx context.Context, _ time.Time, r dedup.Request, _ dedup.Decision, state wire.ClaimState, answer string) error {
	shard := c.shardOf(r.StoredKey())
	operation := wire.ClaimCallOperationDone
	if state == wire.ClaimStateUnknown {
		operation = wire.ClaimCallOperationUnknown
	}
	if owner := c.owner(shard); owner != c.d.config.Name {
		if _, err := c.d.peers.callClaim(ctx, owner, newClaimCall(operation, r, answer)); err == nil {
			return nil
		}
	}
	return c.runner(shard).RecordOutcome(ctx, r, state, answer)
}

// release gives up a claim whose request was not sent.
func (c *claimer) release(ctx context.Context, r dedup.Request, _ dedup.Decision) error {
	shard := c.shardOf(r.StoredKey())
	if owner := c.owner(shard); owner != c.d.config.Name {
		if _, err := c.d.peers.callClaim(ctx, owner, newClaimCall(wire.ClaimCallOperationRelease, r, "")); err == nil {
			return nil
		}
	}
	c.runner(shard).Cancel(r)
	return nil
}

// serve answers a peer that takes this VM for the owner of a shard.
func (c *claimer) serve(ctx context.Context, call *wire.ClaimCall) *wire.ClaimReply {
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
	return reply
}

func newClaimCall(operation wire.ClaimCallOperation, r dedup.Request, answer string) *wire.ClaimCall {
	return &wire.ClaimCall{
		Operation: operation, Key: r.StoredKey(), BodyHash: r.BodyHash, Grant: r.GrantID, Answer: answer,
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
	// errNotSent says that a call provably did not leave this VM.
	errNotSent    = errors.New("no link to the VM")
	errLinkBroken = errors.New("the link broke before the reply")
)

// calls matches the replies of claim calls with those who wait for them.
type calls struct {
	mu      sync.Mutex
	last    int
	waiting map[int]call
}

// call is one call under way; its reply is nil when the link breaks first.
type call struct {
	conn  *link.Conn
	reply chan *wire.ClaimReply
}

func (c *calls) begin(conn *link.Conn) (int, chan *wire.ClaimReply) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.waiting == nil {
		c.waiting = make(map[int]call)
	}
	c.last++
	reply := make(chan *wire.ClaimReply, 1)
	c.waiting[c.last] = call{conn: conn, reply: reply}
	return c.last, reply
}

// broke ends the calls over a link that has ended.
func (c *calls) broke(conn *link.Conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for number, w := range c.waiting {
		if w.conn == conn {
			w.reply <- nil
			delete(c.waiting, number)
		}
	}
}

func (c *calls) end(number int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.waiting, number)
}

func (c *calls) reply(r *wire.ClaimReply) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if w, ok := c.waiting[r.Call]; ok {
		w.reply <- r
		delete(c.waiting, r.Call)
	}
}

// callClaim calls a VM over the link that this VM opened to it.
func (p *peers) callClaim(ctx context.Context, node string, call *wire.ClaimCall) (*wire.ClaimReply, error) {
	conn := p.linkTo(ctx, node)
	if conn == nil {
		return nil, errNotSent
	}
	ctx, cancel := context.WithTimeout(ctx, claimCallTimeout)
	defer cancel()
	number, wait := p.calls.begin(conn)
	defer p.calls.end(number)
	call.Call = number
	if err := conn.Send(ctx, &wire.Message{Traceparent: spans.Inject(ctx), ClaimCall: call}); err != nil {
		return nil, fmt.Errorf("call %s: %w", node, errors.Join(errLinkBroken, err))
	}
	select {
	case reply := <-wait:
		if reply == nil {
			return nil, fmt.Errorf("call %s: %w", node, errLinkBroken)
		}
		return reply, nil
	case <-ctx.Done():
		return nil, fmt.Errorf("call %s: %w", node, ctx.Err())
	}
}
