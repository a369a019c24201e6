package conns_test

import (
	"io"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"

	"github.com/hibiscuscart/hibiscuscart/conns"
)

// A server does not read, so that most of a request stays in this VM's kernel. Guards against bytes of a request that
// reach the server after this VM, or its kernel, has given up the connection, and against a server that waits for the
// rest of it.
func TestEndedConnectionDeliversNothingLater(t *testing.T) {
	const (
		length = 8 << 20
		// stored is more than the server's kernel takes in.
		stored = 256 << 10
	)
	tests := map[string]struct {
		// closeAfter is when the VM closes the connection, 0 for never.
		closeAfter time.Duration
		want       error
	}{
		"this VM gives up":   {500 * time.Millisecond, net.ErrClosed},
		"the kernel ends it": {0, unix.ETIMEDOUT},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			require.NoError(t, err)
			defer func() { _ = listener.Close() }()
			client, err := conns.Dial(t.Context(), listener.Addr().String())
			require.NoError(t, err)
			defer client.Close()
			server, err := listener.Accept()
			require.NoError(t, err)
			defer server.Close()
			require.NoError(t, server.(*net.TCPConn).SetReadBuffer(4<<10))
			if tc.closeAfter > 0 {
				time.AfterFunc(tc.closeAfter, func() { client.Close() })
			}
			require.NoError(t, client.SetWriteDeadline(time.Now().Add(waitTime)))
			written, err := client.Write(make([]byte, length))
			require.ErrorIs(t, err, tc.want)
			require.Greater(t, written, stored, "the rest of the request is in the kernel of this VM")
			require.NoError(t, server.SetReadDeadline(time.Now().Add(waitTime)))
			got, err := io.Copy(io.Discard, server)
			require.ErrorIs(t, err, unix.ECONNRESET)
			require.Less(t, got, int64(stored))
		})
	}
}
