package link_test

import (
	"context"
	"net"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/hibiscuscart/hibiscuscart/conns"
	"github.com/hibiscuscart/hibiscuscart/link"
	"github.com/hibiscuscart/hibiscuscart/stand"
	"github.com/hibiscuscart/hibiscuscart/wire"
)

// A VM answers the request for a link without an end. Guards against a VM that keeps what it reads.
func TestEndlessResponseToLink(t *testing.T) {
	for _, name := range stand.EndlessCalls {
		t.Run(name, func(t *testing.T) {
			address, stop, err := stand.StartEndless(func(*http.Request) stand.EndlessResponse { return stand.NewEndlessResponse(name, "", "") })
			require.NoError(t, err)
			defer stop()
			read, err := stand.LimitedCall(t.Context(), 64<<20, func(ctx context.Context, counter *stand.ReadCounter) error {
				dial := counter.Dial(conns.Dial)
				d := &link.Dialer{Hello: func() wire.Hello { return wire.Hello{} }, DialContext: func(ctx context.Context, _, address string) (net.Conn, error) { return dial(ctx, address) }}
				_, err := d.Dial(ctx, address)
				return err
			})
			require.Error(t, err)
			require.LessOrEqual(t, read, int64(1<<20))
		})
	}
}
