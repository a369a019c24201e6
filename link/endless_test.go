package link_test

import (
	"context"
	"net"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/hibiscuscart/hibiscuscart/link"
	"github.com/hibiscuscart/hibiscuscart/stand"
	"github.com/hibiscuscart/hibiscuscart/wire"
)

// A VM answers the request for a link without an end. Guards against a VM that keeps what it reads.
func TestEndlessResponseToLink(t *testing.T) {
	for _, name := range stand.EndlessCalls {
		t.Run(name, func(t *testing.T) {
			read, err := stand.ReadEndless(t.Context(), name, 64<<20, func(ctx context.Context, dial stand.Dial, address string) error {
				d := &link.Dialer{Hello: func() wire.Hello { return wire.Hello{} }, DialContext: func(ctx context.Context, _, address string) (net.Conn, error) { return dial(ctx, address) }}
				_, err := d.Dial(ctx, address)
				return err
			})
			require.Error(t, err)
			require.LessOrEqual(t, read, int64(1<<20))
		})
	}
}
