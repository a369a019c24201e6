package entry

import (
	"context"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/hibiscuscart/hibiscuscart/dedup"
	"github.com/hibiscuscart/hibiscuscart/wire"
)

// A VM that has stopped must not reply "unavailable" for its shards: the VM
// that called would refuse a claim that it can decide itself.
func TestStoppedOwnerDoesNotRefuse(t *testing.T) {
	daemon := New(Config{Name: "owner"})
	ctx, stop := context.WithCancel(t.Context())
	stop()
	daemon.claimer.baseCtx = ctx
	call := newClaimCall(wire.ClaimCallOperationClaim, dedup.Request{GrantID: "grant"}, "")
	require.Nil(t, daemon.claimer.handleCall(t.Context(), call))
}
