package entry

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hibiscuscart/hibiscuscart/dedup"
	"github.com/hibiscuscart/hibiscuscart/wire"
)

// A VM that has stopped must not reply for its shards: the VM that called would refuse a claim that it can decide
// itself, or take an outcome or a release for written that nobody writes.
func TestStoppedOwnerDoesNotReply(t *testing.T) {
	for _, operation := range []wire.ClaimCallOperation{
		wire.ClaimCallOperationClaim, wire.ClaimCallOperationDone, wire.ClaimCallOperationUnknown, wire.ClaimCallOperationRelease,
	} {
		t.Run(string(operation), func(t *testing.T) {
			daemon := New(Config{Name: "owner"})
			ctx, stop := context.WithCancel(t.Context())
			stop()
			daemon.claimer.baseCtx = ctx
			call := newClaimCall(operation, dedup.Request{GrantID: "grant"}, "")
			require.Nil(t, daemon.claimer.handleCall(t.Context(), call))
		})
	}
}

// The owner of a shard replies that it cannot record the outcome of a request:
// the sender must write it, or the key reads as unknown for good.
func TestOutcomeRefusedByOwnerIsWritten(t *testing.T) {
	daemon := New(Config{Name: "sender"})
	ctx, stop := context.WithCancel(t.Context())
	stop()
	daemon.claimer.baseCtx = ctx
	daemon.claimer.call = func(context.Context, string, *wire.ClaimCall) (*wire.ClaimReply, error) {
		return &wire.ClaimReply{Verdict: wire.ClaimReplyVerdictUnavailable}, nil
	}
	daemon.peers.list.Merge(daemon.now(), []wire.Heartbeat{{Node: "owner", Incarnation: 1, State: wire.HeartbeatStateAlive}})
	r := requestOwnedBy(t, daemon.claimer, "owner")
	err := daemon.claimer.finish(ctx, time.Time{}, r, dedup.Decision{}, wire.ClaimStateDone, "")
	require.ErrorIs(t, err, context.Canceled, "the sender's own shard was not asked to write the outcome")
}

// requestOwnedBy returns a request whose shard a VM owns.
func requestOwnedBy(t *testing.T, c *claimer, vm string) dedup.Request {
	t.Helper()
	for i := range 100 {
		r := dedup.Request{Digest: fmt.Sprint("key", i), GrantID: "grant"}
		if c.owner(c.shardOf(r.StoredKey())) == vm {
			return r
		}
	}
	t.Fatalf("no shard of %s", vm)
	return dedup.Request{}
}
