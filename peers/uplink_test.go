package peers

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/hibiscuscart/hibiscuscart/limit"
	"github.com/hibiscuscart/hibiscuscart/poison"
	"github.com/hibiscuscart/hibiscuscart/store"
)

// Guards against a VM reading the lease too often while the store is unreachable. The store is
// unreachable for the VM and its controller, so the controller's data grows too old and the VM reads
// the lease, as it did every second, to detect another holder. While other store calls get no response,
// it must read only every 5 s. It must not stop, because the store may answer only for the lease.
func TestLeaseReadsWhileStoreUnreachable(t *testing.T) {
	for name, tc := range map[string]struct {
		unreachable        bool
		minReads, maxReads int64
	}{
		"store unreachable": {true, 2, 3},
		"store reachable":   {false, 20, 40},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var reads atomic.Int64
				p := &Peers{
					Poison: &poison.Tracker{}, Limits: &limit.Limits{},
					Lease: &Lease{Name: "b", Address: "b:1", Duration: time.Second, Now: time.Now, Log: zerolog.Nop(), Objects: store.Objects{
						Get: func(context.Context, string, string) (store.Object, error) {
							reads.Add(1)
							return store.Object{}, &store.UnavailableError{Err: errors.New("no answer")}
						},
					}},
					StoreUnreachable: func() bool { return tc.unreachable }, Now: time.Now, Log: zerolog.Nop(),
				}
				ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
				defer cancel()
				p.monitorLease(ctx, &uplink{})
				require.GreaterOrEqual(t, reads.Load(), tc.minReads)
				require.LessOrEqual(t, reads.Load(), tc.maxReads)
			})
		})
	}
}
