package pass

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/hibiscuscart/hibiscuscart/backs"
)

// The only server with a model accepts no connection for a moment, as its host is silent, and nobody else loads the model.
// Guards against a request that is held and then refused, as the server was not reached once.
func TestOnlyServerNotReachedOnce(t *testing.T) {
	controllers := map[string]func(ctx context.Context, n backs.Need) (string, error){
		"no controller":                     nil,
		"the controller reaches the server": func(context.Context, backs.Need) (string, error) { return "a", nil },
		"the controller is away":            func(context.Context, backs.Need) (string, error) { return "", errors.New("no controller") },
	}
	for name, find := range controllers {
		for _, failures := range []int64{1, 3} {
			t.Run(name, func(t *testing.T) {
				t.Parallel()
				g := testGateway(server("a", "d", startBackend(t, http.StatusOK)))
				g.FindServer = find
				dial, dials := g.Pool.DialFunc, atomic.Int64{}
				g.Pool.DialFunc = func(ctx context.Context, address string) (net.Conn, error) {
					if dials.Add(1) <= failures {
						return nil, errors.New("i/o timeout")
					}
					return dial(ctx, address)
				}
				require.Equal(t, http.StatusOK, sendWithDeadline(g, "20000").Code)
				require.Equal(t, failures+1, dials.Load())
			})
		}
	}
}
