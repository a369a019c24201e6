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

// A VM is linked to a controller whose word has grown old, as the store is away for both.
// It read the lease in the store every second to learn of another controller. While
// another of its questions to the store is without an answer, this one is asked every five
// seconds only: the store may answer for it alone.
func TestTheLeaseIsSeldomReadWhileTheStoreIsAway(t *testing.T) {
	for name, tc := range map[string]struct {
		away        bool
		least, most int64
	}{
		"away":     {true, 2, 3},
		"not away": {false, 20, 40},
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
					StoreAway: func() bool { return tc.away }, Now: time.Now, Log: zerolog.Nop(),
				}
				ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
				defer cancel()
				p.lookForOther(ctx, &uplink{})
				require.GreaterOrEqual(t, reads.Load(), tc.least)
				require.LessOrEqual(t, reads.Load(), tc.most)
			})
		})
	}
}
